from __future__ import annotations

from kumquatmux_core.decisions import format_decision


def test_values_with_spaces_are_quoted():
    line = format_decision("place", {"flow": "a", "why": "no slot"})
    assert line == 'place flow=a why="no slot"'


def test_json_lines_include_the_event():
    line = format_decision("place", {"flow": "a"}, as_json=True)
    assert line == '{"event": "place", "flow": "a"}'
