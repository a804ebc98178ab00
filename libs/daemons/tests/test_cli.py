from __future__ import annotations

import json
from pathlib import Path

import httpx
import pytest
import typer
from typer.testing import CliRunner

from kumquatmux_daemons.cli import app
from kumquatmux_daemons.commands.changes import new_change_id, time_of
from kumquatmux_daemons.commands.client import ClientSettings
from kumquatmux_daemons.commands.exit_codes import EXIT_CODE_DOCS, ExitCode

ONE, TWO = "10.0.0.9:4800", "10.0.1.9:4800"
SETTINGS = {
    "vm": "c",
    "leader": "c",
    "revision": 4,
    "digest": "d",
    "staleness_s": 0.5,
    "values": {"zones.cnx-a.region": "r", "defaults.placement.hold_ms": 5},
}
ACCEPTED = {"change_id": "c1", "verdict": "accepted", "revision": 5, "detail": ""}
PROBLEM = {"problem": {"code": "x", "detail": "said so", "subject": "key"}}


class Api:
    """Answers calls from a script, the last answer for ever; notes what was sent."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.sent = []

    def __call__(self, request):
        if request.method == "GET" and request.url.path == "/v1/settings":
            return httpx.Response(200, json=SETTINGS)
        body = json.loads(request.content) if request.content else None
        self.sent.append((request.url.netloc.decode(), body))
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if isinstance(answer, Exception):
            raise answer
        return answer


def answer(status, body, **headers):
    return httpx.Response(status, json=body, headers=headers)


def run(*arguments, api=None, endpoints=(ONE,)):
    transport = httpx.MockTransport(api or Api(answer(200, ACCEPTED)))
    settings = ClientSettings(endpoints, transport=transport, pause=lambda _: None)
    return CliRunner().invoke(app, list(arguments), obj=settings)


def test_set_sends_one_change_on_the_revision_in_force():
    api = Api(answer(200, ACCEPTED))
    result = run("set", "defaults.placement.hold_ms", "300", "--note", "n", api=api)
    assert (result.exit_code, result.stdout) == (
        0,
        "accepted as revision 5 (change c1)\n",
    )
    ((_, body),) = api.sent
    assert body["edits"] == [{"path": "defaults.placement.hold_ms", "value": 300}]
    assert (body["base_revision"], body["note"]) == (4, "n")
    assert f"change {body['change_id']} based on revision 4" in result.stderr


@pytest.mark.parametrize(
    "arguments, sent",
    [
        (("set", "k", "plain"), {"edits": [{"path": "k", "value": "plain"}]}),
        (("set", "k", "[1]"), {"edits": [{"path": "k", "value": [1]}]}),
        (("unset", "k"), {"edits": [{"path": "k"}]}),
        (("undo",), {"undo_to": 3}),
        (("undo", "--to", "1"), {"undo_to": 1}),
        (("undo", "--base", "2"), {"undo_to": 1, "base_revision": 2}),
        (("set", "k", "1", "--base", "2"), {"base_revision": 2}),
        (("unset", "k", "--change-id", "old"), {"change_id": "old", "at": 0.0}),
    ],
)
def test_what_each_command_sends(arguments, sent):
    api = Api(answer(200, ACCEPTED))
    assert run(*arguments, api=api).exit_code == 0
    assert api.sent[0][1].items() >= sent.items()


@pytest.mark.parametrize(
    "answers, code",
    [
        ([answer(409, {**ACCEPTED, "verdict": "conflict"})], ExitCode.CONFLICT),
        ([answer(422, {**ACCEPTED, "verdict": "invalid"})], ExitCode.INVALID),
        ([answer(410, {**ACCEPTED, "verdict": "expired"})], ExitCode.EXPIRED),
        ([answer(400, PROBLEM)], ExitCode.INVALID),
        ([answer(401, PROBLEM)], ExitCode.DENIED),
        ([answer(403, PROBLEM)], ExitCode.DENIED),
        ([answer(404, PROBLEM)], ExitCode.NOT_FOUND),
        ([answer(503, PROBLEM)], ExitCode.UNREACHABLE),
        ([answer(500, PROBLEM)], ExitCode.FAILED),
        ([httpx.Response(200, text="<html>")], ExitCode.FAILED),
        ([answer(504, {**ACCEPTED, "verdict": "unknown"})], ExitCode.UNKNOWN),
        ([httpx.ConnectError("refused")], ExitCode.UNREACHABLE),
        ([httpx.ReadTimeout("late")], ExitCode.UNKNOWN),
        ([httpx.ReadTimeout("late"), answer(200, ACCEPTED)], ExitCode.OK),
        ([httpx.ReadTimeout("late"), httpx.ConnectError("x")], ExitCode.UNKNOWN),
        ([answer(307, PROBLEM, location=f"https://{ONE}/v1/changes")], 6),
    ],
)
def test_each_outcome_has_its_exit_code_and_one_line(answers, code):
    result = run("set", "k", "1", api=Api(*answers))
    assert result.exit_code == code
    assert "Traceback" not in result.output
    if code:
        assert len(result.stderr.splitlines()) == 2


def test_a_lost_answer_is_resent_under_the_same_change_id_elsewhere():
    api = Api(httpx.ReadTimeout("late"), answer(200, ACCEPTED))
    assert run("set", "k", "1", api=api, endpoints=(ONE, TWO)).exit_code == 0
    assert [netloc for netloc, _ in api.sent] == [ONE, TWO]
    assert api.sent[0][1] == api.sent[1][1]


def test_a_follower_is_believed_about_the_leader():
    location = f"https://{TWO}/v1/changes"
    api = Api(answer(307, PROBLEM, location=location), answer(200, ACCEPTED))
    assert run("set", "k", "1", api=api).exit_code == 0
    assert [netloc for netloc, _ in api.sent] == [ONE, TWO]


def test_a_resend_by_hand_is_the_same_change():
    change_id = new_change_id(1_700_000_000.9)
    api = Api(answer(200, ACCEPTED))
    run("set", "k", "1", "--base", "4", "--change-id", change_id, api=api)
    assert api.sent[0][1]["at"] == time_of(change_id) == 1_700_000_000.0


TREE = '[zones.cnx-a]\nregion = "r"\n[defaults.placement]\nhold_ms = 7\n'


@pytest.mark.parametrize(
    "arguments, text, code, shown",
    [
        (("diff",), TREE, 10, "set defaults.placement.hold_ms = 7"),
        (("diff",), TREE.replace("7", "5"), 0, "no difference"),
        (("diff", "--prune"), '[zones.cnx-a]\nregion = "r"', 10, "unset defaults."),
        (("apply",), TREE.replace("7", "5"), 0, "nothing to change at revision 4"),
        (("apply",), TREE, 0, "accepted as revision 5"),
        (("diff",), "[zone]", 3, "zone ("),
        (("check",), TREE, 0, "a sound tree file"),
        (("check",), TREE.replace("7", "-7"), 3, "tree.toml:4): -7 must be"),
        (("check",), 'vm = "x"', 3, "zone"),
        (("check",), "[[[", 3, "[toml]"),
    ],
)
def test_files_are_compared_and_checked(tmp_path, arguments, text, code, shown):
    path = tmp_path / "tree.toml"
    path.write_text(text)
    result = run(*arguments, str(path))
    assert (result.exit_code, shown in result.output) == (code, True)


STATUS = {
    "vm": "c",
    "leader": "",
    "can_accept": False,
    "revision": 4,
    "vms": [
        {
            "vm": "cnx-a-1",
            "zone": "cnx-a",
            "role": "entry",
            "state": "up",
            "revision": 3,
            "staleness_s": 9.0,
            "flows": 12,
            "refused": 2,
            "failures": ["no route"],
        }
    ],
    "servers": [
        {
            "server": "10.1.0.9:80",
            "service": "entries",
            "zone": "cnx-a",
            "state": "ready",
            "slots": 2,
            "busy": -1,
            "connections": 2000,
            "open": 7,
            "holder": "cnx-a-1",
        }
    ],
}


def test_status_shows_what_is_wrong():
    shown = run("status", api=Api(answer(200, STATUS))).stdout
    for text in ("nobody leads", "NO CHANGE", "3 BEHIND", "9.0 s STALE", "?/2"):
        assert text in shown
    assert "cnx-a-1: no route" in shown


@pytest.mark.parametrize(
    "arguments, body",
    [
        (("status",), STATUS),
        (("servers",), {"servers": STATUS["servers"]}),
        (("get",), SETTINGS),
        (("history",), {"revisions": []}),
        (("change", "c1"), ACCEPTED),
        (("drain", "10.1.0.9:80"), {"server": "10.1.0.9:80", "holder": "cnx-a-1"}),
        (("set", "k", "1"), ACCEPTED),
    ],
)
def test_json_is_the_answer_itself(arguments, body):
    result = run(*arguments, "--json", api=Api(answer(200, body)))
    assert (result.exit_code, json.loads(result.stdout)) == (0, body)


def test_without_a_control_vm_it_says_what_to_do():
    result = run("get", endpoints=())
    assert (result.exit_code, "--api" in result.stderr) == (ExitCode.UNREACHABLE, True)


def test_a_missing_token_file_is_a_usage_error(tmp_path):
    result = run("--token-file", str(tmp_path / "none"), "get")
    assert result.exit_code == ExitCode.USAGE
    assert "file-unreadable" in result.stderr


def test_keys_are_made_once(tmp_path):
    arguments = ("keys", "new", "cnx-a-1", "--ip", "10.0.0.1", "--folder")
    made = run(*arguments, str(tmp_path), "--json")
    assert len(json.loads(made.stdout)["public_key"]) == 40
    assert {Path(f).suffix for f in json.loads(made.stdout)["files"]} == {
        ".secret",
        ".key",
        ".pem",
    }
    again = run(*arguments, str(tmp_path))
    assert (again.exit_code, "already exists" in again.stderr) == (2, True)


@pytest.mark.parametrize("role", ["entry", "control"])
def test_a_daemon_with_a_bad_file_exits_with_usage(tmp_path, role):
    assert run(role, "--config", str(tmp_path / "none.toml")).exit_code == 2


def test_every_exit_code_is_documented_and_every_command_has_an_example():
    assert set(EXIT_CODE_DOCS) == set(ExitCode)
    commands = typer.main.get_command(app).commands
    leaves = {**commands, **commands["keys"].commands}
    del leaves["keys"]
    assert len(leaves) == 19
    for command in leaves.values():
        assert "Example: kumquatmux" in command.help
