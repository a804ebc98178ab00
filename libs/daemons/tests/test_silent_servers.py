from __future__ import annotations

from random import Random

import pytest
from expression import Ok
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from kumquatmux_core import decisions
from kumquatmux_core.identity import Address, Endpoint
from kumquatmux_daemons.token_entry.core import EntryCore
from kumquatmux_daemons.token_entry.effects import Datagram, Probe
from kumquatmux_daemons.token_entry.settings import EntrySettings
from kumquatmux_registry.feed import FeedAnswer
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_registry.table import mark_ended
from kumquatmux_tokens.flow import PROVING_ANSWERS
from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.probes import ProbeResult
from kumquatmux_tokens.routes import Route, RouteSet, WeightedService

ROUTE = Address(bytes([198, 18, 0, 1, 1, 187]))
FLOW = bytes(6) + ROUTE
DATA = b"101 500 9"
PLACE = Endpoint("10.1.0.9", 1)
CONTROL_VMS = {"a": "c1", "b": "c2"}
REPORT = Report(
    Lifetime("i-1", 1), 1, "entries", Endpoint("10.2.0.9", 1), "b", "v1", 2,
    Phase.READY, 0.0,
)  # fmt: skip
SERVER = ServerRecord(REPORT, "c2")
OTHER_TOKEN = SERVER.token + 1


class OpenFlow:
    """Packets of one open flow, as numbers: sequence, acknowledgment and length."""

    def read_head(self, packet):
        sequence, acknowledged, length = map(int, packet.split())
        return PacketHeader(
            FLOW, ROUTE, SERVER.token, False, False, 0, sequence, acknowledged, length
        )

    def names_server(self, name):
        return True

    def to_server(self, packet, server, token):
        return b"forwarded"

    def reset_for(self, packet, sequence):
        return b"reset"

    def caller_ip(self, packet):
        return "100.64.0.1"

    def read_routes(self, content):
        route = Route("r", ROUTE, (WeightedService("entries", 1),))
        return Ok(RouteSet(int(content), (route,), frozenset({"entries"}), 15.0))


def answer(zone, *records):
    vm = CONTROL_VMS[zone]
    control = tuple(CONTROL_VMS.values())
    return FeedAnswer(
        vm, zone, 1, 0, len(records), records, 3, b"3", control, ("e1",), True
    )


def make_core():
    """Return an entry VM in zone a that saw a flow open at a server of zone b."""
    settings = EntrySettings("e1", "a", PLACE, PLACE, PLACE, PLACE, ("c1", "c2"))
    core = EntryCore(settings, OpenFlow(), Random(1), 0.0)
    core.message("c2", answer("b", SERVER), 0.0)
    for acknowledged in (100, 200, 300, 400):
        core.packet(b"92 %d 9" % acknowledged, 0.0)
    return core


@pytest.fixture
def core():
    return make_core()


@pytest.fixture
def lines():
    """The lines of the test: events with their fields."""
    written = []
    decisions.configure(
        as_json=False, sink=lambda event, fields: written.append((event, fields))
    )
    yield written
    decisions.configure(as_json=False)


def hear(core, now, *zones):
    for zone in zones:
        core.message(CONTROL_VMS[zone], answer(zone), now)


def listen(core, since, until, *zones):
    """Let time pass, with answers of the control VMs of some zones."""
    for step in range(round(since * 10), round(until * 10)):
        hear(core, step / 10, *zones)
        core.tick(step / 10)


def resets(core, *times):
    """Return the resets of a caller that sends the same data at some times."""
    return resets_among(one for now in times for one in core.packet(DATA, now))


def resets_among(effects):
    return [
        one for one in effects if isinstance(one, Datagram) and one.data == b"reset"
    ]


