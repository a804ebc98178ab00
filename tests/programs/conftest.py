from __future__ import annotations

import sys
from pathlib import Path

HERE = Path(__file__).parent
for folder in (HERE, HERE.parents[1] / "review"):
    sys.path.insert(0, str(folder))
