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
