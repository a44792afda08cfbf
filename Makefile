# Set VENV to share one virtual environment between several checkouts.
VENV ?= .venv
PYTHON = $(VENV)/bin/python

.PHONY: test demo lint format

test: $(VENV)/.installed
	$(PYTHON) -m pytest

demo: $(VENV)/.installed
	$(PYTHON) -m slatechute demo

lint: $(VENV)/.installed
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) tools/check_imports.py slatechute tests tools platform

format: $(VENV)/.installed
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

$(VENV)/.installed: requirements.lock
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet -r requirements.lock
	$(PYTHON) -m pip install --quiet --no-deps --editable .
	touch $@
