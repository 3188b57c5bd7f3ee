"""Table of the policies of waits for a rack, to be run as a module."""

from itertools import product
from random import Random
from statistics import mean

from hornbeamstair_upstreams.work.places.policies import (
    ExpectedGain,
    FixedWait,
    LevelWait,
    NoWait,
    PlaceWaitPolicy,
)
from hornbeamstair_upstreams.work.stats import PlacementStats
from tests.support.racks import (
    accept_load,
    get_late_share,
    get_times,
    make_rack_model,
)

POLICIES: tuple[tuple[str, PlaceWaitPolicy], ...] = (
    ('no wait', NoWait()),
    ('fixed, 0.5 s', FixedWait(0.5)),
    ('fixed, 2 s', FixedWait(2)),
    ('level, 0.5 s', LevelWait(0.5)),
    ('level, 2 s', LevelWait(2)),
    ('expected gain', ExpectedGain()),
)
# Jobs a second.
RATES = (4, 6, 8, 10)
# Share of the jobs that want one rack of four.
HOT_SHARES = (0.3, 0.5)
SEEDS = range(101, 106)
LOAD_SECONDS = 30
FINISH_SECONDS = 60


def play(
    policy: PlaceWaitPolicy, rate: float, hot_share: float, seed: int
) -> tuple[float, float, PlacementStats]:
    """Play a load; get the late share, the mean time and the counters."""
    model = make_rack_model(seed, 4, 4, policy)
    accept_load(model, Random(seed), LOAD_SECONDS, rate, hot_share)
    model.run(FINISH_SECONDS)
    times = [took for took, _ in get_times(model).values()]
    return get_late_share(model), mean(times), model.scheduler.stats


def main() -> None:
    """Print the table."""
    print('| jobs/s | hot | policy | late | mean s | near | away | waited s |')
    print('|---|---|---|---|---|---|---|---|')
    for rate, hot_share in product(RATES, HOT_SHARES):
        for name, policy in POLICIES:
            played = [play(policy, rate, hot_share, seed) for seed in SEEDS]
            late = mean(result[0] for result in played)
            seconds = mean(result[1] for result in played)
            near = sum(result[2].near for result in played)
            away = sum(result[2].away for result in played)
            waited = sum(result[2].waited_seconds for result in played)
            print(
                f'| {rate} | {hot_share} | {name} | {late:.3f} | '
                f'{seconds:.2f} | {near} | {away} | {waited:.0f} |',
            )


if __name__ == '__main__':
    main()
