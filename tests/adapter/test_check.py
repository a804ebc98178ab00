from __future__ import annotations

import json

import pytest

from kumquatmux_platform import __main__ as programs

MANIFEST = {
    "version": 7,
    "routes": [
        {
            "name": "r-one",
            "host": "198.18.0.1",
            "path-prefix": "/443/",
            "timeout-ms": 2000,
            "backend": "entries",
        }
    ],
    "backends": [{"name": "entries"}],
}
EDGE = {
    "node-name": "edge-a-1",
    "ip": "10.1.0.13",
    "zone": "cnx-a",
    "bind-addrs": {"datagram-addr": "10.1.0.13:8172", "ready": "10.1.0.13:8167"},
    "internal-port-range": [7720, 7735],
    "seed-nodes": ["10.3.0.9:8166"],
}


def checked(kind, content, tmp_path, capsys):
    """Return the exit code and all that was printed."""
    path = tmp_path / "file.json"
    path.write_text(content if isinstance(content, str) else json.dumps(content))
    code = programs.main(["check", kind, str(path)])
    told = capsys.readouterr()
    return code, told.out + told.err


def test_a_sound_manifest_is_told_with_what_it_holds(tmp_path, capsys):
    code, told = checked("manifest", MANIFEST, tmp_path, capsys)
    assert (code, told) == (0, "manifest 7: 1 routes, 1 services\n")


@pytest.mark.parametrize(
    ("change", "names"),
    [
        ({"version": 0}, "version"),
        ({"backends": []}, "unknown backend entries"),
        ({"routes": MANIFEST["routes"] * 2}, "host and path-prefix"),
    ],
)
def test_a_manifest_that_is_not_sound_is_refused_with_the_reason(
    change, names, tmp_path, capsys
):
    code, told = checked("manifest", MANIFEST | change, tmp_path, capsys)
    assert code == 2
    assert names in told and told.count("\n") == 1


def test_a_manifest_cut_short_is_refused(tmp_path, capsys):
    code, told = checked("manifest", json.dumps(MANIFEST)[:40], tmp_path, capsys)
    assert code == 2 and "manifest-unread" in told


def test_settings_are_checked_for_the_program_that_takes_them(tmp_path, capsys):
    code, told = checked("entry", EDGE, tmp_path, capsys)
    assert (code, told) == (0, "entry 10.1.0.13 in cnx-a, seeds 10.3.0.9\n")
    code, told = checked("control", EDGE, tmp_path, capsys)
    assert code == 2
    assert "bind-addrs.control" in told and "data-dir" in told


@pytest.mark.parametrize("words", [[], ["entry"], ["nothing", "file"]])
def test_other_words_are_a_usage_error(words, capsys):
    assert programs.main(["check", *words]) == 64
    assert "manifest|entry|control" in capsys.readouterr().err


def test_a_file_that_is_not_there_is_named(tmp_path, capsys):
    missing = str(tmp_path / "nothing.json")
    for kind in ("manifest", "entry"):
        assert programs.main(["check", kind, missing]) == 2
        assert missing in capsys.readouterr().err


SPARE = MANIFEST | {"backends": [{"name": "entries"}, {"name": "spare"}]}
IDLE = MANIFEST | {"version": 6, "limits": {"idle-timeout-ms": 9000}}


def checked_files(tmp_path, capsys, manifest, *options, in_force=None):
    """Return the exit code, standard output and standard error."""
    path = tmp_path / "manifest.json"
    path.write_text(json.dumps(manifest))
    words = ["check", "manifest", str(path), *options]
    if in_force is not None:
        other = tmp_path / "in-force.json"
        other.write_text(json.dumps(in_force))
        words += ["--in-force", str(other)]
    code = programs.main(words)
    return code, *capsys.readouterr()


def test_warnings_alone_have_an_exit_code_of_their_own(tmp_path, capsys):
    """Guards against a script that takes warnings for errors, or for nothing."""
    assert checked_files(tmp_path, capsys, SPARE) == (
        3,
        "manifest 7: 1 routes, 2 services\n",
        "warning: spare: no route sends flows to it [service-unreached]\n",
    )


def test_all_errors_are_told_one_a_line(tmp_path, capsys):
    faulty = {**MANIFEST["routes"][0], "host": 5, "timeout-ms": 0}
    manifest = MANIFEST | {"version": 0, "routes": [faulty]}
    code, out, err = checked_files(tmp_path, capsys, manifest)
    assert (code, out) == (2, "")
    assert err.splitlines() == [
        "version: Expected `int` >= 1 - at `$.version` [manifest-unread]",
        "r-one: Expected `str`, got `int` - at `$.routes[0].host` [manifest-unread]",
        "r-one: Expected `float` > 0.0 - at `$.routes[0].timeout-ms` [manifest-unread]",
    ]


def test_errors_beside_what_would_be_warnings_end_with_the_code_of_errors(
    tmp_path, capsys
):
    code, out, err = checked_files(tmp_path, capsys, SPARE | {"version": 0})
    assert (code, out, err.count("\n")) == (2, "", 1)


def test_differences_are_told_and_are_no_warnings(tmp_path, capsys):
    """Guards against a check before each change that warns of the change itself."""
    assert checked_files(tmp_path, capsys, MANIFEST, in_force=IDLE) == (
        0,
        "manifest 7: 1 routes, 1 services\n"
        "in force 6: 1 differences\n"
        "limits: idle-timeout-ms 9000 -> not set\n",
        "",
    )


