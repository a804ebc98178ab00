from __future__ import annotations

from random import Random

from kumquatmux_core.identity import Endpoint
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.router import TokenRouter
from kumquatmux_tokens.routes import Route, RouteSet, WeightedService
from kumquatmux_tokens.settings import TokenRouterSettings

ROUTE = bytes([198, 18, 0, 1, 1, 187])
PLACE = Endpoint("10.0.0.9", 1)
REPORT = Report(Lifetime("i-1", 1), 1, "s", PLACE, "a", "v1", 400, Phase.READY, 0.0)


# Guards against news in bursts: of 2,000 flows that opened within one sweep after a
# missed copy of their SYN, the other VMs were told at once.
def test_what_is_told_of_flows_is_bounded_for_each_sweep():
    router = TokenRouter(TokenRouterSettings("e1", "a"), Random(1), 0.0)
    route = Route("r", ROUTE, (WeightedService("s", 1),))
    router.install_routes(RouteSet(1, (route,), frozenset({"s"}), 15.0), 0.0)
    record = ServerRecord(REPORT, "c1")
    router.store_record(record, 0.0)
    for number in range(80):
        syn = PacketHeader(
            number.to_bytes(6) + ROUTE, ROUTE, 0, True, False, 1, 0, 1, 0
        )
        router.route_packet(syn, 1.0)
        data = syn._replace(token=record.token, is_syn=False, sequence_number=1)
        router.route_packet(data, 1.0)
    router.coordinators.set_entry_vms(("e1", "e2", "e3"))
    told = [router.opened_flows.due_at_once(1.0), router.opened_flows.due_at_once(1.1)]
    told += [router.opened_flows.due(now) for now in (1.5, 2.0, 2.5)]
    assert [len(one) for one in told] == [64, 0, 64, 32, 0]
    assert len({opened.flow_key for one in told for _, opened in one}) == 80
