"""Failure detection among VMs by heartbeats and probes, and the resulting view.

A peer counts as reachable only while it echoes timestamps of this VM. This shows that
both directions of the path work, and the age of the echo is measured by this VM's clock
alone.
"""

from __future__ import annotations

from collections.abc import Collection
from functools import singledispatchmethod
from random import Random
from typing import Any

from kumquatmux_core import decisions
from kumquatmux_core.identity import Vm, VmId
from kumquatmux_membership.events import (
    Action,
    Event,
    Heartbeat,
    Hello,
    IncarnationRaised,
    Leave,
    Members,
    MemberUpdate,
    Message,
    PeerAhead,
    PeerLearned,
    PeersChanged,
    ProbeAnswer,
    ProbeRequest,
    Received,
    SendMessage,
    Superseded,
    Tick,
    ViewSuspended,
)
from kumquatmux_membership.peer import NEVER, Peer
from kumquatmux_membership.peer_list import UNKNOWN_INCARNATION, PeerList
from kumquatmux_membership.probes import PendingProbes
from kumquatmux_membership.settings import MembershipSettings
from kumquatmux_membership.timestamps import (
    TIMESTAMP_STEP_SECONDS,
    echoes_own_timestamp,
)
from kumquatmux_membership.view import View

INCARNATION_STEP_RANDOM_BITS = 20
HOUSEKEEPING_INTERVAL_SECONDS = 1.0
MIN_REPLY_INTERVAL_SECONDS = 0.05
MAX_VMS_IN_HELLO = 64


