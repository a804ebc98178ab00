from __future__ import annotations

import json

import pytest

from kumquatmux_platform import __main__ as programs

ROUTE = {"name": "r-one", "host": "198.18.0.1", "path-prefix": "/443/"}
ROUTE |= {"timeout-ms": 2000, "backend": "entries"}
MANIFEST = {"version": 7, "routes": [ROUTE], "backends": [{"name": "entries"}]}
SPARE = MANIFEST | {"backends": [{"name": "entries"}, {"name": "spare"}]}
FAULTY = SPARE | {"version": 0, "routes": [ROUTE | {"host": 5, "timeout-ms": 0}]}
IDLE = MANIFEST | {"version": 6, "limits": {"idle-timeout-ms": 9000}}
TWINS = MANIFEST | {"routes": [ROUTE, ROUTE]}
AHEAD = MANIFEST | {"version": 2**70}
EDGE = {"node-name": "edge-a-1", "ip": "10.1.0.13", "zone": "cnx-a"}
EDGE["bind-addrs"] = {"datagram-addr": "10.1.0.13:8172", "ready": "10.1.0.13:8167"}
EDGE |= {"internal-port-range": [7720, 7735], "seed-nodes": ["10.3.0.9:8166"]}


@pytest.fixture
def check(tmp_path, capsys):
    """Check a file; return the exit code, standard output and standard error."""

    def run(kind, content, *options, in_force=None):
        file, other = tmp_path / "file.json", tmp_path / "in-force.json"
        file.write_text(json.dumps(content))
        other.write_text(json.dumps(in_force) + "\n")
        words = [] if in_force is None else ["--in-force", str(other)]
        code = programs.main(["check", kind, str(file), *options, *words])
        return code, *capsys.readouterr()

    return run


SUMMARY = "manifest 7: 1 routes, 1 services"
IDLE_UNSET = "idle-timeout-ms 9000 -> not set"
CHANGED = ["in force 6: 1 differences", f"limits: {IDLE_UNSET}"]
NEW = ["in force none: 2 differences", "routes r-one: added", "backends entries: added"]
SAME = [SUMMARY, f"in force {2**70}: 0 differences"]
NOT_HIGHER = [
    f"warning: version: 7 is not above {2**70}, the version in force: "
    "it is acknowledged and changes nothing [version-not-higher]"
]
TWO = ["manifest 7: 1 routes, 2 services"]
UNREACHED = ["warning: spare: no route sends flows to it [service-unreached]"]
TWICE = ["r-one: another route has its host and path-prefix: r-one [manifest-invalid]"]
FAULTS = [
    "version: Expected `int` >= 1 - at `$.version` [manifest-unread]",
    "r-one: Expected `str`, got `int` - at `$.routes[0].host` [manifest-unread]",
    "r-one: Expected `float` > 0.0 - at `$.routes[0].timeout-ms` [manifest-unread]",
]
NOTHING = [None, None, None, None]
COUNTS = ["verdict", "version", "routes", "services", "in-force-version"]
FINDINGS = ["errors", "warnings", "differences"]
DIFFERENCE = {"code": "changed", "section": "limits", "entry": ""}
DIFFERENCE |= {"fields": ["idle-timeout-ms"], "sentence": IDLE_UNSET}


