VENV ?= .venv
BIN := $(VENV)/bin
SOURCES := packages platform
# Each entry of KNOWN-RED.txt gives its test in a line "test: NODE-ID".
KNOWN_RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null)
export PYTHONPATH := $(CURDIR)/packages/berylcart/src:$(CURDIR)/packages/berylcart-daemon/src:$(CURDIR)/packages/berylcart-tools/src:$(CURDIR)/platform/src

.PHONY: demo test faults prove setup wheels format check lint types layers unit proto

demo: setup
	$(BIN)/berylcart demo
	$(BIN)/python -m berylcart_platform.demo 2>/dev/null

test: check unit

faults: setup
	$(BIN)/berylcart faults --pairs 10

prove: setup
	for model in spec/*.py; do $(BIN)/python $$model || exit 1; done

setup: $(VENV)/.installed

$(VENV)/.installed: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	python3.11 -m venv $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt -r requirements-dev.txt
	touch $@

# Lists the wheels of all pins for the machines that the project runs on, after
# a change of constraints.txt.
wheels: setup
	$(BIN)/python -m berylcart_tools.wheels constraints.txt > wheels.txt

format: setup
	$(BIN)/ruff format $(SOURCES) spec
	$(BIN)/ruff check --fix $(SOURCES) spec

check: lint types layers

lint: setup
	$(BIN)/ruff format --check $(SOURCES) spec
	$(BIN)/ruff check $(SOURCES) spec

types: setup
	$(BIN)/mypy packages/berylcart/src packages/berylcart-daemon/src packages/berylcart-tools/src platform/src

layers: setup
	$(BIN)/lint-imports

# pytest derives module names from paths relative to its root directory. The
# platform tests run from platform/ so that this directory does not shadow the
# standard library module of the same name.
unit: setup
	@if [ -s KNOWN-RED.txt ]; then cat KNOWN-RED.txt; fi
	$(BIN)/pytest $(KNOWN_RED:%=--deselect %)
	cd platform && ../$(BIN)/pytest -c ../pyproject.toml --rootdir . src tests $(KNOWN_RED:%=--deselect %)

proto: setup
	PATH=$(BIN):$$PATH $(BIN)/python -m grpc_tools.protoc \
		-Iberylcart/protocol=proto \
		--python_out=packages/berylcart/src \
		--pyi_out=packages/berylcart/src \
		berylcart/protocol/peer.proto
