VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.PHONY: demo test test-realtime test-limits test-others lint bench binary format install

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: install
	$(BIN)/python -m benchmarks.demo

# Targets that run at the same time as test-limits, for example lint.
BESIDE ?=

# Tests with bounds in seconds run alone. Only BESIDE runs at the same time as the fleet
# of 18 VMs, which refuses operations when its process has to wait for a core. The other
# tests run in parallel.
test: install
	$(MAKE) test-realtime
	$(MAKE) --jobs 2 --output-sync=target test-limits $(BESIDE)
	$(MAKE) test-others

test-realtime: install
	$(BIN)/python -m pytest --ignore tests/test_limits_fleet.py -m realtime

# The fleet of 18 VMs in one process runs in real time; it gets a process of its own,
# because objects that other tests leave behind lengthen the garbage collector's pauses.
test-limits: install
	$(BIN)/python -m pytest tests/test_limits_fleet.py

test-others: install
	$(BIN)/python -m pytest --ignore tests/test_limits_fleet.py -m "not realtime" -n 6 --dist worksteal

lint: install
	$(BIN)/ruff format --check citronwood tests benchmarks
	$(BIN)/ruff check citronwood tests benchmarks
	$(BIN)/mypy

format: install
	$(BIN)/ruff format citronwood tests benchmarks
	$(BIN)/ruff check --fix citronwood tests benchmarks

bench: install
	$(BIN)/python -m benchmarks

binary: install
	mkdir -p dist
	$(BIN)/shiv --console-script citronwood --output-file dist/citronwood .