@pytest.mark.parametrize(
    ("manifest", "in_force", "code", "out", "err", "counts"),
    [
        (MANIFEST, None, 0, [SUMMARY], [], ["valid", 7, 1, 1, None, 0, 0, 0]),
        (MANIFEST, IDLE, 0, [SUMMARY, *CHANGED], [], ["valid", 7, 1, 1, 6, 0, 0, 1]),
        (MANIFEST, {}, 0, [SUMMARY, *NEW], [], ["valid", 7, 1, 1, 0, 0, 0, 2]),
        (MANIFEST, AHEAD, 3, SAME, NOT_HIGHER, ["warnings", 7, 1, 1, 2**70, 0, 1, 0]),
        (SPARE, None, 3, TWO, UNREACHED, ["warnings", 7, 1, 2, None, 0, 1, 0]),
        (TWINS, None, 2, [], TWICE, ["errors", *NOTHING, 1, 0, 0]),
        (FAULTY, None, 2, [], FAULTS, ["errors", *NOTHING, 3, 0, 0]),
    ],
)
def test_text_and_json_tell_all(manifest, in_force, code, out, err, counts, check):
    """Guards against warnings taken for errors, and keys that are not always there."""
    texts = ["".join(f"{line}\n" for line in lines) for lines in (out, err)]
    assert check("manifest", manifest, in_force=in_force) == (code, *texts)
    json_code, out, err = check("manifest", manifest, "--json", in_force=in_force)
    body = json.loads(out)
    assert (json_code, err, out.count("\n")) == (code, "", 1)
    assert list(body) == ["file", *COUNTS, *FINDINGS]
    findings = [body[key] for key in FINDINGS]
    assert [*(body[key] for key in COUNTS), *map(len, findings)] == counts
    assert all(list(one) == list(DIFFERENCE) for them in findings for one in them)
    assert in_force != IDLE or body["differences"] == [DIFFERENCE]


def test_settings_are_checked_for_the_program_that_takes_them(check, capsys):
    sound = "entry 10.1.0.13 in cnx-a, seeds 10.3.0.9\n"
    assert check("entry", EDGE) == (0, sound, "")
    code, _, err = check("control", EDGE)
    assert code == 2
    assert "bind-addrs.control" in err and "data-dir" in err
    assert programs.main(["check", "entry", "no/such.json"]) == 2
    assert "no/such.json" in capsys.readouterr().err


@pytest.mark.parametrize(
    "words",
    [
        "",
        "entry",
        "nothing file",
        "manifest file another",
        "manifest file --in-force",
        "manifest file --in other",
        "manifest file --nothing",
        "entry file --json",
        "control file --in-force other",
    ],
)
def test_wrong_words_are_a_usage_error_in_one_line(words, capsys):
    assert programs.main(["check", *words.split()]) == 64
    out, err = capsys.readouterr()
    assert (out, err.count("\n")) == ("", 1)
    assert "manifest|entry|control" in err


def test_help_is_no_error(capsys):
    assert programs.main(["check", "--help"]) == 0
    assert "--in-force" in capsys.readouterr().out


@pytest.mark.parametrize("options", [(), ("--json",)])
@pytest.mark.parametrize("code", ["in-force-unread", "manifest-unread"])
@pytest.mark.parametrize("name", ["missing", ".", "no-json"])
def test_a_file_that_cannot_be_read_is_named(name, code, options, tmp_path, capsys):
    """Guards against a traceback, and against a comparison that is left out."""
    good, bad = str(tmp_path / "good"), str(tmp_path / name)
    (tmp_path / "good").write_text(json.dumps(MANIFEST))
    (tmp_path / "no-json").write_text("version: 7")
    words = [bad] if code == "manifest-unread" else [good, "--in-force", bad]
    assert programs.main(["check", "manifest", *words, *options]) == 2
    out, err = capsys.readouterr()
    told, other = (out, err) if options else (err, out)
    assert code in told and bad in told
    assert (told.count("\n"), other) == (1, "")


@pytest.mark.parametrize("name", ["two\nlines", "\x1b[2J", "\u2028", "\udc80"])
def test_a_name_with_control_characters_stays_on_its_line(name, check):
    """Guards against names that forge lines or change the terminal."""
    named = MANIFEST | {"backends": [{"name": "entries"}, {"name": name}]}
    code, out, err = check("manifest", named)
    assert code == (2 if name == "\udc80" else 3)
    assert len((out + err).splitlines()) == (1 if code == 2 else 2)
    assert (out + err).replace("\n", "").isprintable()
