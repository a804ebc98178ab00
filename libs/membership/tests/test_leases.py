from __future__ import annotations

import pytest

from kumquatmux_core.identity import Endpoint, ServerId, ServiceName, Vm, VmId, ZoneName
from kumquatmux_membership.events import (
    Announce,
    Depart,
    Drain,
    Heartbeat,
    Lease,
    LeaseAck,
    LeaseRequest,
    LeaseState,
    LeaseUpdate,
    PeersChanged,
    Received,
    SendMessage,
    Tick,
)
from kumquatmux_membership.leases import LeaseTable
from kumquatmux_membership.phases import Phase, version_of, with_phase
from kumquatmux_membership.settings import LeaseSettings

ZONE = ZoneName("cnx-a")
ME = Vm(VmId("me"), ZONE, Endpoint("127.0.0.1", 1), Endpoint("127.0.0.1", 2), 100)
PEER = ME._replace(vm=VmId("peer"), incarnation=0)
START = 50.0


def make_lease(session=1, service="entries", phase=Phase.LIVE, number=9):
    endpoint = Endpoint(f"127.0.0.{number}", 80)
    new_lease = Lease(
        ServerId(str(endpoint)),
        endpoint,
        ServiceName(service),
        ZONE,
        2,
        2000,
        False,
        False,
        version_of(session, Phase.LIVE),
    )
    return with_phase(new_lease, phase)


def make_table():
    made = LeaseTable(ME, LeaseSettings())
    made.handle(Tick(), START - 10)
    made.handle(PeersChanged((PEER,)), START - 10)
    return made


def heartbeat_received(leases, echo, incarnation=7):
    message = Heartbeat(
        PEER.vm, incarnation, 1.0, echo, 0, "", leases, echoed_incarnation=100
    )
    return Received(message)


def update_received(version, *leases, base=0, complete=False, incarnation=7, ack=False):
    message = LeaseUpdate(
        PEER.vm,
        incarnation,
        version,
        complete,
        leases,
        base_version=base,
        ack_requested=ack,
    )
    return Received(message)


def fresh_servers(made):
    return [lease.server for lease in made.freshness.latest.fresh]


def stale_servers(made):
    return [lease.server for lease in made.freshness.latest.stale]


def sent_messages(actions, kind):
    sent = [action.message for action in actions if isinstance(action, SendMessage)]
    return [message for message in sent if isinstance(message, kind)]


def call_with_ticket(made, event, now):
    answer = made.handle(event, now)[0]
    if answer.problem and answer.problem.code == "ticket-needed":
        answer = made.handle(event._replace(ticket=answer.ticket), now)[0]
    return answer


def test_a_peers_lease_is_fresh_for_2_5_seconds_from_the_echoed_stamp():
    made = make_table()
    made.handle(update_received(1, make_lease()), START)
    assert (fresh_servers(made), stale_servers(made)) == ([], [make_lease().server])
    made.handle(heartbeat_received(1, echo=START - 1.0), START)
    assert fresh_servers(made) == [make_lease().server]
    assert made.valid_until == START + 1.5
    made.handle(Tick(), START + 1.4)
    assert fresh_servers(made) == [make_lease().server]
    made.handle(Tick(), START + 1.5)
    assert (fresh_servers(made), stale_servers(made)) == ([], [make_lease().server])


def test_an_echo_confirms_only_the_known_table_version():
    made = make_table()
    actions = made.handle(heartbeat_received(3, echo=START), START)
    assert sent_messages(actions, LeaseRequest) == [LeaseRequest(ME.vm, 0, 7)]
    made.handle(update_received(2, make_lease()), START)
    assert fresh_servers(made) == []
    made.handle(update_received(3, make_lease(number=8), base=2), START)
    assert len(fresh_servers(made)) == 2