# Guards against reset lines that cannot tell a VM's own silence from a server's.
def test_a_reset_line_names_the_server_and_what_was_heard_of_it(core, lines):
    late = SERVER._replace(doubts=1)
    listen(core, 0.0, 2.0, "a", "b")
    core.message("c2", answer("b", late), 2.0)
    listen(core, 2.1, 3.0, "a", "b")
    listen(core, 3.0, 3.5, "a")
    resets(core, 2.5, 2.8, 3.2)
    core.probed(SERVER.token, ProbeResult.REFUSED, 3.2)
    resets(core, 3.4)
    line, later = [fields for event, fields in lines if event == "flow-reset"]
    assert line["server"] == SERVER.report.lifetime
    assert (line["holder"], line["late"]) == ("c2", True)
    assert line["holder_heard_s"] == pytest.approx(0.3)
    assert line["control_heard_s"] < 0.2
    assert (line["probe"], line["probed_s"]) == ("refused", 0.0)
    assert later["probed_s"] == pytest.approx(0.2)
    assert line["answered_s"] == pytest.approx(3.2)
    assert line["address_of"] == SERVER.report.lifetime


# Guards against resets by a VM that stood still and has read no news since.
def test_a_vm_that_stood_still_resets_no_flow_for_the_silence_of_others(core):
    listen(core, 0.0, 2.9, "a", "b")
    assert resets(core, 2.95) == []
    core.tick(8.0)
    assert resets(core, 8.0, 8.0, 8.0) == []


# Guards against resets by a VM that is cut off from the control VMs, not from servers.
def test_a_vm_that_hears_no_control_vm_resets_no_flow(core):
    listen(core, 0.0, 2.0, "a", "b")
    listen(core, 2.0, 5.0)
    assert resets(core, 5.0) == []
    listen(core, 5.0, 6.0)
    assert resets(core, 5.7, 5.9) == []


# Guards against resets of flows of a server that answers this VM while the control VMs
# of its zone do not.
def test_the_loss_of_a_zones_control_vms_resets_no_flow_of_a_server_that_lives(core):
    listen(core, 0.0, 2.0, "a", "b")
    listen(core, 2.0, 8.0, "a")
    assert resets(core, 8.0) == []
    listen(core, 8.0, 9.0, "a")
    assert resets(core, 8.7, 8.9) == []
    core.probed(SERVER.token, ProbeResult.ACCEPTED, 8.95)
    assert resets(core, 9.0, 9.1) == []


# Guards against a verdict on a zone that outlives the news that refutes it.
def test_a_zone_that_is_heard_again_speaks_against_no_server(core):
    listen(core, 0.0, 2.0, "a", "b")
    listen(core, 2.0, 8.0, "a")
    assert core.router.lost_holders == {"c2"}
    hear(core, 8.0, "b")
    assert core.router.lost_holders == frozenset()
    assert core.router.load_tracker.unreachable_zones == frozenset()


# Guards against a cut that is taken for the loss of all servers behind it, as it
# answers or swallows probes, and against a flow that is stuck once the zone is heard.
@pytest.mark.parametrize("result", [ProbeResult.REFUSED, ProbeResult.UNANSWERED])
@pytest.mark.parametrize("word", [SERVER._replace(doubts=1), mark_ended(SERVER)])
def test_a_flow_of_a_zone_that_is_silent_is_reset_once_its_holder_says_so(
    core, result, word
):
    listen(core, 0.0, 2.0, "a", "b")
    core.message("c1", answer("a", word), 2.0)
    listen(core, 2.0, 8.0, "a")
    assert resets(core, 8.0, 8.7, 8.9) == []
    assert not resets_among(core.probed(SERVER.token, result, 9.0))
    listen(core, 9.0, 10.0, "a")
    assert resets(core, 10.0, 10.3) == []
    assert not resets_among(core.probed(SERVER.token, result, 10.35))
    core.message("c2", answer("b", word._replace(doubts=3)), 10.4)
    probed = [one for now in (10.5, 11.4) for one in core.packet(DATA, now)]
    assert Probe(SERVER.token, REPORT.endpoint) in probed
    assert resets_among(core.probed(SERVER.token, result, 11.5))


