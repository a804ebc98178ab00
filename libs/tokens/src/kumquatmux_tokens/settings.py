"""Settings of token routing."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import VmId, ZoneName


class TokenSettings(NamedTuple):
    """How one entry VM routes by tokens.

    Attributes:
        vm: This VM.
        zone: Its availability zone.
        flow_idle_s: Seconds without a packet after which a flow is not counted.
        busy_s: Seconds after which a request that shows no answer is not counted
            as work any more.
        opening_s: Seconds in which a caller goes on after its opening packet was
            sent on; then its flow counts as work no more.
        shared_for_s: Seconds for which another VM's counts are used; longer than the
            time after which it tells all again.
        share_all_s: Seconds after which all counts are told again, as messages may
            get lost.
        reordered_shares: Messages by which one may be overtaken; a larger step back
            in numbers is a new process.
        tell_all: Entry VMs of a zone up to which all are told all; beyond it only
            those that place a service's flows.
        answer_s: Seconds after which a VM that was asked for a server is not waited
            for, well above the time between two VMs of a zone.
        silent_placer_s: Seconds for which a VM that gave no answer is not asked;
            doubles with each further time.
        silent_placer_max_s: Longest time for which it is not asked.
        full_s: Seconds for which a service whose servers are all full is not tried.
        cautious_s: Seconds after that in which few openings are tried at once.
        cautious_asked: Questions that may be open meanwhile.
        grant_s: Seconds for which a flow placed for another VM counts if that VM
            does not tell of it.
        settle_s: Seconds a new server is known before flows are placed on it, so
            that the zone's other VMs know its token too.
        ended_s: Seconds for which packets still go to a server that has said that
            it ends, before its flows are reset.
        route_gone_s: Seconds after which open flows of a removed route are reset;
            by then every VM runs the document that removed it.
        remote_cost: Slots' worth of work that is borne before a flow leaves its zone.
        open_cost: Slots' worth of work that an open, idle flow stands for.
        queue_depth: Requests that may wait at a server beyond its slots before new
            flows are kept back here; as many as are done well within an answer's
            target.
        cold_cost: Factor on the load of a server that warms up.
        strike_s: Seconds for which a server that left an opening packet unanswered
            is avoided; doubles with each further one.
        strike_max_s: Longest time for which it is avoided.
        copy_gap_s: Seconds between an opening packet and its copy below which the
            copy says nothing about the server, since this VM was late itself.
        silent_repeats: Times a caller repeats the same data before its flow may be
            taken to be lost.
        silent_s: Seconds over which it does so, by this VM's clock, so that packets
            which queued up while the VM stood still say nothing.
        hold_s: Seconds a packet with an unknown token is held: as long as an entry VM
            that has just started may wait for a control VM that starts too.
        held_packets: Packets held at most.
        known_s: Seconds for which a service without any server is expected to get
            one; its opening packets wait meanwhile.
        patience_s: Seconds a caller waits for the answer to an opening packet.
        copy_after_s: Seconds after the opening packet at which its copies come.
        waiting_openings: Opening packets that wait at most.
        long_share: Share of a route's requests that follow another one on their
            flow, above which its flows count as long ones.
        share_step: Weight of one request in that share.
        long_busy_cost: Weight of the work of the moment where a long flow is placed.
    """

    vm: VmId
    zone: ZoneName
    flow_idle_s: float = 15.0
    busy_s: float = 0.7
    opening_s: float = 0.25
    shared_for_s: float = 1.6
    share_all_s: float = 0.7
    reordered_shares: int = 16
    tell_all: int = 4
    answer_s: float = 0.03
    silent_placer_s: float = 1.0
    silent_placer_max_s: float = 8.0
    full_s: float = 0.04
    cautious_s: float = 0.2
    cautious_asked: int = 4
    grant_s: float = 0.5
    settle_s: float = 0.1
    ended_s: float = 1.0
    route_gone_s: float = 6.0
    remote_cost: float = 0.7
    open_cost: float = 0.03
    queue_depth: int = 6
    cold_cost: float = 1.6
    strike_s: float = 0.5
    strike_max_s: float = 4.0
    copy_gap_s: float = 0.12
    silent_repeats: int = 2
    silent_s: float = 0.5
    hold_s: float = 1.5
    held_packets: int = 2048
    known_s: float = 5.0
    patience_s: float = 1.4
    copy_after_s: tuple[float, ...] = (0.0, 0.2, 0.6)
    waiting_openings: int = 2048
    long_share: float = 0.5
    share_step: float = 0.05
    long_busy_cost: float = 0.25
