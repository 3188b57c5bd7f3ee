"""A worker restarts under its id; calls to its former life are carried out late."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'support2'))

from world import HOST, run_case  # noqa: E402

ROUTE = {
    'kind': 'unsafe', 'timeout_ms': 3000, 'completion_target_ms': 600,
    'priority': 0, 'max_attempts': 3, 'stretch': 1.6, 'host': HOST,
    'service': 'alpha', 'name': 'r-pay', 'path_prefix': '/pay/',
}
# The calls of a window of this length get no answer, and are carried out
# later: start orders and polls after these delays.
WINDOW_SECONDS = 5.5
START_DELAY = 4.15
POLL_DELAY = 4.65
UP_SECONDS = 2.5
DOWN_SECONDS = 1.5


async def run_job(world, milliseconds):
    return await world.submit(
        '/pay/',
        [{'count': 6, 'cpu': 1900, 'mem_mb': 2000,
          'estimate_ms': milliseconds, 'anti_affinity': 1}],
        [{'ms': milliseconds}],
    )


async def case(world):
    await world.start(['alpha'], [ROUTE])
    for number in range(6):
        await world.add_worker(
            f'w{number}', 'alpha', rack=f'r{number // 4}', zone=f'z{number % 3 + 1}'
        )
    await asyncio.sleep(4)
    worker = world.workers['w0']
    held = []
    never = asyncio.Event()
    carried_out = []

    async def carry_out(path, order, delay):
        await asyncio.sleep(delay)
        if path.endswith('hold'):
            # Nobody waits for its answer any more.
            order = {**order, 'wait_ms': 0}
        world.note(f'w0: {path} {json.dumps(order)} is carried out late')
        life = world.workers['w0']
        life.before_order = None
        answer = await life.handle('POST', path, {}, json.dumps(order))
        life.before_order = hold
        world.note(f'w0: would answer {answer}')
        carried_out.append(order)

    async def hold(path, order):
        is_first = not held
        if is_first and not order.get('ack_cursor'):
            return
        if not is_first and world.now > held[0] + WINDOW_SECONDS:
            return
        held.append(world.now)
        world.note(f'w0: {path} {json.dumps(order)} gets no answer')
        delay = START_DELAY if path.endswith('run-start') else POLL_DELAY
        late.append(asyncio.create_task(carry_out(path, order, delay)))
        await never.wait()

    late = []
    if world.has_trouble:
        worker.before_order = hold
    first = await run_job(world, 400)
    await world.wait_for(
        lambda: held if world.has_trouble else any(
            item.startswith(first) for _, _, item, _, _ in world.acked
        ),
        10, 'an end on w0',
    )
    second = await run_job(world, 300)
    if world.has_trouble:
        await asyncio.sleep(UP_SECONDS)
        worker.crash()
        await asyncio.sleep(DOWN_SECONDS)
        await world.add_worker(
            'w0', 'alpha', machine=worker.machine, rack=worker.rack,
            zone=worker.zone, born_again=True, before_order=hold,
        )
    end = world.now + 30
    while world.now < end:
        await asyncio.sleep(0.5)
        status, answer = await world.ask('GET', f'/pay/{second}')
        if status == 200 and answer['state'] in ('completed', 'failed'):
            break
    if held:
        sent = sum(
            held[0] <= at <= held[0] + WINDOW_SECONDS for at, _ in world.calls
        )
        world.note(
            f'{len(held)} of the {sent} calls to workers in the '
            f'{WINDOW_SECONDS} s from {held[0]:.3f} s had no answer'
        )
    breaks = []
    for acked_at, name, item, run, how in world.acked:
        if how != 'done':
            continue
        for at, where, started, again in world.starts:
            if started == item and at > acked_at:
                breaks.append(
                    f'{item} run {run} ended done on {name}, which was taken note '
                    f'of at {acked_at:.2f} s; run {again} started on {where} at '
                    f'{at:.2f} s'
                )
    return breaks


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, case))
