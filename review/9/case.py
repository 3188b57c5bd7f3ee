"""A lasting work item that serves loses its worker; the others hold backfill."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'support2'))

from world import HOST, run_case  # noqa: E402

ROUTE = {
    'kind': 'unsafe', 'timeout_ms': 3000, 'completion_target_ms': 2500,
    'priority': 0, 'max_attempts': 2, 'stretch': 2.2, 'host': HOST,
    'service': 'alpha',
}


async def case(world):
    await world.start(
        ['alpha'],
        [{**ROUTE, 'name': 'r-serve', 'path_prefix': '/serve/'},
         {**ROUTE, 'name': 'r-fill', 'path_prefix': '/fill/'}],
        standby=['spare'],
    )
    for number in range(6):
        await world.add_worker(
            f'w{number}', 'alpha', rack=f'r{number // 4}', zone=f'z{number % 3 + 1}'
        )
    await asyncio.sleep(3)
    serving = await world.submit(
        '/serve/',
        [{'count': 2, 'cpu': 1300, 'mem_mb': 2000, 'estimate_ms': 700,
          'long_running': True, 'anti_affinity': 1, 'image': 'web',
          'target_ms': 80}],
        [{'lasts': True, 'reading': 20}],
    )
    items = [f'{serving}.0.0.{index}' for index in range(2)]
    await world.wait_for(
        lambda: all(map(world.where, items)), 10, 'the serving work items'
    )
    filling = await world.submit(
        '/fill/',
        [{'count': 4, 'cpu': 1300, 'mem_mb': 2000, 'estimate_ms': 700,
          'long_running': True, 'anti_affinity': 1, 'image': 'batch',
          'fills': True}],
        [{'lasts': True, 'reading': 300}],
    )
    fills = [f'{filling}.0.0.{index}' for index in range(4)]
    await world.wait_for(
        lambda: all(map(world.where, fills)), 10, 'the filling work items'
    )
    await asyncio.sleep(5)
    if world.has_trouble:
        name = world.where(items[0])[0]
        worker = world.workers[name]
        worker.crash()
        world.set_machine(worker, 'down')
    crashed_at = world.now
    breaks = []
    idle_since = {item: None for item in items}
    while world.now < crashed_at + 30:
        await asyncio.sleep(0.1)
        for item in items:
            if world.where(item):
                idle_since[item] = None
            elif idle_since[item] is None:
                idle_since[item] = world.now
    for item in items:
        # From 6 s after the last run, and 4 s without a disruption, for 3 s.
        since = idle_since[item]
        if since is not None and world.now - since > 6 + 3:
            breaks.append(
                f'{item} has not run for {world.now - since:.1f} s; '
                f'up are {[w.name for w in world.workers.values() if w.is_up]}'
            )
    return breaks


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, case))
