from __future__ import annotations

import re
from pathlib import Path

GUIDE_PATH = Path(__file__).parents[3] / "docs" / "guide" / "embed-agreement.md"


def test_guide_example_runs():
    (code,) = re.findall(r"```python\n(.*?)```", GUIDE_PATH.read_text(), re.DOTALL)
    exec(compile(code, str(GUIDE_PATH), "exec"), {})