INVALID_ECHOES = {
    "of another incarnation": heartbeat_received(1, START)._replace(
        message=heartbeat_received(1, START).message._replace(echoed_incarnation=99)
    ),
    "from the future": heartbeat_received(1, START + 5),
    "of nothing": heartbeat_received(1, 0.0),
    "of an older sender": heartbeat_received(1, START, incarnation=6),
}


@pytest.mark.parametrize("case", INVALID_ECHOES)
def test_an_invalid_echo_confirms_nothing(case):
    made = make_table()
    made.handle(update_received(1, make_lease()), START)
    made.handle(INVALID_ECHOES[case], START)
    assert fresh_servers(made) == []


def test_missing_changes_are_requested_and_old_ones_ignored():
    made = make_table()
    made.handle(update_received(2, make_lease()), START)
    actions = made.handle(update_received(5, make_lease(number=8), base=4), START)
    assert sent_messages(actions, LeaseRequest) == [LeaseRequest(ME.vm, 2, 7)]
    released = make_lease()._replace(held=False)
    made.handle(update_received(2, released, base=1), START)
    made.handle(heartbeat_received(2, START), START)
    assert fresh_servers(made) == [make_lease().server]
    made.handle(update_received(6, make_lease(number=7), complete=True), START)
    assert fresh_servers(made) == [make_lease(number=7).server]


def test_a_holders_restart_keeps_its_servers_as_stale():
    made = make_table()
    made.handle(update_received(1, make_lease()), START)
    made.handle(heartbeat_received(1, START), START)
    made.handle(heartbeat_received(0, START, incarnation=8), START)
    assert (fresh_servers(made), stale_servers(made)) == ([], [make_lease().server])
    assert (
        call_with_ticket(made, Announce(make_lease()), START).state
        == LeaseState.GRANTED
    )
    assert fresh_servers(made) == [make_lease().server]


def test_a_later_phase_from_a_peer_ends_the_lease_held_here():
    made = make_table()
    call_with_ticket(made, Announce(make_lease()), START)
    left = make_lease(phase=Phase.LEFT)
    actions = made.handle(update_received(1, left, ack=True), START)
    assert sent_messages(actions, LeaseAck) == [LeaseAck(ME.vm, 7, 1)]
    assert made.freshness.latest == ((), ())
    refused = call_with_ticket(made, Announce(make_lease()), START)
    assert refused.problem.code == "session-left"
    assert (
        call_with_ticket(made, Announce(make_lease(session=2)), START).state
        == LeaseState.GRANTED
    )


def test_a_server_claimed_by_two_services_is_stale():
    made = make_table()
    call_with_ticket(made, Announce(make_lease()), START)
    made.handle(update_received(1, make_lease(session=9, service="pagesetter")), START)
    made.handle(heartbeat_received(1, START), START)
    assert (fresh_servers(made), stale_servers(made)) == ([], [make_lease().server])
    assert made.freshness.latest.stale[0].service == "entries"


def test_a_leave_forged_by_another_service_has_no_effect():
    made = make_table()
    call_with_ticket(made, Announce(make_lease()), START)
    forged = make_lease(session=9, service="pagesetter", phase=Phase.LEFT)
    made.handle(update_received(1, forged), START)
    assert fresh_servers(made) == [make_lease().server]
    depart = Depart(make_lease().server, 9, ServiceName("pagesetter"))
    assert call_with_ticket(made, depart, START).problem.code == "address-taken"


def test_a_lease_expires_4_seconds_after_its_ticket_was_issued():
    made = make_table()
    first = made.handle(Announce(make_lease()), START)[0]
    announce = Announce(make_lease(), first.ticket)
    assert made.handle(announce, START + 2)[0].state == LeaseState.GRANTED
    made.handle(Tick(), START + 3.9)
    assert fresh_servers(made) == [make_lease().server]
    made.handle(Tick(), START + 4.0)
    assert (fresh_servers(made), stale_servers(made)) == ([], [make_lease().server])
    late = made.handle(announce, START + 4.1)[0]
    assert late.problem.code == "ticket-needed"


