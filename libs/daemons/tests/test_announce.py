from __future__ import annotations

import hashlib
import json
from functools import partial
from random import Random

import httpx
import trio
from hypothesis import given
from hypothesis import strategies as st

from kumquatmux_core.identity import Endpoint, ServiceName, Vm, VmId, ZoneName
from kumquatmux_daemons.announce.app import announce_app
from kumquatmux_daemons.announce.requests import (
    read_announce,
    read_query,
    read_retirement,
    read_ticket,
)
from kumquatmux_daemons.announce.server import serve
from kumquatmux_daemons.announce.settings import AnnounceSettings, ServiceAccess
from kumquatmux_lab.standin.server_announcer import AnnouncerSettings, ServerAnnouncer
from kumquatmux_membership.events import Leave, PeersChanged, Tick
from kumquatmux_membership.leases import LeaseTable
from kumquatmux_membership.settings import LeaseSettings

ME = Vm(VmId("a1"), ZoneName("cnx-a"), Endpoint("127.0.0.1", 1), Endpoint("::", 2))
PEER = ME._replace(vm=VmId("a2"))
SERVER = "127.0.0.9:80"
BODY = {
    "endpoint": SERVER,
    "service": "entries",
    "zone": "cnx-a",
    "session": 7,
    "slots": 2,
    "connections": 2000,
}


def access(service, token, zones=()):
    digest = hashlib.sha256(token.encode()).hexdigest()
    return ServiceAccess(ServiceName(service), (digest,), zones)


class TableDesk:
    """A lease table behind the interface, without a daemon."""

    def __init__(self):
        self.table = LeaseTable(ME, LeaseSettings())
        self.services = {
            "entries": access("entries", "red"),
            "pagesetter": access("pagesetter", "blue", ("cnx-b",)),
            "closed": ServiceAccess(ServiceName("closed"), ()),
            "results": access("results", "green"),
        }
        self.table.handle(Tick(), trio.current_time())

    def access(self, service):
        return self.services.get(service)

    def call(self, event):
        return self.table.handle(event, trio.current_time())[0]


def client(desk, **settings):
    app = announce_app(AnnounceSettings(**settings), desk)
    return httpx.AsyncClient(
        transport=httpx.ASGITransport(app), base_url="http://127.0.0.1"
    )


def bearer(token):
    return {"Authorization": f"Bearer {token}"}


async def announce(http, token="red", **changes):
    body = BODY | changes
    first = await http.post("/v1/servers", json=body, headers=bearer(token))
    if first.status_code != 428:
        return first
    body["ticket"] = first.json()["ticket"]
    return await http.post("/v1/servers", json=body, headers=bearer(token))


BAD_ENDPOINT = "endpoint-invalid"

REFUSED_BODIES = [
    ("unknown service", {"service": "nosuch"}, 404, "service-unknown"),
    ("no token of the service", {"service": "closed"}, 403, "token-refused"),
    ("token of another", {"service": "pagesetter"}, 403, "token-refused"),
    ("other zone", {"zone": "lpg-a"}, 409, "wrong-zone"),
    ("no slots", {"slots": 0}, 400, "body-invalid"),
    ("absurd slots", {"slots": 10**12}, 400, "body-invalid"),
    ("slots as text", {"slots": "2"}, 400, "body-invalid"),
    ("fraction of a slot", {"slots": 1.5}, 400, "body-invalid"),
    ("negative session", {"session": -1}, 400, "body-invalid"),
    ("session over 53 bits", {"session": 2**53}, 400, "body-invalid"),
    ("name with a line end", {"service": "entries\n"}, 400, "body-invalid"),
    ("multicast", {"endpoint": "224.0.0.1:80"}, 400, "endpoint-invalid"),
    ("no port", {"endpoint": "127.0.0.9"}, 400, "endpoint-invalid"),
    ("port too high", {"endpoint": "127.0.0.9:70000"}, 400, "endpoint-invalid"),
    ("port with zeros", {"endpoint": "127.0.0.9:0080"}, 400, "endpoint-invalid"),
    ("host name", {"endpoint": "localhost:80"}, 400, "endpoint-invalid"),
    ("invented ticket", {"ticket": "0-nan"}, 428, "ticket-needed"),
    ("ticket of a past VM", {"ticket": "-1-0.0"}, 428, "ticket-needed"),
]


