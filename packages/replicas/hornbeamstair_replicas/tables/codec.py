"""Encoding of records and of the tables that they change."""

from collections.abc import Sequence
from typing import Any

from attrs import define, field

from hornbeamstair_core.codec import (
    make_family_converter,
    read_cbor,
    write_cbor,
)
from hornbeamstair_core.records import Record, RecordTable
from hornbeamstair_replicas.state_machine import StateMachine

__all__ = ('RecordCodec', 'TableStateMachine')


class RecordCodec:
    """Encoding of batches of records as CBOR."""

    def __init__(self, records: Sequence[type[Record]]) -> None:
        """Prepare the encoding of these classes."""
        self.converter = make_family_converter(Record, tuple(records))

    def write(self, batch: Sequence[Record]) -> bytes:
        """Encode a batch that is committed as one entry."""
        return write_cbor(
            [self.converter.unstructure(found, Record) for found in batch],
        )

    def read(self, payload: bytes) -> list[Record]:
        """Decode a batch."""
        fields: list[Any] = read_cbor(payload)
        return [self.converter.structure(found, Record) for found in fields]


@define(eq=False)
class TableStateMachine(StateMachine):
    """State machine that passes each record to the table that it changes."""

    tables: tuple[RecordTable, ...]
    codec: RecordCodec = field(init=False)
    owners: dict[type[Record], RecordTable] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Index the tables by their records."""
        for table in self.tables:
            self.owners.update(dict.fromkeys(table.records, table))
        self.codec = RecordCodec(tuple(self.owners))

    def apply(self, index: int, payload: bytes) -> object:
        """Apply a batch of records; return their answers in order."""
        return [
            self.owners[type(record)].apply(record)
            for record in self.codec.read(payload)
        ]

    def get_snapshot(self) -> bytes:
        """Get all tables as bytes."""
        return write_cbor(
            {
                table.name: self.codec.converter.unstructure(table.get_state())
                for table in self.tables
            },
        )

    def restore(self, state: bytes) -> None:
        """Replace all tables; a table that is absent becomes empty."""
        found = read_cbor(state) if state else {}
        for table in self.tables:
            fields = found.get(table.name)
            table.put_state(self._read_state(table, fields))

    def _read_state(self, table: RecordTable, fields: Any) -> Any:
        if fields is None:
            return None
        return self.codec.converter.structure(fields, table.state_class)
