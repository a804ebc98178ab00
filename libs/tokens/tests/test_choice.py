from __future__ import annotations

from random import Random

from kumquatmux_core.identity import Endpoint
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_tokens.choice import NewFlow, select_server
from kumquatmux_tokens.directory import ServerDirectory
from kumquatmux_tokens.load import LoadTracker
from kumquatmux_tokens.pools import ServerPools
from kumquatmux_tokens.settings import TokenRouterSettings
from kumquatmux_tokens.work import LoadShare, ServerLoad

NOW_S = 10.0
FLOW_WITH_FEW_REQUESTS = NewFlow((), False, NOW_S)
FLOW_WITH_MANY_REQUESTS = NewFlow((), True, NOW_S)


def make_server_record(
    name, zone="a", slots=2, warm_up_s=0.0, doubts=0, phase=Phase.READY
):
    endpoint = Endpoint("10.0.0.9", int(name[2:]))
    report = Report(
        Lifetime(name, 1), 1, "entries", endpoint, zone, "v1", slots, phase, warm_up_s
    )
    return ServerRecord(report, "c1", doubts)


def make_pool(directory, load_tracker):
    return ServerPools(directory, load_tracker).pool("entries")


def selected_server_name(
    records,
    active_requests=(),
    flow=FLOW_WITH_FEW_REQUESTS,
    first_known_at=0.0,
    open_flows=(),
    load_report=None,
):
    """Return the name of the selected server, given requests and flows by name."""
    directory = ServerDirectory("a")
    load_tracker = LoadTracker(TokenRouterSettings("e1", "a"))
    for record in records:
        directory.store_record(record, first_known_at)
    for name, count in dict(active_requests).items():
        load_tracker.local_load_at(Lifetime(name, 1).token).active_requests = count
    for name, count in dict(open_flows).items():
        load_tracker.local_load_at(Lifetime(name, 1).token).open_flows = count
    if load_report:
        load_tracker.peer_load.apply_report(load_report, NOW_S)
    selection = select_server(
        make_pool(directory, load_tracker), flow, load_tracker, Random(1)
    )
    return selection and selection.entry.record.report.lifetime.name


def test_flow_with_few_requests_goes_to_the_least_loaded_server():
    assert (
        selected_server_name(
            [make_server_record("i-1"), make_server_record("i-2")], {"i-1": 1}
        )
        == "i-2"
    )


def test_load_is_compared_per_slot():
    records = [make_server_record("i-1", slots=8), make_server_record("i-2", slots=2)]
    assert selected_server_name(records, {"i-1": 2, "i-2": 1}) == "i-1"


def test_load_reported_by_other_vms_counts():
    token = Lifetime("i-1", 1).token
    load_report = LoadShare("e2", 1, True, 0, (ServerLoad(token, 3, 3, False),))
    assert (
        selected_server_name(
            [make_server_record("i-1"), make_server_record("i-2")],
            {"i-2": 1},
            load_report=load_report,
        )
        == "i-2"
    )


def test_flow_leaves_its_zone_only_if_the_local_servers_are_busy():
    records = [make_server_record("i-1", "a"), make_server_record("i-2", "b")]
    assert selected_server_name(records, {"i-1": 1}) == "i-1"
    assert selected_server_name(records, {"i-1": 3}) == "i-2"


def test_flow_with_many_requests_goes_to_the_server_with_fewest_open_flows():
    records = [make_server_record("i-1"), make_server_record("i-2")]
    loads = {"active_requests": {"i-1": 1}, "open_flows": {"i-1": 5, "i-2": 40}}
    assert selected_server_name(records, flow=FLOW_WITH_MANY_REQUESTS, **loads) == "i-1"


def test_flow_with_many_requests_stays_in_its_zone_despite_active_requests():
    records = [make_server_record("i-1", "a"), make_server_record("i-2", "b")]
    assert (
        selected_server_name(records, {"i-1": 3}, flow=FLOW_WITH_MANY_REQUESTS) == "i-1"
    )


def test_server_in_warm_up_gets_fewer_flows():
    records = [make_server_record("i-1", warm_up_s=30.0), make_server_record("i-2")]
    assert selected_server_name(records, {"i-2": 1}) == "i-2"
    assert selected_server_name(records, {"i-2": 2}) == "i-1"


def test_last_resort_servers_are_selected_by_priority_level():
    overdue, tried, healthy = (
        make_server_record("i-1", doubts=1),
        make_server_record("i-2"),
        make_server_record("i-3"),
    )
    retried_flow = NewFlow((tried.token,), False, NOW_S)
    assert (
        selected_server_name([overdue, tried, healthy], {"i-3": 5}, flow=retried_flow)
        == "i-3"
    )
    assert selected_server_name([overdue, tried], flow=retried_flow) == "i-1"
    assert selected_server_name([tried], flow=retried_flow) == "i-2"


def test_newly_known_server_is_not_preferred():
    records = [make_server_record("i-1", "b")]
    assert selected_server_name(records, first_known_at=NOW_S - 0.05) == "i-1"
    directory = ServerDirectory("a")
    directory.store_record(make_server_record("i-1"), NOW_S - 0.05)
    directory.store_record(make_server_record("i-2", "b"), 0.0)
    load_tracker = LoadTracker(TokenRouterSettings("e1", "a"))
    selection = select_server(
        make_pool(directory, load_tracker),
        FLOW_WITH_FEW_REQUESTS,
        load_tracker,
        Random(1),
    )
    assert selection.entry.record.report.lifetime.name == "i-2"


def test_servers_of_an_unreachable_zone_are_a_last_resort():
    directory = ServerDirectory("a")
    directory.store_record(make_server_record("i-1", "b"), 0.0)
    directory.store_record(make_server_record("i-2", "c"), 0.0)
    load_tracker = LoadTracker(TokenRouterSettings("e1", "a"))
    load_tracker.unreachable_zones = frozenset({"b"})
    selected_names = set()
    for seed in range(20):
        selection = select_server(
            make_pool(directory, load_tracker),
            FLOW_WITH_FEW_REQUESTS,
            load_tracker,
            Random(seed),
        )
        selected_names.add(selection.entry.record.report.lifetime.name)
    assert selected_names == {"i-2"}


def test_draining_and_ended_servers_are_not_selected():
    draining = make_server_record("i-1", phase=Phase.DRAINING)
    ended = make_server_record("i-2", phase=Phase.ENDED)
    assert selected_server_name([draining, ended]) is None
