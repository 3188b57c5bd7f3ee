"""A frontend machine stands still with a job; the caller gives up and cancels."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'support2'))

from world import HOST, CannotRun, run_case  # noqa: E402

ROUTE = {
    'kind': 'unsafe', 'timeout_ms': 3000, 'completion_target_ms': 600,
    'priority': 0, 'max_attempts': 3, 'stretch': 1.6, 'host': HOST,
    'service': 'alpha', 'name': 'r-pay', 'path_prefix': '/pay/',
}
FREEZE_SECONDS = 5
WORK_MS = 20_000
CONTACT_MS = 3000
CANCEL_MS = 3000
STOP_TIMEOUT_MS = 200


async def case(world):
    await world.start(['alpha'], [ROUTE])
    for number in range(6):
        await world.add_worker(
            f'w{number}', 'alpha', rack=f'r{number // 4}', zone=f'z{number % 3 + 1}'
        )
    await asyncio.sleep(4)
    job = f'{world.random.getrandbits(64):016x}'
    body = {
        'spec': json.dumps([{'ms': WORK_MS}]),
        'phases': [{'count': 2, 'cpu': 1900, 'mem_mb': 2000,
                    'estimate_ms': WORK_MS}],
    }
    front = world.entries[0]
    if world.has_trouble:
        front.send(signal.SIGSTOP)

        async def thaw():
            await asyncio.sleep(FREEZE_SECONDS)
            front.send(signal.SIGCONT)

        thawing = asyncio.create_task(thaw())
    status, _ = await world.ask('POST', f'/pay/{job}', body, entry=0, seconds=3)
    if world.has_trouble and status:
        raise CannotRun('the frozen machine has answered')
    # The deadline is over: the caller gives up and cancels what it has sent.
    cancelled_at = None
    for at in range(1, 9):
        status, _ = await world.ask('DELETE', f'/pay/{job}', entry=at)
        if 200 <= status < 300 or status == 410:
            cancelled_at = world.now
            break
        await asyncio.sleep(0.3)
    if cancelled_at is None:
        raise CannotRun('the cancel was not acknowledged')
    if world.has_trouble:
        await thawing
    # A calm stretch: contact_ms after the thaw, then the bound of the rule.
    await asyncio.sleep((CONTACT_MS + CANCEL_MS + STOP_TIMEOUT_MS) / 1000 + 1)
    seen_at = world.now
    status, answer = await world.ask('GET', f'/pay/{job}', entry=1)
    breaks = []
    for at, _, item, _ in world.starts:
        if not item.startswith(job):
            continue
        if at > cancelled_at + CANCEL_MS / 1000:
            breaks.append(
                f'{item} was started {at - cancelled_at:.2f} s after the cancel '
                'was acknowledged'
            )
        if world.where(item):
            breaks.append(
                f'{item}, started {at - cancelled_at:.2f} s after the cancel was '
                f'acknowledged, still runs {seen_at - cancelled_at:.2f} s after it'
            )
    if breaks:
        breaks.append(f'the cancelled job is shown as {status} {answer}')
    return breaks


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, case))
