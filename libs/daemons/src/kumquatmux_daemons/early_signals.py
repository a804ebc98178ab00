"""Notes signals from the first instant of a program, before its libraries load."""

from __future__ import annotations

import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SIGNALS = (signal.SIGHUP, *STOP_SIGNALS)


class EarlySignals:
    """The signals that came before the program could act on them.

    Attributes:
        noted: Numbers of the signals that came and were not taken yet.
    """

    def __init__(self) -> None:
        self.noted: set[int] = set()

    def install(self) -> None:
        """Note signals from now on, instead of being ended by them."""
        for number in SIGNALS:
            signal.signal(number, self.note)

    def note(self, number: int, frame: object) -> None:
        """Note a signal, as a signal handler."""
        self.noted.add(number)

    def take(self) -> list[int]:
        """Return the signals that were noted, reloads first, and forget them."""
        taken = sorted(self.noted)
        self.noted.difference_update(taken)
        return taken

    @property
    def asks_to_stop(self) -> bool:
        """Whether a signal to stop is among them."""
        return not self.noted.isdisjoint(STOP_SIGNALS)