@pytest.mark.parametrize("kind", [Drain, Depart])
def test_an_unacknowledged_retirement_is_in_force_after_leases_expire(kind):
    made = make_table()
    call_with_ticket(made, Announce(make_lease()), START)
    actions = made.handle(kind(make_lease().server), START)
    assert actions[0].state == LeaseState.NOTED
    sent = sent_messages(actions, LeaseUpdate)
    assert [message.ack_requested for message in sent] == [True]
    resend = made.handle(Tick(), START + 0.3)
    assert sent_messages(resend, LeaseUpdate)[0].version == sent[0].version
    noted = made.handle(kind(make_lease().server), START + 4.0)[0]
    assert noted.state == LeaseState.NOTED
    lapsed = made.handle(kind(make_lease().server), START + 4.1)[0]
    assert lapsed.state == LeaseState.IN_FORCE


def test_an_acknowledged_retirement_is_in_force_at_once():
    made = make_table()
    call_with_ticket(made, Announce(make_lease()), START)
    made.handle(Depart(make_lease().server), START)
    wrong_incarnation = LeaseAck(PEER.vm, 99, made.holder.version)
    earlier_version = LeaseAck(PEER.vm, 100, made.holder.version - 1)
    for ack in (wrong_incarnation, earlier_version):
        made.handle(Received(ack), START)
        assert (
            call_with_ticket(made, Depart(make_lease().server), START).state
            == LeaseState.NOTED
        )
    made.handle(Received(LeaseAck(PEER.vm, 100, made.holder.version)), START)
    assert (
        call_with_ticket(made, Depart(make_lease().server), START).state
        == LeaseState.IN_FORCE
    )


def test_a_leave_of_an_unknown_server_needs_session_and_service():
    made = make_table()
    server = make_lease().server
    assert (
        call_with_ticket(made, Depart(server), START).problem.code == "server-unknown"
    )
    answer = call_with_ticket(made, Depart(server, 3, ServiceName("entries")), START)
    assert answer.state == LeaseState.NOTED
    refused = call_with_ticket(made, Announce(make_lease(session=3)), START)
    assert refused.problem.code == "session-left"


def test_a_lease_request_gets_changes_or_the_complete_table():
    made = make_table()
    call_with_ticket(made, Announce(make_lease()), START)
    call_with_ticket(made, Announce(make_lease(number=8)), START)
    answers = []
    for since, incarnation in ((1, 100), (0, 100), (1, 99)):
        request = LeaseRequest(PEER.vm, since, incarnation)
        sent = sent_messages(made.handle(Received(request), START), LeaseUpdate)[0]
        answers.append((sent.is_complete, len(sent.leases), sent.version))
    assert answers == [(False, 1, 2), (True, 2, 2), (True, 2, 2)]


def test_a_renewal_sends_no_update_to_peers():
    made = make_table()
    made.handle(heartbeat_received(0, START), START)
    call_with_ticket(made, Announce(make_lease()), START)
    renewal = Announce(make_lease()._replace(busy=2, open=17))
    first = made.handle(renewal, START + 1)[0]
    actions = made.handle(renewal._replace(ticket=first.ticket), START + 1)
    assert sent_messages(actions, LeaseUpdate) == []


def test_a_starting_vm_refuses_unknown_servers_until_peers_confirm():
    made = LeaseTable(ME, LeaseSettings())
    made.handle(PeersChanged((PEER,)), START)
    assert (
        call_with_ticket(made, Announce(make_lease()), START).problem.code
        == "vm-starting"
    )
    made.handle(heartbeat_received(0, START), START)
    assert (
        call_with_ticket(made, Announce(make_lease()), START).state
        == LeaseState.GRANTED
    )


def test_a_holder_silent_for_too_long_is_dropped():
    made = make_table()
    made.handle(update_received(1, make_lease()), START)
    made.handle(heartbeat_received(1, START), START)
    for second in range(0, 800, 5):
        made.handle(Tick(), START + second)
    assert made.freshness.latest == ((), ())
    assert made.peer_tables == {}
