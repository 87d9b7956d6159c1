# Two commands do everything: `make demo` and `make test`.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.PHONY: demo test check format venv wire

venv: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

demo: venv
	$(BIN)/python -m kingcuphead.demo

test: venv
	$(BIN)/python .ci/test.py

check: venv
	$(BIN)/ruff format --check kingcuphead features .ci
	$(BIN)/ruff check kingcuphead features .ci
	$(BIN)/mypy

format: venv
	$(BIN)/ruff format kingcuphead features .ci
	$(BIN)/ruff check --fix kingcuphead features .ci

# Needs the thrift compiler 0.17; its output is committed.
wire: wire-peer wire-datagram

wire-%: kingcuphead/wire/%.thrift
	mkdir -p build/thrift
	thrift --gen py:slots -out build/thrift $<
	cp build/thrift/$*/ttypes.py kingcuphead/wire/generated/$*.py
