"""Files with secrets in them."""

from __future__ import annotations

import os
from pathlib import Path

from expression import Error, Ok, Result

from kumquatmux_core.problems import Problem

OWNER_ONLY = 0o600


def write_secret(path: Path, text: str) -> Result[None, Problem]:
    """Write a new file that only its owner may read; never replace one."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        with os.fdopen(os.open(path, flags, OWNER_ONLY), "w") as file:
            file.write(text)
    except FileExistsError:
        detail = "already exists; move it away first"
        return Error(Problem("file-exists", detail, str(path)))
    except OSError as error:
        reason = error.strerror or str(error)
        return Error(Problem("file-unwritable", reason, str(path)))
    return Ok(None)
