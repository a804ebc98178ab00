from __future__ import annotations

from kumquatmux_core.decisions import render


def test_values_with_blanks_are_quoted():
    line = render("place", {"flow": "a", "why": "no slot"})
    assert line == 'place flow=a why="no slot"'


def test_json_lines_carry_the_event():
    line = render("place", {"flow": "a"}, as_json=True)
    assert line == '{"event": "place", "flow": "a"}'
