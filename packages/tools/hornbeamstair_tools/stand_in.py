"""Program that runs stand-in upstreams until it is stopped."""

from asyncio import Event, gather, get_running_loop, run
from signal import SIGTERM
from typing import Annotated

from typer import Argument, Option
from typer import run as run_program

from hornbeamstair_tools.stand_in_upstream import StandInUpstream

__all__ = ('main',)


async def _run_until_stopped(upstreams: list[StandInUpstream]) -> None:
    stop = Event()
    get_running_loop().add_signal_handler(SIGTERM, stop.set)
    await gather(*(upstream.start() for upstream in upstreams))
    await stop.wait()
    await gather(*(upstream.leave() for upstream in upstreams))


def serve(
    announce_url: Annotated[str, Argument(help='Base URL for announcements.')],
    service: Annotated[str, Option(help='Service of the upstreams.')] = 'fees',
    count: Annotated[int, Option(help='Number of upstreams.')] = 1,
    port: Annotated[
        int, Option(help='First port, or 0 for any free port.')
    ] = 0,
    slots: Annotated[int, Option(help='Slots of each upstream.')] = 8,
) -> None:
    """Run upstreams that announce themselves, until SIGTERM."""
    upstreams = [
        StandInUpstream(
            f'{service}-{number}',
            service,
            [announce_url],
            slots=slots,
            port=port + number if port else 0,
        )
        for number in range(count)
    ]
    run(_run_until_stopped(upstreams))


def main() -> None:
    """Run the program."""
    run_program(serve)


if __name__ == '__main__':
    main()
