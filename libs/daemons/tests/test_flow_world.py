"""Rule FLOW: no open flow is reset, or led elsewhere, by others than its server."""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path

import pytest

from kumquatmux_core import decisions
from kumquatmux_registry.records import Phase

_path = Path(__file__).with_name("flow_world.py")
_spec = importlib.util.spec_from_file_location("flow_world", _path)
flow_world = sys.modules["flow_world"] = importlib.util.module_from_spec(_spec)
_spec.loader.exec_module(flow_world)
World = flow_world.World

RUN_S = 30.0
FLOWS = 200


@pytest.fixture
def start():
    """Return a function that makes a world which reads its VMs' lines."""

    def make(*given, **named):
        world = World(*given, **named)
        decisions.configure(as_json=False, sink=world.note_decision)
        return world

    yield make
    decisions.configure(as_json=False)


def freeze_vm(world, random):
    random.choice(list(world.vms.values())).freeze(random.uniform(0.3, 6.0))


def slow_vm(world, random):
    vm = random.choice(list(world.vms.values()))
    vm.read_delay_s = random.uniform(0.1, 2.5)
    world.after(random.uniform(2.0, 6.0), setattr, vm, "read_delay_s", 0.0)


def cut_vm(world, random):
    vm = random.choice(list(world.vms.values()))
    vm.is_cut = True
    world.after(random.uniform(0.5, 6.0), setattr, vm, "is_cut", False)


def roll_vm(world, random):
    random.choice([one for one in world.vms.values() if one.is_up]).stop()
    world.after(random.uniform(0.5, 4.0), world.add_vm)


def add_vm(world, random):
    world.add_vm()


def lose_packets(world, random):
    world.loss = random.uniform(0.1, 0.35)
    world.after(random.uniform(1.0, 4.0), setattr, world, "loss", 0.0)


def any_server(world, random):
    return random.choice([one for one in world.servers if is_serving(one)])


def is_serving(server):
    return server.is_up and server.phase == Phase.READY


def slow_server(world, random):
    server = any_server(world, random)
    delay_s = random.uniform(0.25, 1.3)
    server.disturb_by("syn_delay_s", delay_s, random.uniform(1.0, 4.0))


def fill_server(world, random):
    server = any_server(world, random)
    server.disturb_by("is_full", True, random.uniform(1.0, 4.0))


def cut_server(world, random):
    server = any_server(world, random)
    server.disturb_by("is_cut", True, random.uniform(1.0, 6.0))


def pause_server(world, random):
    any_server(world, random).pause(random.uniform(0.5, 8.0))


def lose_paths(world, random):
    names = tuple(name for name in world.vms if random.random() < 0.5)
    any_server(world, random).disturb_by("lost_paths", names, random.uniform(1.0, 6.0))


def pause_control(world, random):
    world.control.pause(random.uniform(0.5, 6.0))


def start_control_anew(world, random):
    world.control.start()


def restart_server(world, random):
    server = any_server(world, random)
    server.crash()
    cut_s = random.choice((0.0, random.uniform(1.0, 4.0)))
    world.after(random.uniform(0.05, 1.0), server.start_again, cut_s)


def replace_server(world, random):
    server = any_server(world, random)
    server.crash()
    world.after(random.uniform(2.0, 5.0), world.add_server, server.endpoint)


def release_server(world, random):
    """Replace a server by plan; the leave call may get no ack."""
    drain_s = random.uniform(1.0, 4.0)
    linger_s = random.choice((0.05, random.uniform(2.0, 6.0)))
    server = any_server(world, random)
    server.drain(drain_s, linger_s)
    reuse_s = random.uniform(2.0, 5.0)
    world.after(random.uniform(0.0, 1.0), world.add_server)
    world.after(drain_s + linger_s + reuse_s, world.add_server, server.endpoint)


DISTURBANCES = (
    freeze_vm, slow_vm, cut_vm, roll_vm, add_vm, lose_packets, slow_server,
    fill_server, cut_server, pause_server, lose_paths, pause_control,
    start_control_anew, restart_server, replace_server, release_server,
)  # fmt: skip


def disturb(world, random):
    """Plan a few disturbances of two to four kinds."""
    kinds = random.sample(DISTURBANCES, random.randint(2, 4))
    for _ in range(random.randint(3, 8)):
        kind = random.choice(kinds)
        world.after(random.uniform(2.0, RUN_S - 6.0), kind, world, random)


def play(start, seed):
    """Return the counted breaks of a drawn run."""
    world = start(seed, vms=4 + seed % 2, servers=5)
    random = world.random
    disturb(world, random)
    for _ in range(FLOWS):
        pauses_s = [random.uniform(0.0, 10.0) for _ in range(random.randint(0, 4))]
        world.after(random.uniform(1.0, RUN_S - 4.0), world.add_caller, *pauses_s)
    world.run(RUN_S)
    return counted(world)


