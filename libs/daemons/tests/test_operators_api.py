from __future__ import annotations

import json

import httpx
import pytest

from kumquatmux_core.identity import Endpoint
from kumquatmux_core.problems import Problem
from kumquatmux_daemons.keys.tokens import hash_token
from kumquatmux_daemons.operators.api import BODY_LIMIT_BYTES, operators_app
from kumquatmux_daemons.operators.desk import (
    ControlVm,
    EntryVm,
    NotLeader,
    NotTaken,
    Overview,
    PastRevision,
    Reshaped,
    Settled,
    Tree,
    Uncertain,
)
from kumquatmux_daemons.reports import ServerReport, VmReport
from kumquatmux_settings.change import ChangeOutcome, Edit, Verdict

SERVER = "10.1.0.9:80"
CHANGE = {
    "change_id": "c1",
    "base_revision": 3,
    "edits": [{"path": "a", "value": 1}, {"path": "b"}],
}


class FakeDesk:
    def __init__(self, handling=None):
        self.handling = handling
        self.changes = []

    def tree(self):
        values = {"defaults.placement.hold_ms": "5", "zones.cnx-a.region": '"r"'}
        return Tree("cnx-a-c", "cnx-a-c", 3, "d" * 16, 0.25, values)

    async def change(self, change):
        self.changes.append(change)
        return self.handling

    async def use_control_vms(self, vms):
        return self.handling or Reshaped(vms)

    def outcome(self, change_id):
        known = ChangeOutcome("c1", Verdict.ACCEPTED, 4)
        return known if change_id == "c1" else None

    def history(self, limit):
        edits = (Edit("a", "1"), Edit("b", None))
        return [PastRevision(3, "c0", "nok", "why", 1.0, edits)][:limit]

    async def overview(self):
        def server(state, is_holder):
            row = (SERVER, "entries", "cnx-a", state, 2, 1, 2000, 7)
            return ServerReport(*row, is_holder)

        one = VmReport(
            "cnx-a-1", 1, "cnx-a", 3, 400, 9, 2, (), (), (server("ready", False),)
        )
        two = one._replace(
            sender="cnx-a-2", staleness_ms=-1, servers=(server("draining", True),)
        )
        return Overview(
            True,
            (ControlVm("cnx-a-c", "cnx-a", "leader"),),
            (
                EntryVm("cnx-a-1", "cnx-a", one),
                EntryVm("cnx-a-2", "cnx-a", two),
                EntryVm("cnx-b-1", "cnx-b", None),
            ),
        )

    async def drain(self, server, operator):
        return "cnx-a-2" if server == SERVER else None


@pytest.fixture
def token_file(tmp_path):
    path = tmp_path / "tokens.toml"
    path.write_text(
        "".join(
            f'[[tokens]]\noperator = "{name}"\naccess = "{access}"\n'
            f'sha256 = "{hash_token(name + "-token")}"\n'
            for name, access in (("nok", "change"), ("lek", "read"))
        )
    )
    return path


async def ask(desk, token_file, method, path, token="nok-token", **options):
    transport = httpx.ASGITransport(operators_app(desk, token_file))
    headers = {"authorization": f"Bearer {token}"} if token else {}
    async with httpx.AsyncClient(
        transport=transport, base_url="https://10.0.0.9"
    ) as client:
        return await client.request(method, path, headers=headers, **options)


ACCESS = [
    ("GET", "/v1/settings", None, 401),
    ("GET", "/v1/settings", "wrong", 401),
    ("GET", "/v1/settings", "lek-token", 200),
    ("POST", "/v1/changes", "lek-token", 403),
    ("POST", f"/v1/servers/{SERVER}/drain", "lek-token", 403),
    ("POST", f"/v1/servers/{SERVER}/drain", "nok-token", 200),
    ("POST", "/v1/servers/10.9.9.9:1/drain", "nok-token", 404),
    ("GET", "/v1/changes/c1", "lek-token", 200),
    ("GET", "/v1/changes/c9", "lek-token", 404),
    ("GET", "/v1/history?limit=0", "lek-token", 400),
    ("GET", "/v1/history?limit=many", "lek-token", 400),
    ("GET", "/v1/explain?option=placement.hold", "lek-token", 404),
    ("GET", "/v1/none", "lek-token", 404),
    ("DELETE", "/v1/settings", "nok-token", 405),
]


@pytest.mark.parametrize("method, path, token, status", ACCESS)
async def test_each_route_asks_for_its_token(token_file, method, path, token, status):
    answer = await ask(FakeDesk(), token_file, method, path, token)
    assert answer.status_code == status
    if status >= 400:
        assert set(answer.json()["problem"]) == {"code", "detail", "subject"}


