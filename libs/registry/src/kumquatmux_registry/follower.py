"""The side of the feed that asks: what one VM knows and from whom."""

from __future__ import annotations

import math
from typing import NamedTuple

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId, ZoneName
from kumquatmux_registry.feed import FeedAnswer, FeedPoll
from kumquatmux_registry.publisher import Document


class FollowerSettings(NamedTuple):
    """Whom to follow and how closely.

    Attributes:
        vm: This VM.
        zone: Its availability zone.
        is_control: Whether it is a control VM.
        seeds: Control VMs to begin with.
        silent_s: Seconds without an answer after which a control VM is not relied on.
        forget_s: Seconds without an answer after which one that is no seed is
            not asked any more.
        outside: Other zones of which an entry VM follows a control VM.
        page_records: Records a full answer carries; another poll follows at once.
        ask_again_s: Seconds between polls for a document that an answer only named.
    """

    vm: VmId
    zone: ZoneName
    is_control: bool
    seeds: tuple[VmId, ...]
    silent_s: float = 1.2
    forget_s: float = 20.0
    outside: int = 3
    page_records: int = 64
    ask_again_s: float = 0.3


class Source:
    """What is known of one control VM.

    Attributes:
        zone: Its zone, empty before its first answer.
        incarnation: Its process as of its latest answer.
        position: Change of its table up to which all is known here.
        document: Newest document it knows of.
        heard_at: When it answered last, in steady seconds.
        is_current: Whether it was in touch with a majority then.
        asked_at: When it was asked for a document that it had named.
    """

    def __init__(self) -> None:
        self.zone = ZoneName("")
        self.incarnation = 0
        self.position = 0
        self.document = 0
        self.heard_at = -math.inf
        self.is_current = False
        self.asked_at = -math.inf


