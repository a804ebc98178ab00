"""The data folder of a control VM: opened, founded or refused."""

from __future__ import annotations

import secrets
from functools import partial

from expression import Error, Ok, Result

from kumquatmux_agreement.entries import (
    EntryKind,
    founding_folder,
    founding_vms,
    joining_state,
    shared_founding_state,
)
from kumquatmux_core.identity import VmId
from kumquatmux_core.problems import DETAIL_CHARACTERS, Problem
from kumquatmux_daemons.registrar.first_start import FILE_NAME as FIRST_START
from kumquatmux_daemons.registrar.first_start import noted_founders
from kumquatmux_daemons.registrar.settings import RegistrarSettings
from kumquatmux_settings.documents import read_entry, read_snapshot
from kumquatmux_storage import Identity, Store, open_or_create
from kumquatmux_storage.disk import Disk, open_folder, problem_from_os_error
from kumquatmux_storage.files import (
    LOG,
    RECOVERY_ADVICE,
    SNAPSHOT,
)

CLUSTER = "registrar"
FOLDER_NAME_BYTES = 8


def open_store(settings: RegistrarSettings) -> Result[Store, Problem]:
    """Open the data folder, or create it if it is empty.

    The folder is let go if it cannot be used, so that it can be opened again.
    """
    disk = open_folder(settings.folder)
    if disk.is_error():
        return Error(disk.error)
    founders = founders_of(settings, disk.ok)
    opened = founders.bind(partial(_open_or_found, settings.vm, disk.ok))
    if opened.is_error():
        disk.ok.close()
    return opened


def _open_or_found(
    vm: VmId, disk: Disk, founders: tuple[VmId, ...]
) -> Result[Store, Problem]:
    folder = secrets.token_hex(FOLDER_NAME_BYTES)
    first = joining_state()
    if founders:
        folder = founding_folder(founders)
        first = shared_founding_state(founders)
    identity = Identity(CLUSTER, vm, folder)
    return open_or_create(disk, identity, first).bind(check_documents)


def check_documents(store: Store) -> Result[Store, Problem]:
    """Return the store if the documents in it can be read."""
    snapshot = store.restored.snapshot
    if snapshot.data:
        state = read_snapshot(snapshot.data)
        if state.is_error():
            return Error(_unusable(SNAPSHOT, state.error))
    for entry in store.restored.entries:
        if entry.kind == EntryKind.DATA:
            read = read_entry(entry.data)
            if read.is_error():
                return Error(_unusable(LOG, read.error))
    return Ok(store)


def _unusable(name: str, problem: Problem) -> Problem:
    detail = f"{problem.detail[:DETAIL_CHARACTERS]}; {RECOVERY_ADVICE}"
    return Problem("file-content", detail, name)


def founders_of(
    settings: RegistrarSettings, disk: Disk
) -> Result[tuple[VmId, ...], Problem]:
    """Return with whom this VM founds the cluster if its folder is empty, or nobody.

    What was noted at the first start goes first: seeds change later.
    """
    try:
        noted = noted_founders(disk)
    except OSError as error:
        return Error(problem_from_os_error(error, FIRST_START))
    seeds = noted or (settings.seeds if settings.founds else ())
    founders = founding_vms(seeds)
    return Ok(founders if settings.vm in founders else ())
