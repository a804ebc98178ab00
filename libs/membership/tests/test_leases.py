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
LOCAL_VM = Vm(VmId("me"), ZONE, Endpoint("127.0.0.1", 1), Endpoint("127.0.0.1", 2), 100)
PEER = LOCAL_VM._replace(vm=VmId("peer"), incarnation=0)
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
    table = LeaseTable(LOCAL_VM, LeaseSettings())
    table.handle(Tick(), START - 10)
    table.handle(PeersChanged((PEER,)), START - 10)
    return table


def heartbeat_received(table_version, echo, incarnation=7):
    message = Heartbeat(
        PEER.vm, incarnation, 1.0, echo, 0, "", table_version, echoed_incarnation=100
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


def fresh_servers(table):
    return [lease.server for lease in table.freshness.latest.fresh]


def stale_servers(table):
    return [lease.server for lease in table.freshness.latest.stale]


def sent_messages(actions, kind):
    sent = [action.message for action in actions if isinstance(action, SendMessage)]
    return [message for message in sent if isinstance(message, kind)]


def call_with_ticket(table, event, now):
    answer = table.handle(event, now)[0]
    if answer.problem and answer.problem.code == "ticket-needed":
        answer = table.handle(event._replace(ticket=answer.ticket), now)[0]
    return answer


def test_a_peers_lease_is_fresh_for_2_5_seconds_from_the_echoed_timestamp():
    table = make_table()
    table.handle(update_received(1, make_lease()), START)
    assert (fresh_servers(table), stale_servers(table)) == ([], [make_lease().server])
    table.handle(heartbeat_received(1, echo=START - 1.0), START)
    assert fresh_servers(table) == [make_lease().server]
    assert table.valid_until == START + 1.5
    table.handle(Tick(), START + 1.4)
    assert fresh_servers(table) == [make_lease().server]
    table.handle(Tick(), START + 1.5)
    assert (fresh_servers(table), stale_servers(table)) == ([], [make_lease().server])


def test_an_echo_confirms_only_the_known_table_version():
    table = make_table()
    actions = table.handle(heartbeat_received(3, echo=START), START)
    assert sent_messages(actions, LeaseRequest) == [LeaseRequest(LOCAL_VM.vm, 0, 7)]
    table.handle(update_received(2, make_lease()), START)
    assert fresh_servers(table) == []
    table.handle(update_received(3, make_lease(number=8), base=2), START)
    assert len(fresh_servers(table)) == 2


INVALID_ECHOES = {
    "of another incarnation of the receiver": heartbeat_received(1, START)._replace(
        message=heartbeat_received(1, START).message._replace(echoed_incarnation=99)
    ),
    "from the future": heartbeat_received(1, START + 5),
    "without a timestamp": heartbeat_received(1, 0.0),
    "from an earlier incarnation of the sender": heartbeat_received(
        1, START, incarnation=6
    ),
}


@pytest.mark.parametrize("case", INVALID_ECHOES)
def test_an_invalid_echo_confirms_nothing(case):
    table = make_table()
    table.handle(update_received(1, make_lease()), START)
    table.handle(INVALID_ECHOES[case], START)
    assert fresh_servers(table) == []


def test_missing_changes_are_requested_and_old_ones_ignored():
    table = make_table()
    table.handle(update_received(2, make_lease()), START)
    actions = table.handle(update_received(5, make_lease(number=8), base=4), START)
    assert sent_messages(actions, LeaseRequest) == [LeaseRequest(LOCAL_VM.vm, 2, 7)]
    released = make_lease()._replace(held=False)
    table.handle(update_received(2, released, base=1), START)
    table.handle(heartbeat_received(2, START), START)
    assert fresh_servers(table) == [make_lease().server]
    table.handle(update_received(6, make_lease(number=7), complete=True), START)
    assert fresh_servers(table) == [make_lease(number=7).server]


def test_a_holders_restart_keeps_its_servers_as_stale():
    table = make_table()
    table.handle(update_received(1, make_lease()), START)
    table.handle(heartbeat_received(1, START), START)
    table.handle(heartbeat_received(0, START, incarnation=8), START)
    assert (fresh_servers(table), stale_servers(table)) == ([], [make_lease().server])
    assert (
        call_with_ticket(table, Announce(make_lease()), START).state
        == LeaseState.GRANTED
    )
    assert fresh_servers(table) == [make_lease().server]


def test_a_later_phase_from_a_peer_ends_the_lease_held_here():
    table = make_table()
    call_with_ticket(table, Announce(make_lease()), START)
    left = make_lease(phase=Phase.LEFT)
    actions = table.handle(update_received(1, left, ack=True), START)
    assert sent_messages(actions, LeaseAck) == [LeaseAck(LOCAL_VM.vm, 7, 1)]
    assert table.freshness.latest == ((), ())
    refused = call_with_ticket(table, Announce(make_lease()), START)
    assert refused.problem.code == "session-left"
    assert (
        call_with_ticket(table, Announce(make_lease(session=2)), START).state
        == LeaseState.GRANTED
    )


def test_a_server_claimed_by_two_services_is_stale():
    table = make_table()
    call_with_ticket(table, Announce(make_lease()), START)
    table.handle(update_received(1, make_lease(session=9, service="pagesetter")), START)
    table.handle(heartbeat_received(1, START), START)
    assert (fresh_servers(table), stale_servers(table)) == ([], [make_lease().server])
    assert table.freshness.latest.stale[0].service == "entries"


def test_a_leave_forged_by_another_service_has_no_effect():
    table = make_table()
    call_with_ticket(table, Announce(make_lease()), START)
    forged = make_lease(session=9, service="pagesetter", phase=Phase.LEFT)
    table.handle(update_received(1, forged), START)
    assert fresh_servers(table) == [make_lease().server]
    depart = Depart(make_lease().server, 9, ServiceName("pagesetter"))
    assert call_with_ticket(table, depart, START).problem.code == "address-taken"


def test_a_lease_expires_4_seconds_after_its_ticket_was_issued():
    table = make_table()
    first = table.handle(Announce(make_lease()), START)[0]
    announce = Announce(make_lease(), first.ticket)
    assert table.handle(announce, START + 2)[0].state == LeaseState.GRANTED
    table.handle(Tick(), START + 3.9)
    assert fresh_servers(table) == [make_lease().server]
    table.handle(Tick(), START + 4.0)
    assert (fresh_servers(table), stale_servers(table)) == ([], [make_lease().server])
    late = table.handle(announce, START + 4.1)[0]
    assert late.problem.code == "ticket-needed"


@pytest.mark.parametrize("kind", [Drain, Depart])
def test_an_unacknowledged_retirement_is_in_force_after_leases_expire(kind):
    table = make_table()
    call_with_ticket(table, Announce(make_lease()), START)
    actions = table.handle(kind(make_lease().server), START)
    assert actions[0].state == LeaseState.NOTED
    sent = sent_messages(actions, LeaseUpdate)
    assert [message.ack_requested for message in sent] == [True]
    resend = table.handle(Tick(), START + 0.3)
    assert sent_messages(resend, LeaseUpdate)[0].version == sent[0].version
    noted = table.handle(kind(make_lease().server), START + 4.0)[0]
    assert noted.state == LeaseState.NOTED
    lapsed = table.handle(kind(make_lease().server), START + 4.1)[0]
    assert lapsed.state == LeaseState.IN_FORCE


def test_an_acknowledged_retirement_is_in_force_at_once():
    table = make_table()
    call_with_ticket(table, Announce(make_lease()), START)
    table.handle(Depart(make_lease().server), START)
    wrong_incarnation = LeaseAck(PEER.vm, 99, table.holder.version)
    earlier_version = LeaseAck(PEER.vm, 100, table.holder.version - 1)
    for ack in (wrong_incarnation, earlier_version):
        table.handle(Received(ack), START)
        assert (
            call_with_ticket(table, Depart(make_lease().server), START).state
            == LeaseState.NOTED
        )
    table.handle(Received(LeaseAck(PEER.vm, 100, table.holder.version)), START)
    assert (
        call_with_ticket(table, Depart(make_lease().server), START).state
        == LeaseState.IN_FORCE
    )


def test_a_leave_of_an_unknown_server_needs_session_and_service():
    table = make_table()
    server = make_lease().server
    assert (
        call_with_ticket(table, Depart(server), START).problem.code == "server-unknown"
    )
    answer = call_with_ticket(table, Depart(server, 3, ServiceName("entries")), START)
    assert answer.state == LeaseState.NOTED
    refused = call_with_ticket(table, Announce(make_lease(session=3)), START)
    assert refused.problem.code == "session-left"


def test_a_lease_request_gets_changes_or_the_complete_table():
    table = make_table()
    call_with_ticket(table, Announce(make_lease()), START)
    call_with_ticket(table, Announce(make_lease(number=8)), START)
    answers = []
    for since, incarnation in ((1, 100), (0, 100), (1, 99)):
        request = LeaseRequest(PEER.vm, since, incarnation)
        sent = sent_messages(table.handle(Received(request), START), LeaseUpdate)[0]
        answers.append((sent.is_complete, len(sent.leases), sent.version))
    assert answers == [(False, 1, 2), (True, 2, 2), (True, 2, 2)]


def test_a_renewal_sends_no_update_to_peers():
    table = make_table()
    table.handle(heartbeat_received(0, START), START)
    call_with_ticket(table, Announce(make_lease()), START)
    renewal = Announce(make_lease()._replace(busy=2, open=17))
    first = table.handle(renewal, START + 1)[0]
    actions = table.handle(renewal._replace(ticket=first.ticket), START + 1)
    assert sent_messages(actions, LeaseUpdate) == []


def test_a_starting_vm_refuses_unknown_servers_until_peers_confirm():
    table = LeaseTable(LOCAL_VM, LeaseSettings())
    table.handle(PeersChanged((PEER,)), START)
    assert (
        call_with_ticket(table, Announce(make_lease()), START).problem.code
        == "vm-starting"
    )
    table.handle(heartbeat_received(0, START), START)
    assert (
        call_with_ticket(table, Announce(make_lease()), START).state
        == LeaseState.GRANTED
    )


def test_a_holder_silent_for_too_long_is_dropped():
    table = make_table()
    table.handle(update_received(1, make_lease()), START)
    table.handle(heartbeat_received(1, START), START)
    for second in range(0, 800, 5):
        table.handle(Tick(), START + second)
    assert table.freshness.latest == ((), ())
    assert table.peer_tables == {}
