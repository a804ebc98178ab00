from __future__ import annotations

import re
from pathlib import Path

PAGE = Path(__file__).parents[3] / "docs" / "guide" / "embed-placement.md"


def test_the_example_of_the_page_prints_what_the_page_says(capsys):
    text = PAGE.read_text()
    example = re.search(r"```python\n(.*?)```", text, re.DOTALL).group(1)
    exec(compile(example, str(PAGE), "exec"), {})
    printed = capsys.readouterr().out.strip()
    assert f"prints `{printed}`" in text