async def test_a_withdrawn_token_is_refused_without_a_restart(token_file):
    assert (await ask(FakeDesk(), token_file, "GET", "/v1/settings")).is_success
    token_file.write_text(
        token_file.read_text().replace(hash_token("nok-token"), "0" * 64)
    )
    assert (await ask(FakeDesk(), token_file, "GET", "/v1/settings")).status_code == 401
    token_file.unlink()
    assert (await ask(FakeDesk(), token_file, "GET", "/v1/settings")).status_code == 503


def settled(verdict):
    return Settled(ChangeOutcome("c1", verdict, 4, "a: 1 [why]"))


@pytest.mark.parametrize(
    "handling, status, verdict",
    [
        (settled(Verdict.ACCEPTED), 200, "accepted"),
        (settled(Verdict.CONFLICT), 409, "conflict"),
        (settled(Verdict.EXPIRED), 410, "expired"),
        (settled(Verdict.INVALID), 422, "invalid"),
        (Uncertain("no majority answered in time"), 504, "unknown"),
        (NotTaken(Problem("pending-full", "too many changes")), 503, None),
        (NotLeader(None, "no leader"), 503, None),
        (NotLeader(Endpoint("10.0.1.9", 4800), "cnx-b-c leads"), 307, None),
    ],
)
async def test_each_outcome_has_its_status(token_file, handling, status, verdict):
    desk = FakeDesk(handling)
    answer = await ask(desk, token_file, "POST", "/v1/changes", json=CHANGE)
    assert (answer.status_code, answer.json().get("verdict")) == (status, verdict)
    if status == 307:
        assert answer.headers["location"] == "https://10.0.1.9:4800/v1/changes"
    (change,) = desk.changes
    assert change.operator == "nok"
    assert change.edits == (Edit("a", "1"), Edit("b", None))


@pytest.mark.parametrize(
    "handling, body, status",
    [
        (None, {"vms": ["a", "b", "c"]}, 200),
        (None, {"vms": "a"}, 400),
        (NotTaken(Problem("membership-size", "2 named")), {"vms": ["a", "b"]}, 422),
        (NotTaken(Problem("membership-busy", "under way")), {"vms": ["a"]}, 503),
        (NotLeader(Endpoint("10.0.1.9", 4800), "b leads"), {"vms": ["a"]}, 307),
        (Uncertain("no majority"), {"vms": ["a"]}, 504),
    ],
)
async def test_control_vms_are_named_by_the_leader(token_file, handling, body, status):
    desk = FakeDesk(handling)
    answer = await ask(desk, token_file, "POST", "/v1/control-vms", json=body)
    assert answer.status_code == status
    if status == 307:
        assert answer.headers["location"].endswith("/v1/control-vms")


BODIES = [
    (b"", 400),
    (b"[]", 400),
    (json.dumps({"change_id": "c1"}).encode(), 400),
    (json.dumps({**CHANGE, "base_revision": "3"}).encode(), 400),
    (json.dumps({**CHANGE, "edits": [{"value": 1}]}).encode(), 400),
    (b" " * (BODY_LIMIT_BYTES + 1), 413),
]


@pytest.mark.parametrize("body, status", BODIES)
async def test_a_bad_body_reaches_no_log(token_file, body, status):
    desk = FakeDesk()
    answer = await ask(desk, token_file, "POST", "/v1/changes", content=body)
    assert (answer.status_code, desk.changes) == (status, [])


async def test_reads_show_values_revision_and_staleness(token_file):
    body = (
        await ask(FakeDesk(), token_file, "GET", "/v1/settings?prefix=defaults")
    ).json()
    assert body["values"] == {"defaults.placement.hold_ms": 5}
    assert (body["revision"], body["staleness_s"]) == (3, 0.25)
    told = await ask(
        FakeDesk(), token_file, "GET", "/v1/explain?option=placement.hold_ms&zone=cnx-a"
    )
    assert told.json()["source"] == "defaults.placement.hold_ms"
    past = (await ask(FakeDesk(), token_file, "GET", "/v1/history")).json()
    assert past["revisions"][0]["edits"] == [{"path": "a", "value": 1}, {"path": "b"}]


async def test_status_shows_every_vm_and_the_holders_word(token_file):
    body = (await ask(FakeDesk(), token_file, "GET", "/v1/status")).json()
    seen = {vm["vm"]: (vm["state"], vm["staleness_s"]) for vm in body["vms"]}
    assert seen == {
        "cnx-a-c": ("leader", 0.25),
        "cnx-a-1": ("up", 0.4),
        "cnx-a-2": ("up", None),
        "cnx-b-1": ("unreachable", None),
    }
    (server,) = body["servers"]
    assert (server["state"], server["holder"]) == ("draining", "cnx-a-2")
