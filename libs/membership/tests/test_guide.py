from __future__ import annotations

import re
from pathlib import Path

GUIDE = Path(__file__).parents[3] / "docs" / "guide" / "embed-membership.md"


def test_the_example_in_the_guide_runs():
    (code,) = re.findall(r"```python\n(.*?)```", GUIDE.read_text(), re.DOTALL)
    exec(compile(code, str(GUIDE), "exec"), {})
