"""Publishing side of the feed: a control VM that answers polls and pushes updates."""

from __future__ import annotations

import math
from typing import NamedTuple

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId, ZoneName
from kumquatmux_registry.feed import FeedAnswer, FeedPoll
from kumquatmux_registry.leases import Leases
from kumquatmux_registry.members import MemberLists, Members, listing_key


class Document(NamedTuple):
    """The newest committed settings document.

    Attributes:
        number: Number of the document; 0 if there is none.
        content: Encoded content of the document.
    """

    number: int = 0
    content: bytes = b""


class EvacuatedZones(NamedTuple):
    """The availability zones whose servers get no new flows.

    Attributes:
        revision: Revision of the list; 0 if no zone was ever evacuated.
        zones: Names of the zones.
    """

    revision: int = 0
    zones: tuple[ZoneName, ...] = ()


NO_EVACUATIONS = EvacuatedZones()


class FollowerState(NamedTuple):
    """A VM that polls the feed, as tracked by the publisher.

    Attributes:
        poll: Latest poll, with position and document advanced by each answer or push.
        last_poll_at: Time of the latest poll, in seconds of the monotonic clock.
        document_sent_at: Time at which a document was last sent to the VM, in seconds
            of the monotonic clock.
        evacuation_revision: Revision of the evacuated zones in the latest answer.
    """

    poll: FeedPoll
    last_poll_at: float
    document_sent_at: float = -math.inf
    evacuation_revision: int = 0


class PublisherSettings(NamedTuple):
    """Settings of the feed publisher on a control VM.

    Attributes:
        vm: Name of the control VM.
        zone: Availability zone of the control VM.
        incarnation: Identifier of the control VM's process.
        follower_timeout_s: Seconds without a poll after which a follower is removed.
        min_document_interval_s: Minimum seconds between two documents sent to one
            follower, so that a burst of changes does not saturate its link.
    """

    vm: VmId
    zone: ZoneName
    incarnation: int
    follower_timeout_s: float = 3.0
    min_document_interval_s: float = 0.3


class Publisher:
    """Answers polls and pushes updates; the next poll recovers a lost push.

    Attributes:
        settings: Settings of the publisher.
        leases: Leases and server records of this control VM.
        document: Newest committed settings document.
        evacuations: Newest committed list of evacuated zones.
        is_current: Whether a consensus leader has recently confirmed that the local
            replica is up to date.
        followers: VMs that poll this control VM, by name.
        member_lists: Lists of live VMs that the answers carry.
        shared: Latest answer; followers in the same state get the same one, so that
            it is encoded once.
    """

    def __init__(self, settings: PublisherSettings, leases: Leases) -> None:
        self.settings = settings
        self.leases = leases
        self.document = Document()
        self.evacuations = NO_EVACUATIONS
        self.is_current = False
        self.followers: dict[VmId, FollowerState] = {}
        self.member_lists = MemberLists(settings.vm)
        self.shared: FeedAnswer | None = None

    def answer(self, poll: FeedPoll, now: float) -> FeedAnswer:
        """Register the sender of a poll as a follower and return the answer."""
        if poll.sender not in self.followers:
            log_decision("feed-follower", vm=poll.sender, zone=poll.zone)
        existing = self.followers.get(poll.sender)
        if existing is None or listing_key(existing.poll) != listing_key(poll):
            self.member_lists.clear()
        document_sent_at = existing.document_sent_at if existing else -math.inf
        self.followers[poll.sender] = FollowerState(poll, now, document_sent_at)
        if poll.is_control:
            self.leases.hear_holder(poll.sender, now)
        return self._build_answer(poll, now)

    def push(self, now: float) -> list[tuple[VmId, FeedAnswer]]:
        """Return the updates to push to each follower that requested pushes.

        Followers that stopped polling are removed first; those that have every change
        get nothing.
        """
        oldest_allowed = now - self.settings.follower_timeout_s
        for vm, follower in list(self.followers.items()):
            if follower.last_poll_at < oldest_allowed:
                log_decision("feed-follower-gone", vm=vm)
                del self.followers[vm]
                self.member_lists.clear()
        behind = [one for one in self.followers.values() if self._is_behind(one, now)]
        return [(one.poll.sender, self._build_answer(one.poll, now)) for one in behind]

    def push_documents(self, now: float) -> list[tuple[VmId, FeedAnswer]]:
        """Return answers with the newest document for each follower that is due one."""
        due = [
            one.poll
            for one in self.followers.values()
            if self._is_document_due(one, now)
        ]
        return [(poll.sender, self._build_answer(poll, now)) for poll in due]

    def _is_behind(self, follower: FollowerState, now: float) -> bool:
        """Return whether a follower that requested pushes lacks anything."""
        poll = follower.poll
        lacks_records = poll.position < self.leases.table.position
        lacks_evacuations = (
            not poll.is_control
            and follower.evacuation_revision < self.evacuations.revision
        )
        return poll.wants_push and (
            lacks_records or lacks_evacuations or self._is_document_due(follower, now)
        )

    def _members_for(self, poll: FeedPoll) -> Members:
        polls = (one.poll for one in self.followers.values())
        return self.member_lists.members_for(poll, polls)

    def _build_answer(self, poll: FeedPoll, now: float) -> FeedAnswer:
        own_settings = self.settings
        since = poll.position if poll.incarnation == own_settings.incarnation else 0
        limit = self.leases.settings.page_size
        page = self.leases.table.entries_after(since, limit)
        follower = self.followers[poll.sender]
        sends_document = self._is_document_due(follower._replace(poll=poll), now)
        position = page[-1].position if page else max(since, 0)
        members = self._members_for(poll)
        advanced_poll = poll._replace(
            incarnation=own_settings.incarnation,
            position=position,
            members=members.digest,
        )
        if sends_document:
            advanced_poll = advanced_poll._replace(document=self.document.number)
            follower = follower._replace(document_sent_at=now)
        evacuations = NO_EVACUATIONS if poll.is_control else self.evacuations
        self.followers[poll.sender] = follower._replace(
            poll=advanced_poll, evacuation_revision=evacuations.revision
        )
        sends_lists = poll.members != members.digest
        answer = FeedAnswer(
            own_settings.vm,
            own_settings.zone,
            own_settings.incarnation,
            since,
            position,
            tuple(entry.record for entry in page),
            self.document.number,
            self.document.content if sends_document else b"",
            members.control if sends_lists else (),
            members.entries if sends_lists else (),
            self.is_current,
            members.digest,
            evacuations.revision,
            evacuations.zones,
        )
        if self.shared != answer:
            self.shared = answer
        return self.shared

    def _is_document_due(self, follower: FollowerState, now: float) -> bool:
        """Return whether to send a follower the newest document now.

        Control VMs are never due, as they replicate the document by consensus.
        """
        poll = follower.poll
        is_behind = poll.document < self.document.number
        is_wanted = is_behind and poll.wants_push and not poll.is_control
        return is_wanted and (
            now - follower.document_sent_at >= self.settings.min_document_interval_s
        )
