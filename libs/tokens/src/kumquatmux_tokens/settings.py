"""Settings of token routing."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import VmId, ZoneName


class WarmUpLimits(NamedTuple):
    """Limit of the openings that a cold server gets in any second.

    Attributes:
        overage: Factor of the requests a second that the server bears.
        slack: Openings beyond that.
    """

    overage: float
    slack: float


class LinkSettings(NamedTuple):
    """Settings of admission control for the network link of one entry VM.

    Attributes:
        bytes_per_s: Bytes a second that the link carries, 0 if that is not known.
        window_bytes: Bytes of data that a caller keeps in flight.
        window_pass_s: Seconds within which the windows of all uploads under way pass
            the link; less than the timeout after which callers retransmit data.
        upload_idle_s: Seconds without a packet after which an upload is taken to have
            ended.
        default_upload_bytes: Expected size of an upload of a route that none has
            finished on yet.
        bulk_bytes: Mean bytes a second of the flows of a route above which it counts as
            one of bulk data; a flow counts for one second at least.
        size_smoothing: Weight of one flow in the moving averages of a route.
        queue_limit: Limit of SYN packets that wait for the link.
        opening_reserve_s: Seconds of a caller's wait that are kept for the placement
            and the answer of the server.
        arrival_admission_interval: Number of admissions of which one goes to the SYN
            that has waited longest, whatever its priority.
        refusal_memory_s: Seconds for which a refused caller is remembered.
        refusal_limit: Limit of refused callers that are remembered.
        room_share: Share of the zone's other VMs that must have room for a caller to be
            refused; its next attempt passes any one of them.
        occupancy_interval_s: Least seconds between reports of the queue to other VMs.
        occupancy_validity_s: Seconds for which such a report counts.
        occupancy_vms: Limit of VMs that a report goes to.
        answer_s: Seconds after a data packet has left within which a copy of it is not
            forwarded, as the answer may still be on its way.
        paced_queue_s: Length of the link's queue in seconds up to which upload data is
            sent; further data waits on the VM, so that other packets pass it. A loop
            that is late by no more leaves the link busy; infinity holds no data back.
        held_limit: Limit of packets that wait on the VM.
        departures_limit: Limit of packets of an upload whose departure is remembered.
        rate_smoothing: Weight of one interval in the average rate of other traffic.
        least_upload_share: Share of the link that uploads are taken to get at least.
    """

    bytes_per_s: float = 0.0
    window_bytes: int = 19_200
    window_pass_s: float = 0.18
    upload_idle_s: float = 0.7
    default_upload_bytes: float = 38_400.0
    bulk_bytes: float = 9_600.0
    size_smoothing: float = 0.1
    queue_limit: int = 64
    opening_reserve_s: float = 0.1
    arrival_admission_interval: int = 4
    refusal_memory_s: float = 5.0
    refusal_limit: int = 1024
    room_share: float = 0.5
    occupancy_interval_s: float = 1.0
    occupancy_validity_s: float = 3.0
    occupancy_vms: int = 64
    answer_s: float = 0.03
    paced_queue_s: float = 0.02
    held_limit: int = 128
    departures_limit: int = 32
    rate_smoothing: float = 0.3
    least_upload_share: float = 0.2


class TokenRouterSettings(NamedTuple):
    """Settings of the token router of one entry VM.

    Attributes:
        vm: This VM.
        zone: Availability zone of this VM.
        max_flows: Limit of flows whose load is tracked; packets of others are routed,
            but count for no load.
        flow_idle_timeout_s: Seconds without a packet after which a flow is removed.
        request_timeout_s: Seconds without a sign of an answer after which a request no
            longer counts as in progress.
        handshake_timeout_s: Seconds after its SYN packet was forwarded within which the
            caller must send another packet; otherwise its flow no longer counts as a
            request.
        load_report_expiry_s: Seconds after which the load reported by a silent VM is
            discarded; longer than the interval between complete reports.
        complete_report_interval_s: Seconds between complete load reports, which make up
            for lost ones.
        report_interval_min_s: Least seconds between reports of changed load.
        report_interval_per_vm_s: Seconds between such reports for each entry VM of the
            zone, so that a coordinator receives at most 250 a second in any zone.
        max_report_reordering: Number of report numbers behind the latest from which a
            report is taken to come from a restarted sender; a report that is less far
            behind was overtaken and is ignored.
        full_reporting_max_vms: Largest number of entry VMs in a zone at which each
            reports its whole load to all others; in a larger zone only placement
            coordinators get reports.
        placement_timeout_s: Seconds after which a placement request times out; far more
            than the delay between two VMs of a zone.
        coordinator_backoff_s: Seconds for which a VM is not asked after a timeout;
            doubles with each further timeout.
        coordinator_backoff_max_s: Upper limit of that time in seconds.
        placement_pause_s: Seconds for which no placement request is sent after an
            answer that all servers of the service are full.
        limited_placement_s: Seconds after such an answer during which the number of
            unanswered placement requests is limited.
        limited_placement_requests: Limit of unanswered placement requests during that
            time.
        reservation_timeout_s: Seconds after which a reservation expires if the other VM
            does not report the flow.
        new_server_delay_s: Seconds after a server becomes known during which others are
            preferred for new flows, so that the zone's other VMs learn its token too.
        ended_server_grace_s: Seconds for which packets are still forwarded to a server
            after its lifetime has ended; after that its flows are reset.
        removed_route_grace_s: Seconds after which open flows of a removed route are
            reset; by then every VM has installed the document that removed it.
        remote_zone_cost: Load per slot up to which new flows stay in their own zone;
            also added to the cost of servers in other zones.
        idle_flow_cost: Cost of an open flow without a request, relative to a request.
        server_queue_limit: Requests that may queue at a server beyond its slots before
            new flows wait here; as many as finish well within the target time of an
            answer.
        service_queue_limit: Limit of openings that wait in the queue of one service.
        queued_openings_limit: Limit of openings that wait in all queues of this VM.
        caller_queue_limit: Limit of openings of one caller address in a queue.
        grant_interval_s: Seconds between grants of free slots to queued openings.
        grant_rate_window_s: Length of the time windows, of which the last two tell how
            fast slots free up.
        grant_rate_min_s: Seconds of a queue's life before its grants tell that.
        priority_share_grants: Number of slots of which a lower priority with queued
            openings gets at least one.
        in_time_wait_share: Share of a route's target latency that an opening may wait
            to be answered in time; the rest is for the request itself.
        target_wait_factor: Factor of the target latency that an opening may wait; a
            later answer is taken to be of little use.
        standing_wait_factor: Factor of the target latency that an opening is expected
            to wait at most in a standing queue.
        refused_callers_limit: Limit of remembered addresses of refused callers.
        refused_caller_s: Seconds for which a refused caller may come again.
        queue_refresh_s: Seconds after which a VM asks again for an opening that waits
            in the queue of another one.
        queue_silence_s: Seconds without an answer of that VM from which a copy of the
            SYN has it asked again.
        warm_up_cost_factor: Factor on the cost of a server in warm-up.
        server_avoidance_s: Seconds for which a server is avoided after it left a SYN
            packet unanswered; doubles with each further one.
        server_avoidance_max_s: Upper limit of that time in seconds.
        min_retransmission_gap_s: Seconds between a SYN packet and its retransmission
            below which the retransmission is no evidence against the server, as this VM
            was late itself.
        lost_flow_retransmissions: Retransmissions of the same data from which a flow
            may be lost.
        lost_flow_min_s: Seconds since the first transmission of that data from which a
            flow may be lost. Without it, retransmissions that queued up while this VM
            was paused would count as evidence.
        probe_timeout_s: Seconds that a server has to accept one of the connections that
            it is asked for before its flows are reset.
        probe_validity_s: Seconds for which the result counts.
        probe_packets_limit: Limit of packets held for the result of one probe.
        probes_limit: Limit of probes in progress at once, each of which takes up to
            three of this VM's descriptors; further ones wait.
        flow_inquiry_timeout_s: Seconds for which answers of the other VMs of the zone
            are waited for that know where a flow is open.
        flow_inquiry_validity_s: Seconds after the question for which its outcome holds.
        flow_inquiry_limit: Limit of questions within that time.
        flow_inquiry_vms: Limit of VMs that one question, or piece of news, goes to.
        flow_news_validity_s: Seconds for which news of a flow counts; longer than a
            flow may be idle.
        flow_news_limit: Limit of flows of which news is kept.
        flow_news_told_limit: Limit of flows of which a VM that has started is told.
        flow_news_sweep_limit: Limit of flows that the others are told of until the next
            sweep.
        token_lookup_timeout_s: Seconds for which a packet with an unknown token is
            buffered; as long as a newly started entry VM may wait for a control VM that
            is starting too.
        token_buffer_limit: Limit of buffered packets with an unknown token.
        server_wait_s: Seconds for which SYN packets of a service without servers may
            wait for one, counted from when it last had one or from the start of this
            VM.
        server_learning_s: Seconds from the start of this VM in which it may not know
            all servers, so that no SYN packet is refused because those that it knows
            are in evacuated zones.
        caller_syn_timeout_s: Seconds that a caller waits for the answer to its SYN
            packet.
        placement_memory_s: Seconds for which the server of a new flow is remembered. A
            slow VM reads a SYN packet that late.
        syn_transmission_offsets_s: Seconds between the first SYN packet and each of its
            transmissions.
        syn_buffer_limit: Limit of buffered SYN packets.
        follow_up_share_threshold: Share of a route's requests that follow another one
            on their flow above which new flows of the route are expected to carry many
            requests.
        follow_up_share_smoothing: Weight of one request in the moving average of that
            share.
        many_requests_active_cost: Cost of a request in progress when the new flow is
            expected to carry many requests; the cost is 1 for other flows.
        warm_up_limits: Limit of the openings at a cold server, None for no limit and no
            pace.
        budget_window_s: Seconds within which that limit holds.
        vm_list_validity_s: Seconds for which the list of the zone's entry VMs counts as
            confirmed after an answer of a control VM of the zone; as many as a control
            VM may be silent.
        budget_wait_s: Seconds for which a VM has to be the first one for a service
            before it grants openings at cold servers. The former holder may go on for
            ``vm_list_validity_s``, and 0.3 s longer where answers queue on a saturated
            link; its grants count for ``budget_window_s`` after that.
        pace_lift_s: Seconds without a fault after which the requests in progress at a
            server that started or recovered are limited no longer.
        late_answer_factor: Factor of the service's recent mean time to the first answer
            within which an answer is in time, where the route has no target latency.
        mean_answer_smoothing: Weight of one answer in that mean.
        link: Settings of admission control for this VM's link.
    """

    vm: VmId
    zone: ZoneName
    max_flows: int = 400_000
    flow_idle_timeout_s: float = 15.0
    request_timeout_s: float = 0.7
    handshake_timeout_s: float = 0.25
    load_report_expiry_s: float = 1.6
    complete_report_interval_s: float = 0.7
    report_interval_min_s: float = 0.05
    report_interval_per_vm_s: float = 0.004
    max_report_reordering: int = 16
    full_reporting_max_vms: int = 4
    placement_timeout_s: float = 0.03
    coordinator_backoff_s: float = 1.0
    coordinator_backoff_max_s: float = 8.0
    placement_pause_s: float = 0.015
    limited_placement_s: float = 0.2
    limited_placement_requests: int = 4
    reservation_timeout_s: float = 0.5
    new_server_delay_s: float = 0.1
    ended_server_grace_s: float = 1.0
    removed_route_grace_s: float = 6.0
    remote_zone_cost: float = 0.7
    idle_flow_cost: float = 0.03
    server_queue_limit: int = 6
    service_queue_limit: int = 1024
    queued_openings_limit: int = 2048
    caller_queue_limit: int = 256
    grant_interval_s: float = 0.02
    grant_rate_window_s: float = 0.5
    grant_rate_min_s: float = 0.1
    priority_share_grants: int = 8
    in_time_wait_share: float = 0.5
    target_wait_factor: float = 2.0
    standing_wait_factor: float = 1.0
    refused_callers_limit: int = 4096
    refused_caller_s: float = 5.0
    queue_refresh_s: float = 1.0
    queue_silence_s: float = 0.15
    warm_up_cost_factor: float = 1.6
    server_avoidance_s: float = 0.5
    server_avoidance_max_s: float = 4.0
    min_retransmission_gap_s: float = 0.12
    lost_flow_retransmissions: int = 2
    lost_flow_min_s: float = 0.5
    probe_timeout_s: float = 1.5
    probe_validity_s: float = 1.0
    probe_packets_limit: int = 256
    probes_limit: int = 1024
    flow_inquiry_timeout_s: float = 0.1
    flow_inquiry_validity_s: float = 1.0
    flow_inquiry_limit: int = 256
    flow_inquiry_vms: int = 64
    flow_news_validity_s: float = 20.0
    flow_news_limit: int = 16_384
    flow_news_told_limit: int = 256
    flow_news_sweep_limit: int = 32
    token_lookup_timeout_s: float = 1.5
    token_buffer_limit: int = 2048
    server_wait_s: float = 5.0
    server_learning_s: float = 2.0
    caller_syn_timeout_s: float = 1.4
    placement_memory_s: float = 10.0
    syn_transmission_offsets_s: tuple[float, ...] = (0.0, 0.2, 0.6)
    syn_buffer_limit: int = 2048
    follow_up_share_threshold: float = 0.5
    follow_up_share_smoothing: float = 0.05
    many_requests_active_cost: float = 0.25
    warm_up_limits: WarmUpLimits | None = None
    budget_window_s: float = 1.0
    vm_list_validity_s: float = 1.2
    budget_wait_s: float = 2.5
    pace_lift_s: float = 10.0
    late_answer_factor: float = 2.0
    mean_answer_smoothing: float = 0.05
    link: LinkSettings = LinkSettings()

    def report_interval_s(self, vms: int) -> float:
        """Return the seconds between reports of changed load in a zone of some VMs."""
        return max(self.report_interval_min_s, vms * self.report_interval_per_vm_s)