def counted(world):
    return [one for one in world.checker.breaks if one.is_counted]


def red(name):
    return pytest.mark.xfail(strict=True, reason=f"{name} in KNOWN-RED.txt")


ACK_SHARES = [0.0, 1.0]
"""Shares of answers that a caller acknowledges before its next request."""

SEEDS = [1, 2, 4, 5, 12, 23, 24, 26, 27, 216, 230, 250, 269, 329, 412, 567]


# Guards against any way in which a few disturbances break an open flow.
@pytest.mark.parametrize("seed", SEEDS)
def test_no_flow_is_broken_in_a_drawn_run(start, seed):
    assert play(start, seed) == []


def lead(world, *steps):
    """Lead all flows through one VM after another, each until a time."""
    world.is_rotation_held = True
    for until, vm in steps:
        world.rotation = [vm]
        world.run(until)


def placements(world, flow):
    return [one for one in world.history[flow] if "placed" in one]


# Guards against a reset of a flow that opened at a server that had started again under
# its id, before that start was known: the flow's token is that of the former lifetime.
def test_a_flow_of_a_server_that_started_again_is_kept(start):
    world = start(1, servers=1)
    world.run(2.0)
    (server,) = world.servers
    server.crash()
    world.after(0.3, server.start_again, 2.0)
    world.run(3.0)
    flow = world.add_caller(7.0, 2.0)
    world.run(16.0)
    assert world.checker.holders[flow] is world.servers[-1]
    assert counted(world) == []


def open_at_two(world, late_s, *pauses_s):
    """Open a flow whose first SYN a slow server answers late.

    Returns:
        The flow, the server that it is open at, and the one whose late answer leaves
        its token with the caller.
    """
    world.run(2.0)
    first, second = world.servers
    first.syn_delay_s = second.syn_delay_s = late_s
    flow = world.add_caller(*pauses_s)
    world.run(2.1)
    first.syn_delay_s = second.syn_delay_s = 0.0
    world.run(3.0)
    holder = world.checker.holders[flow]
    other = second if holder is first else first
    return flow, holder, other


def move(world, flow):
    """Roll the VM of a flow, which then passes one that never saw it."""
    world.vm_of(flow).stop()


# Guards against a reset for a late token of a server that ended by plan, by a VM that
# the rotation leads the flow to and that never saw it.
def test_a_flow_is_kept_when_its_caller_carries_the_token_of_an_ended_server(start):
    world = start(1, servers=2)
    flow, _, other = open_at_two(world, 1.2, 9.0, 1.0)
    world.run(4.0)
    other.drain(0.5, 0.05)
    world.run(9.0)
    move(world, flow)
    world.run(16.0)
    assert not other.is_up
    assert counted(world) == []


# Guards against the same with a server that crashed, so that it is late, not ended.
def test_a_flow_is_kept_when_its_caller_carries_the_token_of_a_silent_server(start):
    world = start(1, servers=2)
    flow, _, other = open_at_two(world, 1.2, 9.0, 1.0)
    world.run(4.0)
    other.crash()
    world.run(9.0)
    move(world, flow)
    world.run(16.0)
    assert counted(world) == []


# Guards against a VM that never saw a flow and hands it to the server whose late token
# the caller carries: that one doesn't hold the flow and resets it.
def test_a_flow_is_kept_when_its_caller_carries_the_token_of_another_server(start):
    world = start(1, servers=2)
    flow, _, _ = open_at_two(world, 1.2, 9.0, 1.0)
    world.run(9.0)
    move(world, flow)
    world.run(16.0)
    assert counted(world) == []


# Guards against the same at a VM that knows the flow by its packets only: they carried
# the token of the flow's server until the late answer came.
def test_a_flow_is_kept_at_a_vm_that_saw_it_before_the_late_token(start):
    world = start(1, servers=2)
    flow, holder, other = open_at_two(world, 6.0, 3.0, 4.0, 1.0)
    move(world, flow)
    world.run(6.0)
    assert world.callers[flow].token == holder.lifetime.token
    world.run(16.0)
    assert counted(world) == []


# Guards against the same at the VM that placed the flow: it takes a token that comes
# back, while more is acknowledged, for that of the flow's server.
def test_a_flow_is_kept_when_the_late_token_comes_twice(start):
    world = start(1, servers=2)
    world.ack_share = 0.0
    world.run(2.0)
    placer, other = list(world.vms)[:2]
    first, second = world.servers
    flow = world.add_caller(3.0, 3.0, 1.0)
    for until, vm, late_s in (
        (2.1, placer, 3.0), (2.4, other, 5.0), (12.0, placer, 0.0)
    ):  # fmt: skip
        first.syn_delay_s = second.syn_delay_s = late_s
        lead(world, (until, vm))
    assert len(placements(world, flow)) == 3
    assert counted(world) == []