class Follower:
    """Follows several control VMs; whoever embeds it merges the records.

    Attributes:
        document: The newest agreed document known.
        peers: Entry VMs of the own zone, this one included.
        sources: Control VMs by name.
        is_stopping: Whether this VM ends soon.
    """

    def __init__(self, settings: FollowerSettings) -> None:
        self.settings = settings
        self.is_stopping = False
        self.document = Document()
        self.peers: tuple[VmId, ...] = ()
        self.sources: dict[VmId, Source] = {}
        self.set_seeds(settings.seeds)

    def set_seeds(self, seeds: tuple[VmId, ...]) -> None:
        """Never stop asking these control VMs."""
        self.settings = self.settings._replace(seeds=seeds)
        for vm in seeds:
            self.add(vm)

    def add(self, vm: VmId) -> None:
        """Ask a control VM too, from now on."""
        if vm != self.settings.vm:
            self.sources.setdefault(vm, Source())

    def polls(self, now: float) -> list[tuple[VmId, FeedPoll]]:
        """Return the polls that are due, one for each control VM followed."""
        self._forget(now)
        primary = self.primary(now)
        return [(vm, self._poll(vm, primary, now)) for vm in self._followed(now)]

    def primary(self, now: float) -> VmId | None:
        """Return the control VM to take news from: near, answering and current."""
        limit = now - self.settings.silent_s
        fresh = [vm for vm, one in self.sources.items() if one.heard_at > limit]
        return min(fresh, key=self._preference, default=None)

    def is_fed(self, now: float) -> bool:
        """Return whether a current control VM answers."""
        limit = now - self.settings.silent_s
        return any(
            one.heard_at > limit and one.is_current for one in self.sources.values()
        )

    def silent_zones(self, now: float) -> frozenset[ZoneName]:
        """Return the followed zones of which no control VM answers any more."""
        limit = now - self.settings.silent_s
        latest: dict[ZoneName, float] = {}
        for vm in self._followed(now):
            source = self.sources[vm]
            heard = latest.get(source.zone, -math.inf)
            latest[source.zone] = max(heard, source.heard_at)
        return frozenset(
            zone for zone, heard in latest.items() if zone and heard < limit
        )

    def take(self, answer: FeedAnswer, now: float) -> None:
        """Note all that an answer tells but its records."""
        source = self.sources.setdefault(answer.sender, Source())
        if source.heard_at == -math.inf:
            log_decision("feed-regained", source=answer.sender)
        if source.incarnation != answer.incarnation:
            source.incarnation = answer.incarnation
            source.position = 0
        if answer.since <= source.position:
            source.position = max(source.position, answer.position)
        source.zone = answer.zone
        source.document = answer.document
        source.heard_at = now
        source.is_current = answer.is_current
        for vm in answer.control:
            self.add(vm)
        if answer.zone == self.settings.zone and not self.settings.is_control:
            self.peers = answer.entries
        self._take_document(answer)

    def has_more(self, answer: FeedAnswer) -> bool:
        """Return whether the answer was a full page, so that more may follow."""
        return len(answer.records) >= self.settings.page_records

    def poll_after(self, answer: FeedAnswer, now: float) -> FeedPoll | None:
        """Return the poll that an answer makes necessary at once, None for none.

        One that carried as many records as fit is followed by another. One of a
        control VM that is not the primary only names a newer document.
        """
        poll = self.poll_of(answer.sender, now)
        if self.has_more(answer):
            return poll if poll.wants_push else None
        source = self.sources[answer.sender]
        is_behind = answer.document > self.document.number
        is_told_soon = now - source.asked_at < self.settings.ask_again_s
        if not is_behind or is_told_soon:
            return None
        source.asked_at = now
        return poll

    def poll_of(self, vm: VmId, now: float) -> FeedPoll:
        """Return a poll of one control VM."""
        return self._poll(vm, self.primary(now), now)

    def _take_document(self, answer: FeedAnswer) -> None:
        if answer.content and answer.document > self.document.number:
            former = self.document.number
            self.document = Document(answer.document, answer.content)
            log_decision(
                "document-in-force",
                number=answer.document,
                former=former,
                source=answer.sender,
            )

    def _poll(self, vm: VmId, primary: VmId | None, now: float) -> FeedPoll:
        source = self.sources[vm]
        mine = self.settings
        is_behind = source.document > self.document.number
        return FeedPoll(
            mine.vm,
            mine.zone,
            mine.is_control,
            source.incarnation,
            source.position,
            self.document.number,
            mine.is_control or vm == primary or is_behind or primary is None,
            self.is_stopping,
        )

    def _preference(self, vm: VmId) -> tuple[bool, bool, VmId]:
        source = self.sources[vm]
        return (not source.is_current, source.zone != self.settings.zone, vm)

    def _followed(self, now: float) -> list[VmId]:
        """Return the near control VMs, and of some other zones one or two each."""
        if self.settings.is_control:
            return list(self.sources)
        near = [vm for vm, one in self.sources.items() if self._is_near(one)]
        by_zone: dict[ZoneName, list[VmId]] = {}
        for vm in sorted(self.sources):
            source = self.sources[vm]
            if not self._is_near(source):
                by_zone.setdefault(source.zone, []).append(vm)
        limit = now - self.settings.silent_s
        chosen: list[VmId] = []
        for zone in sorted(by_zone)[: self.settings.outside]:
            vms = by_zone[zone]
            fresh = [vm for vm in vms if self.sources[vm].heard_at > limit]
            chosen += fresh[:1] or vms
        return near + chosen

    def _is_near(self, source: Source) -> bool:
        return source.zone in (self.settings.zone, "")

    def _forget(self, now: float) -> None:
        for vm, source in list(self.sources.items()):
            is_seed = vm in self.settings.seeds
            is_old = source.heard_at < now - self.settings.forget_s
            if is_old and not is_seed and source.heard_at != -math.inf:
                log_decision("feed-lost", source=vm)
                del self.sources[vm]
