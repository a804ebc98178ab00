from __future__ import annotations

import re
from pathlib import Path

GUIDE_PAGE = Path(__file__).parents[3] / "docs" / "guide" / "embed-placement.md"


def test_the_guide_example_prints_the_documented_output(capsys):
    text = GUIDE_PAGE.read_text()
    example = re.search(r"```python\n(.*?)```", text, re.DOTALL).group(1)
    exec(compile(example, str(GUIDE_PAGE), "exec"), {})
    output = capsys.readouterr().out.strip()
    assert f"prints `{output}`" in text
