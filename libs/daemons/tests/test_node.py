from __future__ import annotations

from kumquatmux_core import decisions
from kumquatmux_lab.faultruns.site import COOPERATIVE, first_edits
from kumquatmux_lab.faultruns.site_world import World
from kumquatmux_membership.events import LeaseState


def test_a_call_is_answered_though_its_news_refreshes_a_route(monkeypatch):
    decisions.configure(as_json=False, enabled=False)
    world = World(COOPERATIVE, 1)
    world.change(first_edits(COOPERATIVE))
    world.run_until(world.now + 6.0)
    backend = next(iter(world.backends.values()))
    name = next(vm.vm for vm in world.vms if vm.zone == backend.zone)
    node = world.running[name].node
    refreshed = []

    def refresh(now):
        refreshed.append(now)
        node.refresh_route(None, now)

    monkeypatch.setattr(node, "spread_servers", refresh)
    backend.session += 1
    call = backend.announcement()
    ticket = node.answer_server(call, world.now).ticket
    answer = node.answer_server(call._replace(ticket=ticket), world.now)
    assert answer.state == LeaseState.GRANTED
    assert refreshed
