"""Polling side of the feed: a VM that follows several control VMs."""

from __future__ import annotations

import math
from typing import NamedTuple

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId, ZoneName
from kumquatmux_registry.feed import FeedAnswer, FeedPoll
from kumquatmux_registry.listening import PAUSED_AFTER_S, Listening
from kumquatmux_registry.publisher import NO_EVACUATIONS, Document, EvacuatedZones
from kumquatmux_registry.records import ServerRecord


class FollowerSettings(NamedTuple):
    """Settings of a feed follower.

    Attributes:
        vm: Name of this VM.
        zone: Availability zone of this VM.
        is_control: Whether this VM is a control VM.
        seeds: Initial control VMs, which are polled permanently.
        silent_s: Seconds without an answer after which a control VM is considered
            unavailable.
        lost_s: Seconds without an answer of any control VM of a zone after which the
            zone's servers can reach none, as they would report elsewhere by then.
        source_retention_s: Seconds without an answer after which a control VM that is
            not a seed is removed.
        max_other_zones: Maximum number of other zones in which an entry VM follows
            control VMs.
        page_size: Number of records in a full answer; a full answer triggers another
            poll at once.
        max_sources: Maximum number of known control VMs beside the seeds.
        unread_document_retry_s: Seconds for which a control VM is not asked again for a
            document that could not be read.
        min_document_poll_interval_s: Minimum seconds between extra polls of one control
            VM for a document whose number it announced without the content.
        paused_after_s: Seconds between two looks after which this VM is taken to have
            stood still.
    """

    vm: VmId
    zone: ZoneName
    is_control: bool
    seeds: tuple[VmId, ...]
    silent_s: float = 1.2
    lost_s: float = 3.0
    source_retention_s: float = 20.0
    max_other_zones: int = 3
    page_size: int = 64
    max_sources: int = 256
    unread_document_retry_s: float = 5.0
    min_document_poll_interval_s: float = 0.3
    paused_after_s: float = PAUSED_AFTER_S


class SourceState:
    """State of one followed control VM.

    Attributes:
        zone: Availability zone of the control VM; empty before its first answer.
        incarnation: Identifier of its process, from its latest answer.
        position: Change of its table up to which this VM has received all changes.
        document: Number of the newest settings document that it announced.
        heard_at: Time of its latest answer, in seconds of the monotonic clock.
        is_current: Whether its latest answer said that its replica was up to date.
        unread_document: Number of the latest document from it that could not be read.
        unread_until: Time from which that document is asked for again, in seconds of
            the monotonic clock.
        document_polled_at: Time of the latest extra poll for a document that it
            announced, in seconds of the monotonic clock.
        members: Digest of the lists of VMs that it sent, 0 for none.
        entries: Entry VMs in this VM's zone, from the latest list that it sent.
        late_records: Records by server name in which it says that a server that
            reports to itself is late.
    """

    def __init__(self) -> None:
        self.zone = ZoneName("")
        self.incarnation = 0
        self.position = 0
        self.document = 0
        self.heard_at = -math.inf
        self.is_current = False
        self.unread_document = 0
        self.unread_until = -math.inf
        self.document_polled_at = -math.inf
        self.members = 0
        self.entries: tuple[VmId, ...] = ()
        self.late_records: dict[str, ServerRecord] = {}


