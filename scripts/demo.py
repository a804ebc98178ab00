"""Run the demonstration in ./demo-run, on another network if one is given."""

from __future__ import annotations

import sys
from pathlib import Path

from kumquatmux_lab.demo import main

if __name__ == "__main__":
    sys.exit(main(Path("demo-run"), *sys.argv[1:2]))
