"""The list's entry of one machine of a wave cannot be read for some seconds."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'support2'))

from http_stand_in import call  # noqa: E402
from world import HOST, run_case  # noqa: E402

ROUTE = {
    'kind': 'unsafe', 'timeout_ms': 3000, 'completion_target_ms': 2500,
    'priority': 0, 'max_attempts': 2, 'stretch': 2.2, 'host': HOST,
    'service': 'alpha', 'name': 'r-serve', 'path_prefix': '/serve/',
}
ODD_SECONDS = 9


async def case(world):
    await world.start(['alpha'], [ROUTE])
    for number in range(6):
        await world.add_worker(
            f'w{number}', 'alpha', rack=f'r{number // 4}', zone=f'z{number % 3 + 1}'
        )
    await asyncio.sleep(4)
    wave = ['m-w0', 'm-w1', 'm-w2']
    if world.has_trouble:
        # Another writer's entry: a field of another type.
        odd = world.machines['m-w2']
        labels = odd['labels']
        odd['labels'] = {'kind': 'a'}
        world.note(f'the entry of m-w2 is odd: {odd}')

        async def mend():
            await asyncio.sleep(ODD_SECONDS)
            odd['labels'] = labels
            world.note('the entry of m-w2 is as before')

        mending = asyncio.create_task(mend())
    control = 0
    while True:
        status, _ = await call(
            world.controls[control % 3].ip, world.control_port, 'POST',
            '/hornbeamstair/wave-start',
            {'wave': 1, 'machines': wave, 'deadline_s': 60, 'max_count': 1},
        )
        world.note(f'operator: wave 1 at {world.controls[control % 3].name}: {status}')
        if status == 200:
            break
        control += 1
        await asyncio.sleep(0.3)
    end = world.now + 60
    while world.now < end:
        await asyncio.sleep(0.5)
        status, answer = await call(
            world.controls[0].ip, world.control_port, 'GET',
            '/hornbeamstair/wave-get/1',
        )
        world.note(f'operator: wave 1 is {status} {answer}')
        if status == 200 and answer['state'] == 'completed':
            break
    else:
        # A wave that is late costs a duty and breaks no rule.
        return []
    taken = {
        order['machine'] for _, path, order in world.moves
        if path.endswith('machine-upkeep')
    }
    if world.has_trouble:
        await mending
    left = [machine for machine in wave if machine not in taken]
    return [
        f'wave 1 is said to be completed, and {machine} (state '
        f'{world.machines[machine]["state"]}, worker '
        f'{world.machines[machine]["id"]} up) has not begun its upkeep'
        for machine in left
    ]


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, case))
