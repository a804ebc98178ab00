"""Whole documents under numbers of the operator's, on the replicated log.

A document replaces the one before it. The highest number is in force; what comes under
a number that is not higher changes nothing, so the first content under a number holds.
Beside the documents the log carries the orders to evacuate availability zones.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

import msgspec
from expression import Error, Ok, Result

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.numbers import decode_extension, encode_numbers
from kumquatmux_core.problems import Problem
from kumquatmux_settings.evacuations import (
    EvacuationOrder,
    Evacuations,
    is_order,
    order_of,
)

Content = TypeVar("Content")


class NumberedDocument(NamedTuple):
    """A document as it stands in the log.

    Attributes:
        number: Its number; 0 is that of no document.
        content: Its packed content, opaque to the log.
    """

    number: int = 0
    content: bytes = b""


class LogState(NamedTuple):
    """State of the log as it stands in a snapshot.

    One without evacuations ends after the content, as did all before there were any.

    Attributes:
        number: Number of the document in force.
        content: Its content.
        evacuations: The evacuated zones.
    """

    number: int = 0
    content: bytes = b""
    evacuations: Evacuations = Evacuations()


class DocumentLog:
    """Runs committed entries; the same on every replica.

    Attributes:
        newest: The document in force.
        evacuations: The evacuated zones.
    """

    def __init__(self) -> None:
        self.newest = NumberedDocument()
        self.evacuations = Evacuations()

    def apply(self, data: bytes) -> bool:
        """Run a committed entry; return whether it changed the state.

        An entry that cannot be read changes nothing, on any replica.
        """
        decoded = read_entry(data)
        if decoded.is_error():
            log_decision("document-unread", problem=decoded.error)
            return False
        if isinstance(decoded.ok, EvacuationOrder):
            return self._apply_order(decoded.ok)
        return self._apply_document(decoded.ok)

    def snapshot(self) -> bytes:
        """Return the state, to be restored elsewhere."""
        if not self.evacuations.revision:
            return entry_of(self.newest)
        return encode_numbers(LogState(*self.newest, self.evacuations))

    def restore(self, data: bytes) -> None:
        """Take the state of a snapshot.

        Raises:
            ValueError: The bytes are no snapshot, so the state is lost.
        """
        decoded = read_snapshot(data)
        if decoded.is_error():
            raise ValueError(str(decoded.error))
        state = decoded.ok
        self.newest = NumberedDocument(state.number, state.content)
        self.evacuations = state.evacuations

    def _apply_document(self, document: NumberedDocument) -> bool:
        is_newer = document.number > self.newest.number
        log_decision(
            "document-applied",
            number=document.number,
            former=self.newest.number,
            outcome="in-force" if is_newer else "overtaken",
        )
        if is_newer:
            self.newest = document
        return is_newer

    def _apply_order(self, order: EvacuationOrder) -> bool:
        former = self.evacuations
        self.evacuations = former.after(order)
        is_changed = self.evacuations != former
        log_decision(
            "evacuation-applied",
            zone=order.zone,
            evacuated=order.is_evacuated,
            revision=self.evacuations.revision,
            outcome="in-force" if is_changed else "repeated",
        )
        return is_changed


def entry_of(document: NumberedDocument) -> bytes:
    """Return the entry that puts a document into the log."""
    return encode_numbers(document)


def document_of(data: bytes) -> Result[NumberedDocument, Problem]:
    """Return the document of an entry.

    Errors:
        ``document-unread`` if the bytes are no entry with a document.
    """
    return _read(data, _as_document)


def read_entry(data: bytes) -> Result[NumberedDocument | EvacuationOrder, Problem]:
    """Return what an entry of the log says.

    Errors:
        ``document-unread`` if the bytes are no entry.
    """
    return _read(data, _as_entry)


def read_snapshot(data: bytes) -> Result[LogState, Problem]:
    """Return the state of a snapshot.

    Errors:
        ``document-unread`` if the bytes are no snapshot.
    """
    return _read(data, _as_state)


def _as_document(values: Any) -> NumberedDocument:
    return msgspec.convert(values, NumberedDocument)


def _as_entry(values: Any) -> NumberedDocument | EvacuationOrder:
    return order_of(values) if is_order(values) else _as_document(values)


def _as_state(values: Any) -> LogState:
    return msgspec.convert(values, LogState)


def _read(data: bytes, convert: Callable[[Any], Content]) -> Result[Content, Problem]:
    try:
        values = msgspec.msgpack.decode(data, ext_hook=decode_extension)
        return Ok(convert(values))
    except RecursionError:
        return Error(Problem("document-unread", "nested too deep"))
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        return Error(Problem("document-unread", str(error)))