# Guards against the same at a VM that knows from another one where the flow is open.
def test_a_flow_is_kept_when_the_late_token_comes_twice_at_another_vm(start):
    world = start(1, servers=2)
    world.ack_share = 0.0
    world.run(2.0)
    placer, other, third = list(world.vms)[:3]
    first, second = world.servers
    flow = world.add_caller(3.0, 3.0, 1.0)
    for until, vm, late_s in (
        (2.1, placer, 3.0), (2.4, other, 5.0), (4.0, placer, 0.0), (12.0, third, 0.0)
    ):  # fmt: skip
        first.syn_delay_s = second.syn_delay_s = late_s
        lead(world, (until, vm))
    assert len(placements(world, flow)) == 3
    assert counted(world) == []


# Guards against the same at a VM that saw one packet of the flow under its token, where
# another VM placed the copies of its SYN and saw none of its packets.
def test_a_flow_is_kept_when_it_opens_at_a_vm_that_placed_no_copy(start):
    world = start(1, servers=2)
    world.ack_share = 0.0
    world.run(2.0)
    placer, other = list(world.vms)[:2]
    for server in world.servers:
        server.syn_delay_s = 1.2
    flow = world.add_caller(5.0, 1.0)
    lead(world, (2.1, placer))
    for server in world.servers:
        server.syn_delay_s = 0.1
    lead(world, (2.25, placer), (12.0, other))
    assert len(placements(world, flow)) == 2
    assert counted(world) == []


# Guards against the same at a VM that was cut off from the others when the flow opened,
# and is in touch again since.
def test_a_flow_is_kept_at_a_vm_that_was_cut_off_when_it_opened(start):
    world = start(1, servers=2)
    placer, cut_off = list(world.vms)[:2]
    lead(world, (1.0, placer))
    world.vms[cut_off].is_cut = True
    flow, _, _ = open_at_two(world, 1.2, 5.0, 1.0)
    world.run(4.0)
    world.vms[cut_off].is_cut = False
    lead(world, (12.0, cut_off))
    assert len(placements(world, flow)) == 2
    assert counted(world) == []


# Guards against the same at a slow VM that placed copies of the SYN at other servers,
# after the flow had opened and its packets had passed another VM.
def test_a_flow_is_kept_at_a_slow_vm_that_placed_copies_after_it_opened(start):
    world = start(1, servers=3)
    world.run(2.0)
    slow, other = list(world.vms)[:2]
    world.vms[slow].read_delay_s = 1.0
    flow = world.add_caller(5.0, 1.0)
    lead(world, (2.7, slow))
    world.vms[slow].read_delay_s = 0.0
    lead(world, (6.0, other), (12.0, slow))
    assert len(placements(world, flow)) == 3
    assert counted(world) == []


# Guards against the same where the VM that passed the flow's packets has ended since:
# as it knew of no copies, it told nobody.
@red("late-token-after-the-only-vm-that-knew-ended")
def test_a_flow_is_kept_at_a_slow_vm_when_the_vm_that_passed_it_ended(start):
    world = start(1, servers=3)
    world.run(2.0)
    slow, other = list(world.vms)[:2]
    world.vms[slow].read_delay_s = 1.0
    flow = world.add_caller(5.0, 1.0)
    lead(world, (2.7, slow))
    world.vms[slow].read_delay_s = 0.0
    lead(world, (5.0, other))
    world.vms[other].stop()
    lead(world, (12.0, slow))
    assert len(placements(world, flow)) == 3
    assert counted(world) == []


# Guards against the same where the VM that saw the flow open fails 0.3 s after its SYN.
def test_a_flow_is_kept_when_the_vm_that_saw_it_open_fails(start):
    world = start(1, servers=2)
    world.run(2.0)
    world.after(0.3, setattr, world.vm_of(1), "is_up", False)
    open_at_two(world, 1.2, 5.0, 1.0)
    world.run(12.0)
    assert counted(world) == []


# Guards against the same at the VM that placed the flow, where the flow's own server
# has sent its leave call and serves on.
@pytest.mark.parametrize("ack_share", ACK_SHARES)
def test_a_flow_of_a_server_that_left_is_kept_under_a_late_token(start, ack_share):
    world = start(1, servers=2)
    world.ack_share = ack_share
    _, holder, _ = open_at_two(world, 1.2, 8.0)
    holder.drain(0.5, 9.0)
    world.run(12.0)
    assert holder.is_up
    assert counted(world) == []


