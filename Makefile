VENV ?= .venv
PYTHON = $(VENV)/bin/python

.PHONY: setup test lint format demo scenarios soak soak-fresh bench fuzz thrift

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q --require-hashes -r requirements.lock
	$(PYTHON) -m pip install -q --no-deps --no-build-isolation -e .
	touch $@

test: setup
	$(PYTHON) -m pytest

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

demo: setup
	$(PYTHON) -m medlardoor.standins.demo

scenarios: setup
	$(PYTHON) -m medlardoor.scenarios.runner scenarios

# Fixed seeds: a finding belongs to the code, not to the draw.
soak: setup
	$(PYTHON) -m medlardoor.cli.soak --seed 45001 --runs 2 --minutes 0.6

# Fresh seeds, started by hand; RUNS and MINUTES set the length.
soak-fresh: setup
	$(PYTHON) -m medlardoor.cli.soak --runs $(or $(RUNS),50) \
	  --minutes $(or $(MINUTES),0.6)

# Generated input for each border, new with each run.
fuzz: setup
	MEDLARDOOR_FUZZ_EXAMPLES=$(or $(EXAMPLES),20000) $(PYTHON) -m pytest \
	  medlardoor/mesh/tests/test_fuzz.py medlardoor/platform/tests/test_fuzz.py

bench: setup
	$(PYTHON) -m medlardoor.bench.run

# Needs the Debian package thrift-compiler; the generated code is committed.
thrift:
	thrift --gen py:slots,enum -out medlardoor/wire/generated \
	  medlardoor/wire/medlardoor.thrift
	rm -f medlardoor/wire/generated/medlardoor_messages/constants.py
	sed -i "s/, 'constants'//" \
	  medlardoor/wire/generated/medlardoor_messages/__init__.py