async def test_refused_announcements_have_one_code(autojump_clock):
    async with client(TableDesk()) as http:
        seen = []
        for name, changes, _, _ in REFUSED_BODIES:
            body = BODY | changes
            answer = await http.post("/v1/servers", json=body, headers=bearer("red"))
            seen.append((name, changes, answer.status_code, answer.json()["code"]))
    assert seen == REFUSED_BODIES


async def test_malformed_calls_have_one_code(autojump_clock):
    calls = [
        ("POST", "/v1/servers", b"", "red", 400, "body-invalid"),
        ("POST", "/v1/servers", b"[" * 4000, "red", 400, "body-invalid"),
        ("POST", "/v1/servers", b"x" * 5000, "red", 413, "body-too-large"),
        ("POST", "/v1/servers", json.dumps(BODY), None, 401, "token-missing"),
        ("POST", "/v1/servers", json.dumps(BODY), "\u00e9", 403, "token-refused"),
        ("PUT", "/v1/servers/1.2.3.4:5", json.dumps(BODY), "red", 400, "wrong-server"),
        ("GET", "/v1/servers", b"", "red", 405, "method-unknown"),
        ("POST", "/v2/servers", b"", "red", 404, "path-unknown"),
        ("DELETE", f"/v1/servers/{SERVER}", b"", "red", 400, "query-invalid"),
        (
            "DELETE",
            "/v1/servers/x?service=a&session=1",
            b"",
            "",
            400,
            "endpoint-invalid",
        ),
    ]
    async with client(TableDesk()) as http:
        for method, path, body, token, status, code in calls:
            headers = {}
            if token is not None:
                headers["Authorization"] = f"Bearer {token}".encode("latin-1")
            answer = await http.request(method, path, content=body, headers=headers)
            assert (answer.status_code, answer.json()["code"]) == (status, code), path


async def test_a_granted_lease_tells_its_times(autojump_clock):
    async with client(TableDesk()) as http:
        answer = await announce(http)
    assert answer.status_code == 200
    assert answer.json().items() >= {
        ("state", "granted"),
        ("session", 7),
        ("lease_seconds", 4.0),
        ("renew_seconds", 1.0),
    }


async def test_a_service_cannot_take_or_end_what_another_one_holds(autojump_clock):
    desk = TableDesk()
    async with client(desk) as http:
        await announce(http)
        taken = await announce(http, "green", service="results", session=8)
        query = {"service": "results", "session": "8"}
        path = f"/v1/servers/{SERVER}"
        left = await http.delete(path, params=query, headers=bearer("green"))
        await trio.sleep(LeaseSettings().address_hold_seconds + 10)
        desk.table.handle(Tick(), trio.current_time())
        freed = await announce(http, "green", service="results", session=8)
    assert [taken.json()["code"], left.json()["code"]] == ["address-taken"] * 2
    assert freed.status_code == 200


async def test_a_leave_is_noted_until_the_zone_cannot_undo_it(autojump_clock):
    desk = TableDesk()
    await trio.sleep(3)
    desk.table.handle(PeersChanged((PEER,)), trio.current_time())
    path = f"/v1/servers/{SERVER}?service=entries&session=7"
    async with client(desk) as http:
        await announce(http)
        noted = await http.delete(path, headers=bearer("red"))
        renewed = await announce(http)
        await trio.sleep(LeaseSettings().lease_seconds)
        in_force = await http.delete(path, headers=bearer("red"))
    assert (noted.status_code, noted.json()["state"]) == (202, "noted")
    assert (renewed.status_code, renewed.json()["code"]) == (410, "session-left")
    assert (in_force.status_code, in_force.json()["in_force_seconds"]) == (200, 3.0)