# Guards against a copy of a SYN that waited in a slow VM until the others forgot the
# flow: placed at a second server, it leaves that one's token with the caller.
def test_a_flow_is_kept_when_a_copy_of_its_syn_is_read_after_it_opened(start):
    world = start(1, servers=2)
    world.run(2.0)
    slow, other = list(world.vms)[:2]
    world.vms[slow].read_delay_s = 3.0
    flow = world.add_caller(5.0, 1.0)
    lead(world, (2.1, slow))
    world.vms[slow].read_delay_s = 0.0
    lead(world, (6.0, other), (12.0, slow))
    assert len(placements(world, flow)) == 2
    assert counted(world) == []


# Guards against a placement coordinator that stood still for a second: it doesn't know
# what was placed meanwhile, and places the copy in its queue at a second server.
@pytest.mark.parametrize("ack_share", ACK_SHARES)
def test_a_flow_is_kept_when_its_coordinator_stood_still(start, ack_share):
    world = start(1, servers=5)
    world.ack_share = ack_share
    world.run(2.0)
    frozen = world.coordinator()
    awake, third = [name for name in world.vms if name != frozen][:2]
    world.vms[frozen].freeze(1.0)
    flow = world.add_caller(5.0, 1.0)
    lead(world, (2.1, frozen), (6.0, awake), (12.0, third))
    assert len(placements(world, flow)) == 2
    assert counted(world) == []


# Guards against VMs that place copies of one SYN without knowing of each other, while
# their coordinator stands still.
@pytest.mark.parametrize("ack_share", ACK_SHARES)
def test_a_flow_is_kept_when_copies_are_placed_without_a_coordinator(start, ack_share):
    world = start(1, servers=5)
    world.ack_share = ack_share
    world.run(2.0)
    coordinator = world.coordinator()
    slow, other, third = [one for one in world.vms if one != coordinator]
    world.vms[coordinator].freeze(3.0)
    world.vms[slow].read_delay_s = 0.4
    flow = world.add_caller(5.0, 1.0)
    lead(world, (2.1, slow))
    world.vms[slow].read_delay_s = 0.0
    lead(world, (6.0, other), (12.0, third))
    assert len(placements(world, flow)) == 2
    assert counted(world) == []


# Guards against a VM that stood still while its coordinator's answer came: it takes the
# coordinator for silent, and places the opening by itself at a second server.
def test_a_flow_is_kept_when_the_vm_of_its_syn_stood_still(start):
    world = start(1, servers=5)
    world.run(2.0)
    frozen, awake, third = [one for one in world.vms if one != world.coordinator()][:3]
    world.after(0.0031, world.vms[frozen].freeze, 0.3, True)
    flow = world.add_caller(5.0, 1.0)
    lead(world, (2.1, frozen), (6.0, awake), (12.0, third))
    assert len(placements(world, flow)) == 2
    assert counted(world) == []


# Guards against resets of flows of a server that has sent its leave call, got no ack,
# and serves on for some seconds.
def test_a_flow_is_kept_while_a_server_that_has_left_serves_on(start):
    world = start(1, servers=1)
    world.run(2.0)
    world.add_caller(6.0)
    world.run(3.0)
    (server,) = world.servers
    server.drain(1.0, 8.0)
    world.run(11.0)
    assert server.is_up
    assert counted(world) == []


# Guards against the same where each probe of the server goes unanswered, while its
# flows are served.
def test_a_flow_is_kept_while_probes_of_a_server_that_has_left_are_lost(start):
    world = start(1, servers=1)
    world.are_probes_lost = True
    world.run(2.0)
    for _ in range(20):
        world.add_caller(2.2, *[0.7] * 9)
    world.run(3.0)
    (server,) = world.servers
    server.drain(1.0, 8.0)
    world.run(4.05)
    server.phase = Phase.READY
    world.run(11.0)
    assert server.is_up
    assert counted(world) == []


# Guards against a late token at a VM that no other one told, or could tell: drawn runs.
@pytest.mark.parametrize(
    ("seed", "ack_share"),
    [
        pytest.param(2064, 0.5, marks=red("late-token-that-a-third-vm-follows")),
        pytest.param(3001, 0.0, marks=red("late-token-that-a-third-vm-follows")),
        pytest.param(3096, 0.0, marks=red("news-told-into-a-cut")),
    ],
)
def test_drawn_runs_of_callers_that_acknowledge_late(start, seed, ack_share):
    def start_acknowledging(*given, **named):
        world = start(*given, **named)
        world.ack_share = ack_share
        return world

    assert play(start_acknowledging, seed) == []
