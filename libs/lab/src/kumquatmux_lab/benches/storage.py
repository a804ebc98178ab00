"""Own files against sqlite3: ``python -m kumquatmux_lab.benches.storage``."""

from __future__ import annotations

import sqlite3
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, NamedTuple

import typer
from hdrh.histogram import HdrHistogram

from kumquatmux_agreement.entries import Entry, EntryKind, ReplicaId, founding_state
from kumquatmux_agreement.events import Persist
from kumquatmux_core import decisions
from kumquatmux_core.identity import VmId
from kumquatmux_storage.disk import FolderDisk, open_folder
from kumquatmux_storage.store import Identity, Store, open_or_create

PAYLOAD_BYTES = 120
MICROSECONDS_PER_S = 1e6
LATENCY_MAX_US = 60_000_000


class Log(NamedTuple):
    """An open log.

    Attributes:
        append: Appends one entry and syncs it.
        close: Lets go of its files.
    """

    append: Callable[[Entry], None]
    close: Callable[[], None]


class Way(NamedTuple):
    """A way to keep the log.

    Attributes:
        name: Its name in the table.
        open: Opens a folder.
    """

    name: str
    open: Callable[[Path], Log]


def own_files(folder: Path) -> Log:
    """Keep entries in the store's log file."""
    disk = open_folder(folder).ok
    store = _open_store(disk)

    def append(entry: Entry) -> None:
        if store.write(Persist(1, entries=(entry,))).is_error():
            raise OSError("the disk of the benchmark failed")

    return Log(append, disk.close)


def sqlite(journal: str) -> Callable[[Path], Log]:
    """Keep entries in a table, synced at every commit."""

    def open_database(folder: Path) -> Log:
        connection = sqlite3.connect(folder / "log.db", isolation_level=None)
        connection.execute(f"pragma journal_mode={journal}")
        connection.execute("pragma synchronous=full")
        connection.execute(
            "create table if not exists log (place integer primary key, term, data)"
        )

        def append(entry: Entry) -> None:
            row = (entry.log_index, entry.term, entry.data)
            connection.execute("insert or replace into log values (?, ?, ?)", row)

        return Log(append, connection.close)

    return open_database


WAYS = (
    Way("own files", own_files),
    Way("sqlite3, write-ahead log", sqlite("wal")),
    Way("sqlite3, rollback journal", sqlite("delete")),
)


def main(
    entries: Annotated[int, typer.Option(help="Entries to append.")] = 4000,
    folder: Annotated[Path | None, typer.Option(help="A folder on the disk.")] = None,
) -> None:
    """Print append latency, reopening time and size as a table."""
    decisions.configure(as_json=False, enabled=False)
    typer.echo("| way | p50_ms | p99_ms | per_s | reopen_ms | bytes_per_entry |")
    typer.echo("|---|---|---|---|---|---|")
    for way in WAYS:
        with tempfile.TemporaryDirectory(dir=folder) as scratch:
            typer.echo(_row(way, Path(scratch), entries))


def _row(way: Way, folder: Path, entries: int) -> str:
    log = way.open(folder)
    histogram = HdrHistogram(1, LATENCY_MAX_US, 3)
    began = time.perf_counter()
    for place in range(1, entries + 1):
        start = time.perf_counter()
        log.append(Entry(place, 1, EntryKind.DATA, bytes(PAYLOAD_BYTES)))
        elapsed = time.perf_counter() - start
        histogram.record_value(int(elapsed * MICROSECONDS_PER_S))
    took = time.perf_counter() - began
    log.close()
    size = sum(path.stat().st_size for path in folder.iterdir())
    cells = (
        way.name,
        f"{histogram.get_value_at_percentile(50) / 1000:.3f}",
        f"{histogram.get_value_at_percentile(99) / 1000:.3f}",
        f"{entries / took:.0f}",
        f"{_reopen_s(way, folder, entries) * 1000:.1f}",
        f"{size / entries:.0f}",
    )
    return "| " + " | ".join(cells) + " |"


def _reopen_s(way: Way, folder: Path, entries: int) -> float:
    start = time.perf_counter()
    if way.open is own_files:
        found = len(_open_store(open_folder(folder).ok).restored.entries)
    else:
        connection = sqlite3.connect(folder / "log.db")
        found = len(connection.execute("select * from log order by place").fetchall())
    took = time.perf_counter() - start
    if found != entries:
        raise AssertionError(f"{found} of {entries} entries came back")
    return took


def _open_store(disk: FolderDisk) -> Store:
    me = ReplicaId(VmId("vm"), "1")
    identity = Identity("bench", me.vm, me.folder)
    store: Store = open_or_create(disk, identity, founding_state(me, (me.vm,))).ok
    return store


if __name__ == "__main__":
    typer.run(main)