async def test_a_drained_server_stays_drained_when_it_renews(autojump_clock):
    desk = TableDesk()
    async with client(desk) as http:
        await announce(http)
        body = {"service": "entries", "session": 7}
        path = f"/v1/servers/{SERVER}/drain"
        drained = await http.post(path, json=body, headers=bearer("red"))
        await announce(http)
        assert desk.table.freshness.latest.fresh[0].draining
        await announce(http, session=8)
    assert drained.json()["state"] == "in-force"
    assert not desk.table.freshness.latest.fresh[0].draining


async def test_a_leaving_vm_sends_servers_elsewhere(autojump_clock):
    desk = TableDesk()
    desk.table.handle(Leave(), trio.current_time())
    async with client(desk) as http:
        answer = await announce(http)
    assert (answer.status_code, answer.json()["code"]) == (503, "vm-leaving")


async def test_calls_over_the_rate_are_refused(autojump_clock):
    desk = TableDesk()
    async with client(desk, calls_burst=2, calls_per_second=1.0) as http:
        answers = []
        for pause in (0, 0, 0, 1):
            await trio.sleep(pause)
            answer = await http.post("/v1/servers", json=BODY, headers=bearer("red"))
            answers.append(answer.status_code)
    assert answers == [428, 428, 429, 428]


async def test_the_announcer_moves_on_drains_and_leaves(autojump_clock):
    desk = TableDesk()
    app = announce_app(AnnounceSettings(), desk)
    working = httpx.ASGITransport(app)

    async def route(request):
        if request.url.port == 1:
            raise httpx.ConnectError("refused", request=request)
        return await working.handle_async_request(request)

    settings = AnnouncerSettings(
        endpoint=Endpoint("127.0.0.9", 80),
        service=ServiceName("entries"),
        zone=ZoneName("cnx-a"),
        slots=2,
        connections=2000,
        token="red",
        entries=(Endpoint("127.0.0.1", 1), Endpoint("127.0.0.1", 2)),
        session=7,
    )
    async with httpx.AsyncClient(transport=httpx.MockTransport(route)) as http:
        announcer = ServerAnnouncer(settings, http, Random(2))
        announcer.entry = 0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(announcer.run)
            await announcer.announced.wait()
            await trio.sleep(20)
            desk.table.handle(Tick(), trio.current_time())
            assert not desk.table.freshness.latest.fresh[0].draining
            await announcer.drain()
            await trio.sleep(20)
            desk.table.handle(Tick(), trio.current_time())
            assert desk.table.freshness.latest.fresh[0].draining
            await announcer.leave()
    desk.table.handle(Tick(), trio.current_time())
    assert desk.table.freshness.latest == ((), ())


BODIES = st.one_of(
    st.binary(max_size=200),
    st.dictionaries(
        st.sampled_from([*BODY, "ticket", "draining", "busy"]),
        st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text()),
    ).map(lambda changes: json.dumps(BODY | changes).encode("utf-8", "replace")),
)


@given(BODIES, st.text(max_size=30))
def test_no_body_crashes_the_decoder(body, server):
    for outcome in (
        read_announce(body, None),
        read_announce(body, server),
        read_retirement(body, server),
        read_query({"service": server, "session": server}, server),
    ):
        assert outcome.is_ok() or outcome.error.code
    read_ticket(server)


async def test_the_interface_is_served_and_stops_when_told(nursery):
    app = announce_app(AnnounceSettings(), TableDesk())
    stop = trio.Event()
    serving = partial(serve, app, Endpoint("127.0.0.1", 0), shutdown=stop.wait)
    (url,) = await nursery.start(serving)
    async with httpx.AsyncClient(base_url=url) as http:
        answer = await announce(http)
        large = await http.post("/v1/servers", content=b"x" * 100_000)
    assert answer.json()["state"] == "granted"
    assert large.json()["code"] == "body-too-large"
    stop.set()