# Guards against callers who wait out their budgets at a server whose host refuses, and
# whose holder is heard and calls it over, while its zone's control VM restarts.
def test_a_refusal_counts_while_the_holder_of_a_silent_zones_server_is_heard(core):
    core.message("c1", answer("a", SERVER._replace(holder="c1")), 0.0)
    listen(core, 0.0, 2.0, "a", "b")
    core.message("c1", answer("a", mark_ended(SERVER._replace(holder="c1"))), 2.0)
    listen(core, 2.0, 5.0, "a")
    resets(core, 5.0, 5.2)
    assert resets_among(core.probed(SERVER.token, ProbeResult.REFUSED, 5.3))


# Guards against the time-out of a probe that is read after a pause, and taken for the
# result of a probe that a packet started an instant before.
@pytest.mark.parametrize("paused_s", [1.6, 3.1, 6.0])
def test_a_probe_that_a_pause_outlasted_is_not_taken_for_the_next(core, paused_s):
    listen(core, 0.0, 2.0, "a", "b")
    core.message("c1", answer("a", mark_ended(SERVER)), 2.0)
    listen(core, 2.0, 5.0, "a", "b")
    resets(core, 5.0, 5.2)
    thawed_at = 5.2 + paused_s
    assert resets(core, thawed_at) == []
    unanswered = core.probed(SERVER.token, ProbeResult.UNANSWERED, thawed_at)
    assert not resets_among(unanswered)


# Guards against a reset for a cut that has healed: the probe met the cut, and ended
# after the server's zone was heard again.
@pytest.mark.parametrize("started_at", [9.2, 9.6])
def test_a_probe_that_met_a_cut_is_void_once_the_zone_is_heard(core, started_at):
    listen(core, 0.0, 2.0, "a", "b")
    core.message("c1", answer("a", mark_ended(SERVER)), 2.0)
    listen(core, 2.0, 9.0, "a")
    resets(core, 9.0)
    if started_at < 9.4:
        resets(core, started_at)
    hear(core, 9.4, "b")
    resets(core, 9.6)
    unanswered = core.probed(SERVER.token, ProbeResult.UNANSWERED, 9.8)
    assert bool(resets_among(unanswered)) == (started_at > 9.4)


@pytest.fixture
def busy_core(core):
    """An entry VM of one probe at once, which has one of another server in progress."""
    settings = core.router.settings._replace(probes_limit=1)
    core.router.probes.settings = settings
    listen(core, 0.0, 2.0, "a", "b")
    core.message("c2", answer("b", SERVER._replace(doubts=1)), 2.0)
    listen(core, 2.0, 8.0, "a", "b")
    assert core.router.probes.start(OTHER_TOKEN, 8.0)
    return core


def probes_among(effects):
    return [one for one in effects if isinstance(one, Probe)]


# Guards against a flow whose server is not probed, as too many probes are in progress:
# it is neither reset without a probe nor left alone for good.
def test_a_flow_whose_probe_waits_is_forwarded_and_reset_by_its_probe(busy_core):
    sent = [one for now in (8.0, 8.7, 8.9) for one in busy_core.packet(DATA, now)]
    assert [one.data for one in sent] == [b"forwarded"] * 3
    listen(busy_core, 8.9, 9.5, "a", "b")
    after = busy_core.probed(OTHER_TOKEN, ProbeResult.UNANSWERED, 9.5)
    assert probes_among(after) == [Probe(SERVER.token, REPORT.endpoint)]
    assert not resets_among(after)
    listen(busy_core, 9.5, 11.0, "a", "b")
    assert resets_among(busy_core.probed(SERVER.token, ProbeResult.UNANSWERED, 11.0))


# The same where the probes in progress never have a result.
def test_a_probe_that_waits_starts_once_those_in_progress_are_overdue(busy_core):
    resets(busy_core, 8.0, 8.7, 8.9)
    for now in (9.4, 9.9, 10.4, 10.9):
        assert not probes_among(busy_core.tick(now))
    started = probes_among(busy_core.tick(11.4))
    assert started == [Probe(SERVER.token, REPORT.endpoint)]