class Follower:
    """Follows the feeds of several control VMs; the caller merges the records.

    Attributes:
        settings: Settings of the follower.
        document: Newest settings document received.
        evacuations: Newest list of evacuated zones received.
        peers: Entry VMs in this VM's zone, including this one.
        joined_lists: Lists of control VMs that ``peers`` is made of.
        sources: State of each known control VM, by name.
        listening: Silence that this VM may judge control VMs by. The caller notes its
            looks there; without, this VM is taken to listen all the time.
        in_touch_since: Time since which control VMs have been heard without a break of
            ``silent_s``, in seconds of the monotonic clock.
        is_stopping: Whether this VM is shutting down.
    """

    def __init__(self, settings: FollowerSettings) -> None:
        self.settings = settings
        self.is_stopping = False
        self.document = Document()
        self.evacuations = NO_EVACUATIONS
        self.peers: tuple[VmId, ...] = ()
        self.joined_lists: list[tuple[VmId, ...]] = []
        self.sources: dict[VmId, SourceState] = {}
        self.listening = Listening(settings.paused_after_s)
        self.in_touch_since = -math.inf
        self.set_seeds(settings.seeds)

    def set_seeds(self, seeds: tuple[VmId, ...]) -> None:
        """Replace the seeds, the control VMs that are polled permanently."""
        self.settings = self.settings._replace(seeds=seeds)
        for vm in seeds:
            self.add(vm)

    def add(self, vm: VmId) -> None:
        """Add a control VM to the known ones, unless it is this VM.

        A VM beyond ``max_sources`` is left out, unless it is a seed.
        """
        has_room = len(self.sources) < self.settings.max_sources
        if vm != self.settings.vm and (has_room or vm in self.settings.seeds):
            self.sources.setdefault(vm, SourceState())

    def polls(self, now: float) -> list[tuple[VmId, FeedPoll]]:
        """Return one poll for each followed control VM."""
        self._remove_silent_sources(now)
        primary = self.primary(now)
        return [
            (vm, self._build_poll(vm, primary, now))
            for vm in self._sources_to_poll(now)
        ]

    def primary(self, now: float) -> VmId | None:
        """Return the preferred available control VM, or None if none is available.

        Up-to-date control VMs come first, then those in the same zone.
        """
        oldest_allowed = now - self.settings.silent_s
        fresh = [
            vm for vm, one in self.sources.items() if one.heard_at > oldest_allowed
        ]
        return min(fresh, key=self._preference_key, default=None)

    def is_fed(self, now: float) -> bool:
        """Return whether an up-to-date control VM has answered recently."""
        oldest_allowed = now - self.settings.silent_s
        return any(
            one.heard_at > oldest_allowed and one.is_current
            for one in self.sources.values()
        )

    def silent_zones(self, now: float) -> frozenset[ZoneName]:
        """Return the zones in which no followed control VM has answered recently.

        Only silence counts that this VM listened through.
        """
        heard_zones = self._heard_zones(self.settings.silent_s, now)
        followed_zones = {self.sources[vm].zone for vm in self._sources_to_poll(now)}
        return frozenset(
            zone for zone in followed_zones if zone and zone not in heard_zones
        )

    def lost_vms(self, now: float) -> frozenset[VmId]:
        """Return the control VMs of zones in which none was heard of for ``lost_s``.

        All known ones of a zone are polled once those that are followed are silent.
        Only silence counts that this VM listened through, and in which it heard other
        control VMs: a VM that hears none cannot tell their loss from its own.
        """
        if not self._is_in_touch(now):
            return frozenset()
        heard_zones = self._heard_zones(self.settings.lost_s, now)
        return frozenset(
            vm
            for vm, source in self.sources.items()
            if source.zone and source.zone not in heard_zones
        )

    def possible_holders(self, listening: Listening, now: float) -> set[VmId]:
        """Return the control VMs that may be running, and so have servers' reports.

        One that was not heard for ``source_retention_s`` is taken for gone, also while
        it is a seed or others still name it.

        Args:
            listening: Silence that this VM may judge them by.
            now: Current time, in seconds of the monotonic clock.
        """
        return {
            vm
            for vm, one in self.sources.items()
            if listening.silent_s(one.heard_at, now) <= self.settings.source_retention_s
        }

    def is_known_late(self, record: ServerRecord, now: float) -> bool:
        """Return whether a server is late by more than hearsay.

        The control VM that holds its lease knows that its reports stopped, and says so
        while this VM hears it. Another one knows only that it does not hear the holder.
        Its word counts only if this VM, which hears others, has not heard the holder
        for ``lost_s`` either.

        This is for what cannot be undone. To place flows elsewhere any word is enough.
        """
        if not record.is_late:
            return False
        source = self._state_of(record.holder)
        if source.heard_at > now - self.settings.silent_s:
            word = source.late_records.get(record.report.lifetime.name)
            return word is not None and word.sort_key >= record.sort_key
        silent_s = self.listening.silent_s(source.heard_at, now)
        return silent_s > self.settings.lost_s and self._is_in_touch(now)

    def take(self, answer: FeedAnswer, now: float) -> None:
        """Process everything in an answer; the caller merges its records."""
        self.add(answer.sender)
        source = self.sources.get(answer.sender)
        if source is None:
            return
        if not self._hears_any(now):
            self.in_touch_since = now
        if source.heard_at == -math.inf:
            log_decision("feed-regained", source=answer.sender)
        if source.incarnation != answer.incarnation:
            source.incarnation = answer.incarnation
            source.position = 0
            source.members = 0
            source.late_records.clear()
        self._store_words(source, answer)
        if answer.since <= source.position:
            source.position = max(source.position, answer.position)
        source.zone = answer.zone
        source.document = answer.document
        source.heard_at = now
        source.is_current = answer.is_current
        if answer.control:
            source.members = answer.members
            source.entries = answer.entries
        for vm in answer.control:
            self.add(vm)
        if answer.zone == self.settings.zone and not self.settings.is_control:
            self._join_lists(now)
        self._store_evacuations(answer)
        self._store_document(answer)

    def request_all_records(self) -> None:
        """Have the next answers carry all records again."""
        for source in self.sources.values():
            source.position = 0

    def has_more(self, answer: FeedAnswer) -> bool:
        """Return whether the answer may be a full page, which others follow.

        It is judged by the changes that it spans, as odd records may have been left out
        of it. Where no more follow, the next answer spans none.
        """
        return answer.position - answer.since >= self.settings.page_size

    def is_told_all_by(self, answer: FeedAnswer) -> bool:
        """Return whether this VM now has all that a control VM knew as it answered.

        Not so if an answer before was lost, more pages follow, or this one came late.
        """
        known_position = self._state_of(answer.sender).position
        return known_position == answer.position and not self.has_more(answer)

    def poll_after(self, answer: FeedAnswer, now: float) -> FeedPoll | None:
        """Return the extra poll to send at once after an answer, or None.

        A full page requires a poll for the next one. A control VM that is not the
        primary may announce a newer document without sending its content, which
        requires a poll for the document.
        """
        poll = self.poll_of(answer.sender, now)
        if self.has_more(answer) and poll.wants_push:
            return poll
        source = self._state_of(answer.sender)
        is_behind = answer.document > self._known_document(source, now)
        was_polled_recently = (
            now - source.document_polled_at < self.settings.min_document_poll_interval_s
        )
        if not is_behind or was_polled_recently:
            return None
        source.document_polled_at = now
        return poll

    def poll_of(self, vm: VmId, now: float) -> FeedPoll:
        """Return a poll for one control VM."""
        return self._build_poll(vm, self.primary(now), now)

    def postpone_document(self, vm: VmId, number: int, now: float) -> None:
        """Do not ask a control VM at once again for a document that was unreadable."""
        source = self._state_of(vm)
        source.unread_document = number
        source.unread_until = now + self.settings.unread_document_retry_s

    def _join_lists(self, now: float) -> None:
        """Take the entry VMs that any control VM of this zone lists for its own.

        One that has just started lists few.
        """
        oldest_allowed = now - self.settings.silent_s
        lists = [
            source.entries
            for source in self.sources.values()
            if source.zone == self.settings.zone and source.heard_at > oldest_allowed
        ]
        if lists != self.joined_lists:
            self.joined_lists = lists
            self.peers = tuple(sorted({vm for entries in lists for vm in entries}))

    def _is_in_touch(self, now: float) -> bool:
        """Return whether control VMs have been heard for long enough to miss others."""
        in_touch_s = now - self.in_touch_since
        return in_touch_s > self.settings.lost_s and self._hears_any(now)

    def _hears_any(self, now: float) -> bool:
        """Return whether any control VM has answered recently."""
        oldest_allowed = now - self.settings.silent_s
        return any(one.heard_at > oldest_allowed for one in self.sources.values())

    def _heard_zones(self, within_s: float, now: float) -> set[ZoneName]:
        """Return the zones of control VMs that have been silent for a time at most."""
        return {
            source.zone
            for source in self.sources.values()
            if self.listening.silent_s(source.heard_at, now) <= within_s
        }

    def _state_of(self, vm: VmId) -> SourceState:
        """Return the state of a control VM, that of a new one if it is not known."""
        return self.sources.get(vm) or SourceState()

    def _known_document(self, source: SourceState, now: float) -> int:
        """Return the number up to which a control VM need not send a document."""
        is_postponed = now < source.unread_until
        unread = source.unread_document if is_postponed else 0
        return max(self.document.number, unread)

    def _store_words(self, source: SourceState, answer: FeedAnswer) -> None:
        """Keep what a control VM says of servers that report to itself."""
        for record in answer.records:
            name = record.report.lifetime.name
            if record.holder == answer.sender and record.is_late:
                source.late_records[name] = record
            else:
                source.late_records.pop(name, None)

    def _store_evacuations(self, answer: FeedAnswer) -> None:
        """Keep the evacuated zones if they are newer, so that none goes back."""
        former_revision = self.evacuations.revision
        if answer.evacuation_revision > former_revision:
            self.evacuations = EvacuatedZones(
                answer.evacuation_revision, answer.evacuated_zones
            )
            log_decision(
                "evacuation-in-force",
                revision=answer.evacuation_revision,
                former=former_revision,
                zones=",".join(answer.evacuated_zones),
                source=answer.sender,
            )

    def _store_document(self, answer: FeedAnswer) -> None:
        if answer.content and answer.document > self.document.number:
            previous_number = self.document.number
            self.document = Document(answer.document, answer.content)
            log_decision(
                "document-in-force",
                number=answer.document,
                former=previous_number,
                source=answer.sender,
            )

    def _build_poll(self, vm: VmId, primary: VmId | None, now: float) -> FeedPoll:
        source = self._state_of(vm)
        own_settings = self.settings
        known_document = self._known_document(source, now)
        is_behind = source.document > known_document
        return FeedPoll(
            own_settings.vm,
            own_settings.zone,
            own_settings.is_control,
            source.incarnation,
            source.position,
            known_document,
            own_settings.is_control or vm == primary or is_behind or primary is None,
            self.is_stopping,
            source.members,
        )

    def _preference_key(self, vm: VmId) -> tuple[bool, bool, VmId]:
        source = self.sources[vm]
        return (not source.is_current, source.zone != self.settings.zone, vm)

    def _sources_to_poll(self, now: float) -> list[VmId]:
        """Return the control VMs to poll.

        A control VM polls all others. An entry VM polls those in its own zone, those
        whose zone is unknown, and one available control VM in each of a limited number
        of other zones, or all control VMs of such a zone if none is available.
        """
        if self.settings.is_control:
            return list(self.sources)
        local_vms = [
            vm
            for vm, one in self.sources.items()
            if self._is_local_or_unknown_zone(one)
        ]
        by_zone: dict[ZoneName, list[VmId]] = {}
        for vm in sorted(self.sources):
            source = self.sources[vm]
            if not self._is_local_or_unknown_zone(source):
                by_zone.setdefault(source.zone, []).append(vm)
        oldest_allowed = now - self.settings.silent_s
        remote_vms: list[VmId] = []
        for zone in sorted(by_zone)[: self.settings.max_other_zones]:
            vms = by_zone[zone]
            available_vms = [
                vm for vm in vms if self.sources[vm].heard_at > oldest_allowed
            ]
            remote_vms += available_vms[:1] or vms
        return local_vms + remote_vms

    def _is_local_or_unknown_zone(self, source: SourceState) -> bool:
        return source.zone in (self.settings.zone, "")

    def _remove_silent_sources(self, now: float) -> None:
        for vm, source in list(self.sources.items()):
            is_seed = vm in self.settings.seeds
            silent_s = self.listening.silent_s(source.heard_at, now)
            is_expired = silent_s > self.settings.source_retention_s
            if is_expired and not is_seed and source.heard_at != -math.inf:
                log_decision("feed-lost", source=vm)
                del self.sources[vm]
                self._request_lists()

    def _request_lists(self) -> None:
        """Have the next answers carry their lists, which may name a VM again."""
        for source in self.sources.values():
            source.members = 0