class Membership:
    """Maintains the view, which is the set of VMs that this VM can reach.

    Args:
        local_vm: This VM.
        peers: VMs configured in the settings; this VM is skipped if it is one of them.
        settings: Periods and timeouts.
        random: Random source for probe helpers, heartbeat periods and raised
            incarnations.
    """

    def __init__(
        self,
        local_vm: Vm,
        peers: tuple[Vm, ...],
        settings: MembershipSettings,
        random: Random,
    ) -> None:
        self.local_vm = local_vm
        self.settings = settings
        self.random = random
        self.peer_list = PeerList(local_vm.vm, peers)
        self.peers = self.peer_list.peers
        self.settings_revision = 0
        self.settings_digest = ""
        self.lease_table_version = 0
        self.leaving = False
        self.round_number = 0
        self.next_round = NEVER
        self.last_event_time = NEVER
        self.latest_timestamp = 0.0
        self.suspended_until: float | None = None
        self.resumed_at = NEVER
        self.awaited_peers: set[VmId] = set(self.peers)
        self.pending_probes = PendingProbes(local_vm.vm)
        self.last_probe_id = 0
        self.view = View()
        self.peers_to_update: set[VmId] = set()
        self.next_housekeeping = NEVER
        self.actions: list[Action] = []

    def advertise_settings(self, revision: int, digest: str) -> None:
        """Set the settings revision and digest that heartbeats carry."""
        self.settings_revision = revision
        self.settings_digest = digest

    def advertise_lease_table(self, version: int) -> None:
        """Set the version of this VM's lease table that heartbeats carry."""
        self.lease_table_version = version

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle one event and return the resulting actions.

        Args:
            event: The event.
            now: Monotonic time, in seconds.

        Returns:
            The actions that the caller performs, in this order.
        """
        self.actions = []
        self._detect_pause(now)
        self._handle_event(event, now)
        if now >= self.next_housekeeping:
            self.next_housekeeping = now + HOUSEKEEPING_INTERVAL_SECONDS
            self.peer_list.prune(now, self.settings)
            peers_changed = self.peer_list.report_changes(now, self.settings)
            if peers_changed is not None:
                self.actions.append(peers_changed)
        self._update_view(event, now)
        return self.actions

    def _detect_pause(self, now: float) -> None:
        gap = now - self.last_event_time
        self.last_event_time = now
        if gap <= self.settings.max_pause_seconds:
            return
        first_event = gap == float("inf")
        self.suspended_until = now + self.settings.settle_seconds
        self.next_round = now
        self.resumed_at = now
        if first_event:
            return
        self.awaited_peers = {
            peer.vm.vm for peer in self.peers.values() if peer.in_view
        }
        for peer in self.peers.values():
            peer.last_echo = NEVER
            peer.probe_extension_until = NEVER
            peer.probe_id = 0
        decisions.log("view-suspended", vm=self.local_vm.vm, gap=round(gap, 3))
        self.actions.append(ViewSuspended(gap))

    @singledispatchmethod
    def _handle_event(self, event: Any, now: float) -> None:
        """Ignore an event that concerns leases only."""

    @_handle_event.register
    def _on_tick(self, event: Tick, now: float) -> None:
        if now >= self.next_round:
            self._send_heartbeat_round(now)
        for vm_id in self._monitored_peers():
            peer = self.peers[vm_id]
            if peer.suspected(now, self.settings) and not peer.probe_id:
                self._request_probes(peer, now)
        self.pending_probes.prune(now)

    @_handle_event.register
    def _on_leave(self, event: Leave, now: float) -> None:
        self.leaving = True
        decisions.log("vm-leaving", vm=self.local_vm.vm)
        self._on_shutdown(now)
        self._send_heartbeat_round(now)

    @_handle_event.register
    def _on_peers_changed(self, event: PeersChanged, now: float) -> None:
        self.view.dirty = True
        self.next_housekeeping = now
        for vm in self.peer_list.set_configured(event.peers, now):
            self._report_new_peer(vm)

    @_handle_event.register
    def _on_received(self, event: Received, now: float) -> None:
        self._handle_message(event.message, now)

    @singledispatchmethod
    def _handle_message(self, message: Any, now: float) -> None:
        """Ignore a message that concerns leases only."""

    @_handle_message.register
    def _receive_heartbeat(self, message: Heartbeat, now: float) -> None:
        peer = self._speaker(message.sender, message.incarnation)
        if peer is None or message.timestamp <= peer.latest_timestamp:
            return
        self.peers_to_update.add(message.sender)
        peer.latest_timestamp = message.timestamp
        peer.heartbeat_received_at = now
        peer.heartbeat_received = True
        echo_valid = echoes_own_timestamp(message, self.local_vm.incarnation, now)
        if echo_valid and message.echoed_timestamp >= self.resumed_at:
            peer.record_echo(message.echoed_timestamp)
            self.actions += self.pending_probes.take_answers(peer)
        echo_expired = now - peer.last_echo > self.settings.remove_seconds
        if echo_expired and now - peer.heartbeat_sent_at >= MIN_REPLY_INTERVAL_SECONDS:
            self._send_heartbeat(peer, now)
        peer.excludes_us = message.excludes_receiver and not self.leaving
        if message.leaving:
            self._mark_left(peer, now)
        if message.revision > self.settings_revision:
            self.actions.append(PeerAhead(peer.vm.vm, message.revision))
        self._process_gossip(peer, message, now)

    @_handle_message.register
    def _receive_hello(self, message: Hello, now: float) -> None:
        if message.vm.vm == self.local_vm.vm:
            return
        peer = self._add_peer(message.vm, now)
        if self._speaker(message.vm.vm, message.vm.incarnation) is None:
            return
        peer.vm = message.vm
        for vm in message.known_vms:
            if vm.vm != self.local_vm.vm:
                self._add_peer(vm, now)
        if not message.is_reply:
            self._send_heartbeat(peer, now)
            self._send(peer.vm.vm, self._make_hello(is_reply=True))

    @_handle_message.register
    def _receive_members(self, message: Members, now: float) -> None:
        self._process_members(message, now)

    @_handle_message.register
    def _receive_superseded(self, message: Superseded, now: float) -> None:
        if message.incarnation <= self.local_vm.incarnation:
            return
        random_step = 1 + self.random.getrandbits(INCARNATION_STEP_RANDOM_BITS)
        self.local_vm = self.local_vm._replace(
            incarnation=message.incarnation + random_step
        )
        decisions.log("incarnation-raised", incarnation=self.local_vm.incarnation)
        self.actions.append(IncarnationRaised(self.local_vm.incarnation))
        self._on_own_incarnation_raised()
        self._send_heartbeat_round(now)

    @_handle_message.register
    def _receive_probe_request(self, message: ProbeRequest, now: float) -> None:
        target = self.peers.get(message.target)
        if target is None:
            return
        self._send_heartbeat(target, now)
        self.pending_probes.add(message, self.latest_timestamp)

    @_handle_message.register
    def _receive_probe_answer(self, message: ProbeAnswer, now: float) -> None:
        peer = self.peers.get(message.target)
        if peer is None or message.incarnation < peer.vm.incarnation:
            return
        self._update_incarnation(peer, message.incarnation)
        if peer.probe_id != message.probe_id:
            return
        extension_seconds = (
            self.settings.remove_seconds + self.settings.probe_grace_seconds
        )
        peer.probe_extension_until = peer.last_echo + extension_seconds
        peer.probe_confirmed_at = now

    def _speaker(self, sender: VmId, incarnation: int) -> Peer | None:
        """Return the sending peer, None if it is unknown or superseded."""
        peer = self.peers.get(sender)
        if peer is None:
            return None
        if incarnation < peer.vm.incarnation:
            self._send(sender, Superseded(self.local_vm.vm, peer.vm.incarnation))
            return None
        self._update_incarnation(peer, incarnation)
        return peer

    def _update_incarnation(self, peer: Peer, incarnation: int) -> None:
        """Reset the state of a peer if its incarnation has increased."""
        if incarnation <= peer.vm.incarnation:
            return
        incarnation_known = peer.vm.incarnation != UNKNOWN_INCARNATION
        if peer.in_view and incarnation_known:
            self.view.record_loss(peer)
        self.view.dirty = True
        self.peers_to_update.add(peer.vm.vm)
        peer.renew_incarnation(incarnation)

    def _mark_left(self, peer: Peer, now: float) -> None:
        if peer.left:
            return
        peer.left = True
        peer.left_at = now
        self.peers_to_update.add(peer.vm.vm)
        decisions.log("peer-leaving", vm=peer.vm.vm)

    def _add_peer(self, vm: Vm, now: float) -> Peer:
        if self.peer_list.add(vm, now):
            self.next_housekeeping = now
            self._report_new_peer(vm)
        return self.peers[vm.vm]

    def _report_new_peer(self, vm: Vm) -> None:
        self.peers_to_update.add(vm.vm)
        self.actions.append(PeerLearned(vm))

    def _send_heartbeat_round(self, now: float) -> None:
        period_factor = self.random.uniform(0.9, 1.0)
        self.next_round = now + self.settings.heartbeat_seconds * period_factor
        skip_silent = self.round_number % self.settings.silent_peer_rounds
        self.round_number += 1
        for peer in self._heartbeat_targets(now):
            silent = now - peer.heartbeat_received_at > self.settings.remove_seconds
            if (
                silent
                and skip_silent
                and not peer.in_view
                and self.suspended_until is None
            ):
                continue
            self._send_heartbeat(peer, now)
            if not peer.heartbeat_received:
                self._send(peer.vm.vm, self._make_hello(is_reply=False))

    def _send_heartbeat(self, peer: Peer, now: float) -> None:
        self.latest_timestamp = max(now, self.latest_timestamp + TIMESTAMP_STEP_SECONDS)
        message = Heartbeat(
            sender=self.local_vm.vm,
            incarnation=self.local_vm.incarnation,
            timestamp=self.latest_timestamp,
            echoed_timestamp=peer.latest_timestamp,
            revision=self.settings_revision,
            digest=self.settings_digest,
            lease_table_version=self.lease_table_version,
            leaving=self.leaving,
            echoed_incarnation=peer.vm.incarnation,
            excludes_receiver=self._excludes(peer, now),
            updates=self._updates_for(peer),
            gossip_digest=self._gossip_digest(),
        )
        peer.heartbeat_sent_at = now
        self._send(peer.vm.vm, message)

    def _make_hello(self, *, is_reply: bool) -> Hello:
        known_vms = [peer.vm for peer in self.peers.values() if not peer.left]
        return Hello(self.local_vm, tuple(known_vms[:MAX_VMS_IN_HELLO]), is_reply)

    def _request_probes(self, target: Peer, now: float) -> None:
        helpers = [
            peer.vm.vm
            for peer in self.peers.values()
            if peer is not target and peer.usable(now, self.settings)
        ]
        self.last_probe_id += 1
        target.probe_id = self.last_probe_id
        target.probe_requested_at = now
        request = ProbeRequest(self.local_vm.vm, target.vm.vm, self.last_probe_id)
        helper_count = min(self.settings.probe_helpers, len(helpers))
        for helper in self.random.sample(helpers, helper_count):
            self._send(helper, request)
        decisions.log("peer-suspected", vm=target.vm.vm, helpers=helper_count)

    def _update_view(self, event: Event, now: float) -> None:
        """Update the view for the peers that time or this event may have affected."""
        force = self.suspended_until is not None
        if self.suspended_until is not None:
            if now < self.suspended_until and not self._awaited_peers_ready(now):
                return
            self.suspended_until = None
            self.awaited_peers = set()
        if force:
            self.peers_to_update.update(self.peers)
        elif isinstance(event, Tick):
            self.peers_to_update.update(self._monitored_peers())
        for vm_id in sorted(self.peers_to_update):
            peer = self.peers.get(vm_id)
            if peer is not None:
                self._update_peer(peer, now)
        self.peers_to_update = set()
        view_changed = self.view.update(self.local_vm, self.peers.values(), force=force)
        if view_changed is not None:
            self.actions.append(view_changed)

    def _awaited_peers_ready(self, now: float) -> bool:
        awaited_ids = set(self._monitored_peers()) & self.awaited_peers
        peers = [self.peers[vm_id] for vm_id in awaited_ids]
        return all(peer.left or peer.usable(now, self.settings) for peer in peers)

    def _update_peer(self, peer: Peer, now: float) -> None:
        usable = self._belongs_in_view(peer, now)
        if usable == peer.in_view:
            return
        if not usable:
            self.view.record_loss(peer)
            if not peer.left and peer.vm.vm in self._monitored_peers():
                peer.record_loss(now, self.settings)
        self.view.dirty = True
        peer.in_view = usable
        peer.view_changed_at = now
        self._on_peer_view_change(peer, now)

    def _heartbeat_targets(self, now: float) -> list[Peer]:
        """Return the peers to send a heartbeat to in this round: all by default."""
        return list(self.peers.values())

    def _monitored_peers(self) -> Collection[VmId]:
        """Return the peers judged by their echoes to this VM: all by default."""
        return self.peers.keys()

    def _belongs_in_view(self, peer: Peer, now: float) -> bool:
        """Return whether a peer belongs in the view, by default from its echoes."""
        return peer.usable(now, self.settings)

    def _excludes(self, peer: Peer, now: float) -> bool:
        """Return whether a peer is excluded from the view as unreachable.

        A suspended view excludes none of its VMs.
        """
        if self.suspended_until is not None and peer.in_view:
            return False
        return not peer.reachable(now, self.settings)

    def _on_peer_view_change(self, peer: Peer, now: float) -> None:
        """Handle a peer that has entered or left the view."""
        self._send_heartbeat(peer, now)

    def _updates_for(self, peer: Peer) -> tuple[MemberUpdate, ...]:
        """Return the membership updates to send to a peer: none by default."""
        return ()

    def _gossip_digest(self) -> int:
        """Return the digest of all known membership updates, 0 without gossip."""
        return 0

    def _process_gossip(self, peer: Peer, message: Heartbeat, now: float) -> None:
        """Process the gossip in a heartbeat; do nothing by default."""

    def _process_members(self, message: Members, now: float) -> None:
        """Process a ``Members`` message; do nothing by default."""

    def _on_shutdown(self, now: float) -> None:
        """Handle the start of this VM's graceful shutdown; do nothing by default."""

    def _on_own_incarnation_raised(self) -> None:
        """Handle a raised incarnation of this VM; do nothing by default."""

    def _send(self, vm: VmId, message: Message) -> None:
        self.actions.append(SendMessage(vm, message))
