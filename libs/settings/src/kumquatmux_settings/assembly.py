"""A whole tree in parts: cut by its sender, put together by its receiver."""

from __future__ import annotations

from collections.abc import Mapping

from kumquatmux_core.identity import VmId
from kumquatmux_settings.change import Edit
from kumquatmux_settings.messages import Snapshot


def cut(whole: Snapshot, values: Mapping[str, str], part_keys: int) -> list[Snapshot]:
    """Return a tree as snapshots of some keys each, at least one.

    Args:
        whole: Sender, revision and digest of the tree.
        values: The tree.
        part_keys: Keys in one part.
    """
    edits = [Edit(path, text) for path, text in values.items()]
    starts = range(0, max(len(edits), 1), part_keys)
    return [
        whole._replace(
            edits=tuple(edits[start : start + part_keys]), part=part, parts=len(starts)
        )
        for part, start in enumerate(starts)
    ]


class Assembly:
    """Parts of the one tree that is being received.

    Attributes:
        origin: Sender, revision and digest of the tree.
        received: Its parts so far.
    """

    def __init__(self) -> None:
        self.origin: tuple[VmId, int, str, int] | None = None
        self.received: dict[int, Snapshot] = {}

    def add(self, part: Snapshot) -> dict[str, str] | None:
        """Take a part; return the tree once no part is missing.

        Parts of another tree than the one begun take its place.
        """
        origin = (part.sender, part.revision, part.digest, part.parts)
        if origin != self.origin:
            self.origin = origin
            self.received = {}
        self.received[part.part] = part
        if len(self.received) < part.parts:
            return None
        parts = self.received.values()
        self.origin, self.received = None, {}
        edits = (edit for each in parts for edit in each.edits)
        return {edit.path: edit.value for edit in edits if edit.value is not None}
