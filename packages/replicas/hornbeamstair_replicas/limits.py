"""Limits of the sizes of messages between processes, in bytes."""

from typing import Final

from hornbeamstair_core.units import KIB, MIB

__all__ = ('MAX_BATCH_BYTES', 'MAX_MESSAGE_BYTES', 'MAX_PAYLOAD_BYTES')

# A process closes a connection on which it receives a larger message.
MAX_MESSAGE_BYTES: Final = 32 * MIB  # noqa: WPS432
# Payload of one entry; requests to the leader are smaller, and the rest of a
# message is for the fields around the payload.
MAX_PAYLOAD_BYTES: Final = 16 * MIB  # noqa: WPS432
# Content of one message of a longer transfer. Larger messages delay the
# heartbeats behind them.
MAX_BATCH_BYTES: Final = 256 * KIB  # noqa: WPS432