def test_no_manifest_in_force_makes_everything_new(tmp_path, capsys):
    assert checked_files(tmp_path, capsys, MANIFEST, in_force={}) == (
        0,
        "manifest 7: 1 routes, 1 services\n"
        "in force none: 2 differences\n"
        "routes r-one: added\n"
        "backends entries: added\n",
        "",
    )


def test_a_version_that_is_not_higher_is_told(tmp_path, capsys):
    code, _, err = checked_files(tmp_path, capsys, MANIFEST, in_force=MANIFEST)
    assert code == 3 and "[version-not-higher]" in err


JSON_KEYS = [
    "file",
    "verdict",
    "version",
    "routes",
    "services",
    "in-force-version",
    "errors",
    "warnings",
    "differences",
]
FINDING_KEYS = ["code", "section", "entry", "fields", "sentence"]
VERDICTS = {
    "valid": (MANIFEST, 0, (7, 1, 1), (0, 0)),
    "warnings": (SPARE, 3, (7, 1, 2), (0, 1)),
    "errors": (MANIFEST | {"backends": []}, 2, (None, None, None), (1, 0)),
}


@pytest.mark.parametrize("verdict", VERDICTS)
def test_json_is_one_object_with_the_same_keys_in_every_case(verdict, tmp_path, capsys):
    """Guards against tools that fail for a key that is only sometimes there."""
    manifest, expected_code, counts, findings = VERDICTS[verdict]
    code, out, err = checked_files(tmp_path, capsys, manifest, "--json")
    body = json.loads(out)
    assert (code, err, out.count("\n")) == (expected_code, "", 1)
    assert list(body) == JSON_KEYS
    assert body["verdict"] == verdict
    assert (body["version"], body["routes"], body["services"]) == counts
    assert (len(body["errors"]), len(body["warnings"])) == findings
    assert (body["in-force-version"], body["differences"]) == (None, [])
    assert all(list(one) == FINDING_KEYS for one in body["errors"] + body["warnings"])


def test_json_tells_the_differences(tmp_path, capsys):
    code, out, _ = checked_files(tmp_path, capsys, MANIFEST, "--json", in_force=IDLE)
    body = json.loads(out)
    assert (code, body["verdict"], body["in-force-version"]) == (0, "valid", 6)
    assert body["differences"] == [
        {
            "code": "changed",
            "section": "limits",
            "entry": "",
            "fields": ["idle-timeout-ms"],
            "sentence": "idle-timeout-ms 9000 -> not set",
        }
    ]


def test_json_has_versions_of_more_than_64_bits(tmp_path, capsys):
    _, out, _ = checked_files(tmp_path, capsys, MANIFEST | {"version": 2**70}, "--json")
    assert json.loads(out)["version"] == 2**70


@pytest.mark.parametrize(
    "words",
    [
        ["manifest", "file", "another"],
        ["manifest", "file", "--in-force"],
        ["manifest", "file", "--in", "other"],
        ["manifest", "file", "--nothing"],
        ["entry", "file", "--json"],
        ["control", "file", "--in-force", "other"],
        ["nothing", "file", "--json"],
    ],
)
def test_wrong_options_are_a_usage_error_in_one_line(words, capsys):
    assert programs.main(["check", *words]) == 64
    out, err = capsys.readouterr()
    assert (out, err.count("\n")) == ("", 1)
    assert "manifest|entry|control" in err


def test_help_is_no_error(capsys):
    assert programs.main(["check", "--help"]) == 0
    assert "--in-force" in capsys.readouterr().out


@pytest.mark.parametrize("options", [(), ("--json",)])
@pytest.mark.parametrize("is_in_force", [False, True])
@pytest.mark.parametrize("kind", ["missing", "directory", "no JSON"])
def test_a_file_that_cannot_be_read_is_an_error_that_names_it(
    kind, is_in_force, options, tmp_path, capsys
):
    """Guards against a traceback, and against a comparison that is left out."""
    bad, good = tmp_path / "bad", tmp_path / "good"
    good.write_text(json.dumps(MANIFEST))
    if kind == "directory":
        bad.mkdir()
    elif kind == "no JSON":
        bad.write_text("version: 7")
    words = [str(good), "--in-force", str(bad)] if is_in_force else [str(bad)]
    assert programs.main(["check", "manifest", *words, *options]) == 2
    out, err = capsys.readouterr()
    told = out if options else err
    code = "in-force-unread" if is_in_force else "manifest-unread"
    assert code in told and told.count("\n") == 1
    assert (out == "") != (err == "")
    assert str(bad) in told


@pytest.mark.parametrize("name", ["two\nlines", "\x1b[2J", "\u2028", "\udc80"])
def test_a_name_with_control_characters_stays_on_its_line(name, tmp_path, capsys):
    """Guards against names that forge lines or change the terminal."""
    manifest = MANIFEST | {"backends": [{"name": "entries"}, {"name": name}]}
    code, out, err = checked_files(tmp_path, capsys, manifest)
    assert code == (2 if name == "\udc80" else 3)
    assert len((out + err).splitlines()) == (1 if code == 2 else 2)
    assert (out + err).replace("\n", "").isprintable()
