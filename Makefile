PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup test lint demo demo-platform up bench faults starts explore binary

setup: $(VENV)/ready

$(VENV)/ready: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

test: setup
	PYTHONHASHSEED=0 $(BIN)/python -m pytest $(PYTEST_ARGS)

lint: setup
	$(BIN)/black --check --quiet src standins bench tests deploy
	$(BIN)/ruff check --quiet src standins bench tests deploy

demo: setup
	$(BIN)/python -m bench.demo $(ARGS)

demo-platform: setup
	$(BIN)/python -m bench.platform_demo

up: setup
	$(BIN)/python -m bench.demo --stay $(ARGS)

bench: setup
	$(BIN)/python -m bench.table

faults: setup
	$(BIN)/python -m bench.faults --seed $(or $(SEED),1) --rounds $(or $(ROUNDS),3)

starts: setup
	$(BIN)/python -m bench.starts --seed $(or $(SEED),1) --seeds $(or $(SEEDS),1)

explore: setup
	PYTHONHASHSEED=0 $(BIN)/python -m bench.explore --seed $(or $(SEED),1) --seeds $(or $(SEEDS),1) $(ARGS)

binary: setup
	$(BIN)/python -m bench.binary
