"""Exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a finished command tells its shell."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNKNOWN = 5
    UNREACHABLE = 6
    DENIED = 7
    NOT_FOUND = 8
    EXPIRED = 9
    DIFFERS = 10
    QUIT = 130


EXIT_CODE_DOCS: dict[ExitCode, str] = {
    ExitCode.OK: "Done; for a change: accepted.",
    ExitCode.FAILED: "A control VM answered in a way that this tool does not know.",
    ExitCode.USAGE: "The command or a file it needs is wrong; nothing was asked for.",
    ExitCode.INVALID: "Refused: key, value and reason are named; nothing changed.",
    ExitCode.CONFLICT: "Another change came first; nothing changed. Look and ask anew.",
    ExitCode.UNKNOWN: "The outcome is not known. Ask `change ID`, or resend the same "
    "change with its `--change-id` and `--base`.",
    ExitCode.UNREACHABLE: "No control VM could be reached, or none leads; "
    "nothing was taken.",
    ExitCode.DENIED: "The token is unknown or may not do this.",
    ExitCode.NOT_FOUND: "There is no such option, change or backend server.",
    ExitCode.EXPIRED: "The change is older than what the log remembers; "
    "it was not run now.",
    ExitCode.DIFFERS: "`diff` found a difference.",
    ExitCode.QUIT: "A daemon quit at once at its second signal.",
}
