# Set VENV to use an existing environment, e.g. in a second Git work tree.
VENV ?= .venv
PYTHON ?= python3.11
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: setup lint format test demo bench fuzz soak binary clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(PY) || $(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --requirement requirements.lock
	$(PY) -m pip install --quiet --no-deps --editable .
	touch $(STAMP)

lint: $(STAMP)
	$(VENV)/bin/ruff check goldcresthoist tools
	$(VENV)/bin/ruff format --check goldcresthoist tools

format: $(STAMP)
	$(VENV)/bin/ruff check --fix goldcresthoist tools
	$(VENV)/bin/ruff format goldcresthoist tools

test: lint
	$(PY) tools/run_tests.py

demo: $(STAMP)
	$(PY) -m goldcresthoist.tests.demo

bench: $(STAMP)
	$(PY) -m goldcresthoist.bench

fuzz: $(STAMP)
	$(PY) tools/fuzz.py

# SEED=N repeats the run with that seed; SEEDS=N does that many runs with new seeds.
SEEDS ?= 5
soak: $(STAMP)
	$(PY) -m goldcresthoist.tests.soak $(if $(SEED),--seed $(SEED),--seeds $(SEEDS))

binary: $(STAMP)
	$(PY) tools/build_binary.py

clean:
	rm -rf build dist
