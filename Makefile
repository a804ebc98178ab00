# Every target sets itself up first: a virtual environment with pinned packages.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
LIBS := core packets flows placement membership registry tokens agreement storage settings daemons lab
EDITABLE := $(foreach lib,$(LIBS),-e libs/$(lib)) -e platform
SEED ?= 1
RUNS ?= 2000
WHAT ?= all
BENCHES ?= agreement membership storage

.PHONY: setup demo test lint types format check bench soak clean

setup: $(VENV)/stamp

$(VENV)/stamp: constraints.txt $(foreach lib,$(LIBS),libs/$(lib)/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt setuptools wheel
	$(BIN)/pip install -q -c constraints.txt --no-build-isolation $(EDITABLE) ruff mypy pytest pytest-trio hypothesis jedi
	touch $@

demo: setup
	$(BIN)/python scripts/demo.py

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

types: setup
	$(BIN)/mypy $(foreach lib,$(LIBS),libs/$(lib)/src) platform/src

check: lint types test

# Recorded benches take minutes; they write to docs/measurements.
bench: setup
	$(foreach name,$(BENCHES),$(BIN)/kumquatmux-lab bench $(name) --seed $(SEED) --out docs/measurements/$(name)-bench.json &&) true
	$(BIN)/python -m kumquatmux_lab.benches.placement --seeds $(SEED) --out docs/measurements/placement-bench

soak: setup
	$(BIN)/kumquatmux-lab soak --seed $(SEED) --runs $(RUNS) --what $(WHAT)

clean:
	rm -rf $(VENV)
