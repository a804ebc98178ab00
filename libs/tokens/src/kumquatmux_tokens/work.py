"""Work at servers as the entry VMs of a zone tell it to those that place flows."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from kumquatmux_core.identity import VmId
from kumquatmux_tokens.settings import TokenSettings


class SharedWork(NamedTuple):
    """One server's work as one VM sees it.

    Attributes:
        token: The server's token.
        busy: Requests in progress.
        open: Open flows.
        is_avoided: Whether it left opening packets unanswered.
    """

    token: int
    busy: int
    open: int
    is_avoided: bool


class LoadShare(NamedTuple):
    """What one VM tells another that places flows.

    Attributes:
        sender: Who tells.
        number: Grows with each message of a process.
        is_whole: Whether servers that are not named have no work at the sender.
        grant: Latest grant of the receiver that the work holds already, 0 for none.
        work: The servers whose work changed.
    """

    sender: VmId
    number: int
    is_whole: bool
    grant: int
    work: tuple[SharedWork, ...]


class Total:
    """Work at one server, summed over the other VMs of the zone.

    Attributes:
        busy: Requests in progress, granted flows included.
        open: Open flows, granted ones included.
        avoided: How many VMs avoid it.
    """

    __slots__ = ("avoided", "busy", "open")

    def __init__(self) -> None:
        self.busy = 0
        self.open = 0
        self.avoided = 0


class Grant(NamedTuple):
    """A flow that this VM placed for another one.

    Attributes:
        number: Place among the grants of this process.
        token: The server's token.
        until: When it counts no longer even if the other VM says nothing.
    """

    number: int
    token: int
    until: float


class Teller:
    """What another VM told last.

    Attributes:
        heard_at: When, in steady seconds.
        number: Number of its latest message.
        work: Its work by token.
        grants: Flows placed for it that its work does not hold yet.
    """

    def __init__(self) -> None:
        self.heard_at = 0.0
        self.number = 0
        self.work: dict[int, SharedWork] = {}
        self.grants: list[Grant] = []


class ZoneWork:
    """Work at servers that passes other VMs of the zone.

    Attributes:
        totals: Sums by token.
        tellers: What they are made of.
        granted: Grants so far.
    """

    def __init__(self, settings: TokenSettings) -> None:
        self.settings = settings
        self.totals: dict[int, Total] = {}
        self.tellers: dict[VmId, Teller] = {}
        self.granted = 0

    def take(self, share: LoadShare, now: float) -> None:
        """Take what another VM tells."""
        teller = self._teller(share.sender, now)
        is_old = 0 < teller.number - share.number < self.settings.reordered_shares
        if is_old:
            return
        teller.number = share.number
        teller.heard_at = now
        if share.is_whole:
            named = {one.token for one in share.work}
            for token in [one for one in teller.work if one not in named]:
                self._replace(teller, SharedWork(token, 0, 0, False))
        for one in share.work:
            self._replace(teller, one)
        self._settle(teller, share.grant, now)

    def grant(self, vm: VmId, token: int, now: float) -> Grant:
        """Count a flow that another VM is about to open at a server."""
        self.granted += 1
        until = now + self.settings.grant_s
        granted = Grant(self.granted, token, until)
        self._teller(vm, now).grants.append(granted)
        self._add(token, 1, 1, 0)
        return granted

    def sweep(self, now: float) -> None:
        """Forget VMs that fell silent and grants that came to nothing."""
        limit = now - self.settings.shared_for_s
        for vm, teller in list(self.tellers.items()):
            self._settle(teller, 0, now)
            if teller.heard_at < limit and not teller.grants:
                for one in list(teller.work.values()):
                    self._replace(teller, SharedWork(one.token, 0, 0, False))
                del self.tellers[vm]

    def _teller(self, vm: VmId, now: float) -> Teller:
        teller = self.tellers.get(vm)
        if teller is None:
            teller = self.tellers[vm] = Teller()
            teller.heard_at = now
        return teller

    def _replace(self, teller: Teller, work: SharedWork) -> None:
        former = teller.work.pop(work.token, None)
        if former is not None:
            self._add(work.token, -former.busy, -former.open, -former.is_avoided)
        if work.busy or work.open or work.is_avoided:
            teller.work[work.token] = work
            self._add(work.token, work.busy, work.open, int(work.is_avoided))

    def _settle(self, teller: Teller, grant: int, now: float) -> None:
        kept = []
        for one in teller.grants:
            if one.number <= grant or one.until <= now:
                self._add(one.token, -1, -1, 0)
            else:
                kept.append(one)
        teller.grants = kept

    def _add(self, token: int, busy: int, open_flows: int, avoided: int) -> None:
        total = self.totals.get(token)
        if total is None:
            total = self.totals[token] = Total()
        total.busy += busy
        total.open += open_flows
        total.avoided += avoided
        if not (total.busy or total.open or total.avoided):
            del self.totals[token]


class Telling:
    """What one VM that places flows was told last.

    Attributes:
        work: The work told, by token.
        grant: Its latest grant that was used here.
        told_grant: The grant told last.
        whole_at: When it was told all, in steady seconds.
    """

    def __init__(self) -> None:
        self.work: dict[int, SharedWork] = {}
        self.grant = 0
        self.told_grant = 0
        self.whole_at = float("-inf")

    def news(
        self,
        me: VmId,
        number: int,
        work: Iterable[SharedWork],
        now: float,
        every: float,
    ) -> LoadShare | None:
        """Return what is to be told now, None for nothing.

        Args:
            me: This VM.
            number: Number of the message.
            work: All the work that concerns the other VM.
            now: Steady seconds.
            every: Seconds after which all is told again, as messages may get lost.
        """
        current = {one.token: one for one in work}
        is_whole = now - self.whole_at >= every
        if is_whole:
            self.whole_at = now
            news = tuple(current.values())
        else:
            gone = [SharedWork(one, 0, 0, False) for one in self.work.keys() - current]
            changed = [
                one for token, one in current.items() if self.work.get(token) != one
            ]
            news = (*changed, *gone)
        self.work = current
        if not (is_whole or news or self.grant != self.told_grant):
            return None
        self.told_grant = self.grant
        return LoadShare(me, number, is_whole, self.grant, news)
