VENV ?= .venv
PYTHON ?= python3.11
BIN = $(VENV)/bin

.PHONY: demo test environment lint types generated format

demo: environment
	$(BIN)/python tools/demo.py

test: environment
	$(BIN)/python -m pytest

environment: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

format: environment
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: environment
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: environment
	$(BIN)/mypy

generated: environment
	$(BIN)/python tools/generate_schema.py --check
