"""Whole documents under numbers of the operator's, on the replicated log.

A document replaces the one before it. The highest number is in force; what comes under
a number that is not higher changes nothing, so the first content under a number holds.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.numbers import decode_extension, encode_numbers
from kumquatmux_core.problems import Problem


class NumberedDocument(NamedTuple):
    """A document as it stands in the log.

    Attributes:
        number: Its number; 0 is that of no document.
        content: Its packed content, opaque to the log.
    """

    number: int = 0
    content: bytes = b""


class DocumentLog:
    """Runs committed entries; the same on every replica.

    Attributes:
        newest: The document in force.
    """

    def __init__(self) -> None:
        self.newest = NumberedDocument()

    def apply(self, data: bytes) -> bool:
        """Run a committed entry; return whether another document is in force.

        An entry that cannot be read changes nothing, on any replica.
        """
        decoded = document_of(data)
        if decoded.is_error():
            log_decision("document-unread", problem=decoded.error)
            return False
        document = decoded.ok
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

    def snapshot(self) -> bytes:
        """Return the state, to be restored elsewhere."""
        return entry_of(self.newest)

    def restore(self, data: bytes) -> None:
        """Take the state of a snapshot.

        Raises:
            ValueError: The bytes are no snapshot, so the state is lost.
        """
        decoded = document_of(data)
        if decoded.is_error():
            raise ValueError(str(decoded.error))
        self.newest = decoded.ok


def entry_of(document: NumberedDocument) -> bytes:
    """Return the entry that puts a document into the log."""
    return encode_numbers(document)


def document_of(data: bytes) -> Result[NumberedDocument, Problem]:
    """Return the document of an entry.

    Errors:
        ``document-unread`` if the bytes are no entry.
    """
    try:
        values = msgspec.msgpack.decode(data, ext_hook=decode_extension)
        return Ok(msgspec.convert(values, NumberedDocument))
    except RecursionError:
        return Error(Problem("document-unread", "nested too deep"))
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        return Error(Problem("document-unread", str(error)))
