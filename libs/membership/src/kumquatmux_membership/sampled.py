"""Failure detection whose cost per VM does not grow with the number of VMs.

Each VM exchanges heartbeats with a few neighbours and learns the status of the other
VMs by gossip. The neighbours come from several hash rings, which are the same on all
VMs. A VM that no probe reaches is reported lost in a membership update; if it is alive,
it refutes the update.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from random import Random

from kumquatmux_core import decisions
from kumquatmux_core.identity import Vm, VmId
from kumquatmux_core.rendezvous import weight
from kumquatmux_membership.events import (
    Heartbeat,
    Members,
    MemberStatus,
    MemberUpdate,
)
from kumquatmux_membership.gossip import GossipState
from kumquatmux_membership.membership import Membership
from kumquatmux_membership.peer import NEVER, Peer
from kumquatmux_membership.settings import MembershipSettings

UPDATE_DELAY_SECONDS = 0.1
MIN_REPLY_ECHO_AGE_SECONDS = 0.3
DIGEST_MISMATCH_SECONDS = 2.0
SYNC_INTERVAL_SECONDS = 5.0


def ring_neighbours(local_vm: Vm, others: Iterable[Vm], fanout: int) -> set[VmId]:
    """Return the VMs next to a VM on several hash rings.

    Half of the rings contain only the VMs of its availability zone, the other half
    contain all VMs. Each ring gives two neighbours, so two VMs choose each other if
    they know the same VMs.

    Args:
        local_vm: The VM whose neighbours are returned.
        others: The other VMs.
        fanout: Number of neighbours wanted, two per ring.
    """
    all_vms = [local_vm, *others]
    zone_vms = [vm for vm in all_vms if vm.zone == local_vm.zone]
    ring_count = max(1, fanout // 2)
    neighbours: set[VmId] = set()
    for ring_index in range(ring_count):
        ring_vms = zone_vms if ring_index % 2 == 0 and ring_count > 1 else all_vms
        neighbours |= _ring_successor_and_predecessor(
            local_vm, ring_vms, b"ring-%d" % ring_index
        )
    return neighbours - {local_vm.vm}


def _ring_successor_and_predecessor(
    local_vm: Vm, ring_vms: list[Vm], ring_name: bytes
) -> set[VmId]:
    own_position = (weight(ring_name, local_vm.vm), local_vm.vm)
    positions = [
        (weight(ring_name, vm.vm), vm.vm) for vm in ring_vms if vm.vm != local_vm.vm
    ]
    if not positions:
        return set()
    successor = min(
        (position for position in positions if position > own_position),
        default=min(positions),
    )
    predecessor = max(
        (position for position in positions if position < own_position),
        default=max(positions),
    )
    return {VmId(successor[1]), VmId(predecessor[1])}


class SampledMembership(Membership):
    """Membership that monitors a sample of the VMs and relies on gossip for the rest.

    Args:
        local_vm: This VM.
        peers: VMs configured in the settings; this VM is skipped if it is one of them.
        settings: Periods and timeouts; ``fanout`` is above 0.
        random: Random source for probe helpers, heartbeat periods and the choice of
            lost VMs that get a heartbeat.
    """

    def __init__(
        self,
        local_vm: Vm,
        peers: tuple[Vm, ...],
        settings: MembershipSettings,
        random: Random,
    ) -> None:
        super().__init__(local_vm, peers, settings, random)
        self.rumours = GossipState()
        self.refutations = 0
        self.neighbours: set[VmId] = set()
        self.ring_members: frozenset[VmId] | None = None
        self.next_sync = NEVER
        self.last_digest_match = NEVER
        self._gossip_own_status(MemberStatus.ALIVE)
        self._update_neighbours(NEVER)

    def _heartbeat_targets(self, now: float) -> list[Peer]:
        self._update_neighbours(now)
        targets = [self.peers[vm] for vm in self._monitored_peers()]
        if self.suspended_until is None:
            for peer in targets:
                self._check_neighbour(peer, now)
        unmonitored_lost = [
            peer
            for peer in self.peers.values()
            if not peer.in_view and not peer.left and peer.vm.vm not in self.neighbours
        ]
        if unmonitored_lost:
            targets.append(self.random.choice(unmonitored_lost))
        return targets

    def _check_neighbour(self, peer: Peer, now: float) -> None:
        """Request probes of a silent neighbour until it returns or is reported lost."""
        if peer.in_view or peer.left:
            return
        if now - peer.probe_requested_at > self.settings.suspect_seconds:
            self._request_probes(peer, now)
        self._gossip_loss(peer, now)

    def _monitored_peers(self) -> Collection[VmId]:
        return sorted(self.neighbours & self.peers.keys())

    def _belongs_in_view(self, peer: Peer, now: float) -> bool:
        if peer.vm.vm in self.neighbours:
            return peer.usable(now, self.settings)
        return not peer.left and self.rumours.is_alive(peer.vm.vm)

    def _updates_for(self, peer: Peer) -> tuple[MemberUpdate, ...]:
        updates = self.rumours.next_updates()
        peer_update = self.rumours.latest_updates.get(peer.vm.vm)
        if (
            peer_update is None
            or peer_update.status == MemberStatus.ALIVE
            or peer_update in updates
        ):
            return updates
        return (*updates, peer_update._replace(vm_record=None))

    def _gossip_digest(self) -> int:
        return self.rumours.digest()

    def _process_gossip(self, peer: Peer, message: Heartbeat, now: float) -> None:
        for update in message.updates:
            self._process_update(update, now)
        peer_not_neighbour = peer.vm.vm not in self.neighbours
        if (
            peer_not_neighbour
            and now - message.echoed_timestamp >= MIN_REPLY_ECHO_AGE_SECONDS
        ):
            self._send_heartbeat(peer, now)
        if message.gossip_digest == self.rumours.digest():
            self.last_digest_match = now
        elif (
            now - self.last_digest_match > DIGEST_MISMATCH_SECONDS
            and now >= self.next_sync
        ):
            self.next_sync = now + SYNC_INTERVAL_SECONDS
            all_updates = tuple(self.rumours.latest_updates.values())
            self._send(peer.vm.vm, Members(self.local_vm.vm, all_updates))

    def _process_members(self, message: Members, now: float) -> None:
        for update in message.updates:
            self._process_update(update, now)
        if not message.is_reply:
            all_updates = tuple(self.rumours.latest_updates.values())
            self._send(message.sender, Members(self.local_vm.vm, all_updates, True))

    def _process_update(self, update: MemberUpdate, now: float) -> None:
        if update.vm == self.local_vm.vm:
            self._refute_loss(update)
            return
        if not self.rumours.merge(update):
            return
        self._expedite_next_round(now)
        self.peers_to_update.add(update.vm)
        peer = self.peers.get(update.vm)
        if peer is None and update.vm_record is not None:
            peer = self._add_peer(update.vm_record, now)
        if peer is None:
            return
        self._update_incarnation(peer, update.incarnation)
        if update.status == MemberStatus.LEFT:
            self._mark_left(peer, now)

    def _refute_loss(self, update: MemberUpdate) -> None:
        if update.status == MemberStatus.ALIVE or self.leaving:
            return
        if update.incarnation == self.local_vm.incarnation:
            self.refutations = max(self.refutations, update.refutations + 1)
            decisions.log("rumour-refuted", refutations=self.refutations)
            self._gossip_own_status(MemberStatus.ALIVE)

    def _excludes(self, peer: Peer, now: float) -> bool:
        monitored = peer.vm.vm in self.neighbours and peer.last_echo != NEVER
        return monitored and super()._excludes(peer, now)

    def _on_peer_view_change(self, peer: Peer, now: float) -> None:
        if peer.vm.vm in self.neighbours:
            self._send_heartbeat(peer, now)
            self._gossip_loss(peer, now)

    def _gossip_loss(self, peer: Peer, now: float) -> None:
        """Report a silent neighbour as lost unless other VMs reach it."""
        if peer.in_view or peer.excludes_us or self.leaving:
            return
        if not self.rumours.is_alive(peer.vm.vm):
            return
        last_evidence = max(peer.probe_confirmed_at, peer.last_echo, self.resumed_at)
        if peer.last_echo == NEVER:
            last_evidence = max(last_evidence, peer.view_changed_at)
        if not peer.left and now - last_evidence <= self.settings.remove_seconds:
            return
        previous = self.rumours.latest_updates.get(peer.vm.vm)
        update = MemberUpdate(
            vm=peer.vm.vm,
            incarnation=peer.vm.incarnation,
            status=MemberStatus.LEFT if peer.left else MemberStatus.LOST,
            refutations=previous.refutations if previous else 0,
        )
        if self.rumours.merge(update):
            self._expedite_next_round(now)

    def _on_shutdown(self, now: float) -> None:
        self._gossip_own_status(MemberStatus.LEFT)

    def _on_own_incarnation_raised(self) -> None:
        self.refutations = 0
        self._gossip_own_status(MemberStatus.ALIVE)

    def _gossip_own_status(self, status: MemberStatus) -> None:
        vm_record = self.local_vm._replace(incarnation=0)
        local_vm = self.local_vm
        self.rumours.merge(
            MemberUpdate(
                local_vm.vm, local_vm.incarnation, status, self.refutations, vm_record
            )
        )

    def _expedite_next_round(self, now: float) -> None:
        """Bring the next heartbeat round forward to send new updates early."""
        self.next_round = min(self.next_round, now + UPDATE_DELAY_SECONDS)

    def _update_neighbours(self, now: float) -> None:
        alive_vms = [
            peer.vm
            for peer in self.peers.values()
            if not peer.left and self.rumours.is_alive(peer.vm.vm)
        ]
        ring_members = frozenset(vm.vm for vm in alive_vms)
        if ring_members == self.ring_members:
            return
        self.ring_members = ring_members
        self.peers_to_update |= self.neighbours
        neighbours = ring_neighbours(self.local_vm, alive_vms, self.settings.fanout)
        for vm in sorted(neighbours - self.neighbours):
            peer = self.peers[vm]
            peer.hold_down_until = NEVER
            peer.excludes_us = False
            if peer.in_view:
                peer.last_echo = max(peer.last_echo, now)
        self.neighbours = neighbours
