"""In-memory log of one replica."""

from __future__ import annotations

from kumquatmux_agreement.entries import Configuration, Entry, EntryKind, Snapshot


class Log:
    """Latest snapshot and the contiguous entries that follow a base entry.

    Attributes:
        snapshot: Latest snapshot.
        base_index: Index of the entry before the first one in ``entries``, at most the
            snapshot's index.
        base_term: Term of that entry.
        entries: Entries after ``base_index``.
        configurations: Index and content of the configuration in effect at the base,
            then of each configuration entry after it.
    """

    def __init__(self, snapshot: Snapshot, entries: tuple[Entry, ...]) -> None:
        self.reset(snapshot)
        self.append(entries)

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a snapshot without later entries."""
        self.snapshot = snapshot
        self.base_index = snapshot.log_index
        self.base_term = snapshot.term
        self.entries: list[Entry] = []
        self.configurations = [(snapshot.log_index, snapshot.configuration)]

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def configuration(self) -> Configuration:
        """Latest configuration, whether committed or not."""
        return self.configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """Index of the entry that introduced the latest configuration."""
        return self.configurations[-1][0]

    def configuration_at(self, index: int) -> Configuration:
        """Return the configuration in effect after an entry."""
        configurations = [
            configuration
            for entry_index, configuration in self.configurations
            if entry_index <= index
        ]
        return configurations[-1]

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if the log does not contain it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entries_between(self, first: int, last: int) -> tuple[Entry, ...]:
        """Return the entries from first to last, both included."""
        start = first - self.base_index - 1
        return tuple(self.entries[start : last - self.base_index])

    def batch(self, first: int, last: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from ``first`` on, up to a data size but at least one.

        Args:
            first: Index of the first entry.
            last: Index of the last entry that may be included.
            max_bytes: Maximum data size of two or more entries together, in bytes.
        """
        batch: list[Entry] = []
        batch_bytes = 0
        for entry in self.entries_between(first, last):
            if batch and batch_bytes + len(entry.data) > max_bytes:
                break
            batch.append(entry)
            batch_bytes += len(entry.data)
        return tuple(batch)

    def missing_suffix(self, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        """Return the entries from the first one that the log does not contain."""
        for position, entry in enumerate(entries):
            if entry.log_index <= self.base_index:
                continue
            if self.term_at(entry.log_index) != entry.term:
                return entries[position:]
        return ()

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries after dropping existing ones from the same index on."""
        if not entries:
            return
        self._truncate_from(entries[0].log_index)
        if entries[0].log_index != self.last_index + 1:
            raise AssertionError(
                f"gap in the log before appended entry {entries[0].log_index}"
            )
        self.entries.extend(entries)
        for entry in entries:
            if entry.kind == EntryKind.CONFIGURATION and entry.configuration:
                self.configurations.append((entry.log_index, entry.configuration))

    def compact(self, snapshot: Snapshot, keep_entries: int) -> None:
        """Install a newer snapshot and drop older entries.

        Args:
            snapshot: New snapshot.
            keep_entries: Number of entries to retain up to the snapshot's index.
        """
        self.snapshot = snapshot
        base_index = max(self.base_index, snapshot.log_index - keep_entries)
        base_term = self.term_at(base_index)
        if base_term is None:
            raise AssertionError(
                f"snapshot index {snapshot.log_index} is beyond the log"
            )
        configuration = self.configuration_at(base_index)
        self.entries = self.entries[base_index - self.base_index :]
        later_configurations = [
            pair for pair in self.configurations if pair[0] > base_index
        ]
        self.configurations = [(base_index, configuration), *later_configurations]
        self.base_index = base_index
        self.base_term = base_term

    def conflict_hint(self, index: int) -> int:
        """Return the index from which the leader should send again after a mismatch.

        Args:
            index: Entry that the log lacks or holds with a different term.
        """
        if index > self.last_index:
            return self.last_index + 1
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return max(index, self.base_index + 1)

    def _truncate_from(self, index: int) -> None:
        if index > self.last_index:
            return
        if index <= self.snapshot.log_index:
            raise AssertionError(f"cannot drop entry {index}: it is in the snapshot")
        del self.entries[index - self.base_index - 1 :]
        kept_configurations = [pair for pair in self.configurations if pair[0] < index]
        self.configurations = kept_configurations