# Guards against room that is kept for a server that was forgotten while it waited.
def test_a_probe_of_a_server_that_was_forgotten_makes_room_for_others(busy_core):
    forgotten_token = OTHER_TOKEN + 1
    assert not busy_core.router.probes.start(forgotten_token, 8.0)
    resets(busy_core, 8.0, 8.7, 8.9)
    after = busy_core.probed(OTHER_TOKEN, ProbeResult.UNANSWERED, 9.5)
    assert probes_among(after) == [Probe(SERVER.token, REPORT.endpoint)]


class OwnSilence(RuleBasedStateMachine):
    """An entry VM that pauses and is cut off while the server of a flow goes on."""

    def __init__(self):
        super().__init__()
        self.core = make_core()
        self.now = 0.0
        self.heard = {"a", "b"}
        self.sequence = 101
        self.acknowledged = 500
        self.doubts = 0
        self.server_lives = True
        self.probes = []
        self.reset_count = 0
        self.listen(1.0)

    def take(self, effects):
        self.reset_count += len(resets_among(effects))
        self.probes += [self.now for one in effects if isinstance(one, Probe)]

    def send(self, length):
        packet = b"%d %d %d" % (self.sequence, self.acknowledged, length)
        self.take(self.core.packet(packet, self.now))

    def finish_probes(self):
        """Finish the probes that are due; a pause makes them late."""
        timeout_s = self.core.router.settings.probe_timeout_s
        for started_at in list(self.probes):
            is_late = self.now - started_at >= timeout_s
            if is_late or self.server_lives:
                self.probes.remove(started_at)
                result = ProbeResult.UNANSWERED if is_late else ProbeResult.ACCEPTED
                self.take(self.core.probed(SERVER.token, result, self.now))

    @rule(seconds=st.floats(0.1, 2.0))
    def listen(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += 0.1
            hear(self.core, self.now, *self.heard)
            self.finish_probes()
            self.take(self.core.tick(self.now))

    @rule(seconds=st.floats(0.5, 8.0), copies=st.integers(0, 4), ticks=st.booleans())
    def pause(self, seconds, copies, ticks):
        self.now += seconds
        if ticks:
            self.take(self.core.tick(self.now))
        self.repeat(copies)
        self.finish_probes()

    @rule(zone=st.sampled_from("ab"), seconds=st.sampled_from((0.0, 4.0)))
    def cut_off(self, zone, seconds):
        self.heard.discard(zone)
        self.listen(seconds)

    @rule(zone=st.sampled_from("ab"))
    def rejoin(self, zone):
        self.heard.add(zone)

    @rule(zone=st.sampled_from("ab"))
    def hear_that_the_server_is_late(self, zone):
        self.doubts += 1
        record = SERVER._replace(doubts=self.doubts)
        self.core.message(CONTROL_VMS[zone], answer(zone, record), self.now)

    @rule(copies=st.integers(1, 4), gap_s=st.sampled_from((0.0, 0.3)))
    def repeat(self, copies, gap_s=0.0):
        for _ in range(copies):
            self.listen(gap_s)
            self.send(9)

    @rule()
    def get_an_answer(self):
        self.acknowledged += 100
        self.send(0)
        self.sequence += 9

    @invariant()
    def no_flow_is_reset(self):
        assert self.reset_count == 0

    def teardown(self):
        """A flow is still reset once its server is lost, and its holder says so.

        It was idle for less time than flows are kept for: its server has answered.
        """
        for _ in range(PROVING_ANSWERS + 1):
            self.get_an_answer()
        self.probes = []
        self.server_lives = False
        self.heard = {"a", "b"}
        self.doubts += self.doubts % 2
        self.hear_that_the_server_is_late("b")
        self.sequence += 9
        for _ in range(24):
            self.send(9)
            self.listen(0.5)
        assert self.reset_count > 0


# Guards against resets for silence that was the VM's own, in whatever order a VM
# pauses, is cut off, hears late news and gets copies of packets.
TestOwnSilence = OwnSilence.TestCase
