VENV := .venv
PYTHON := $(VENV)/bin/python
BINARY := dist/berylstair
# Sets and dicts keep their order from run to run.
export PYTHONHASHSEED := 0

.PHONY: demo test lint model red measure slopes binary format soak soak-fresh
SEED := 1
COUNT := 50
MINUTES := 5
JOBS := 2

$(VENV)/.ready: pyproject.toml requirements.lock
	python3.11 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.lock
	touch $@

$(BINARY): $(VENV)/.ready $(wildcard berylstair/*.py) tools/build_binary.py
	$(PYTHON) tools/build_binary.py $(BINARY)

binary: $(BINARY)

demo: $(BINARY)
	$(PYTHON) -m emulator.demo $(BINARY)

test: $(VENV)/.ready $(BINARY)
	$(PYTHON) -m pytest

lint: $(VENV)/.ready
	$(PYTHON) -m ruff format --check berylstair emulator soak tests tools
	$(PYTHON) -m ruff check berylstair emulator soak tests tools
	$(PYTHON) -m flake8 berylstair emulator soak tests tools

format: $(VENV)/.ready
	$(PYTHON) -m ruff format berylstair emulator soak tests tools
	$(PYTHON) -m ruff check --fix berylstair emulator soak tests tools

red: $(VENV)/.ready
	$(PYTHON) tools/prove_red.py

model: $(VENV)/.ready
	$(PYTHON) tools/check_model.py

measure: $(VENV)/.ready
	$(PYTHON) -m emulator.measure docs/MEASURES.md
	$(PYTHON) -m emulator.packets

slopes: $(VENV)/.ready
	$(PYTHON) -m emulator.slopes docs
	$(PYTHON) -m emulator.capacity docs

soak: $(VENV)/.ready
	$(PYTHON) -m soak seeds $(SEED) $(COUNT) --jobs $(JOBS)

soak-fresh: $(VENV)/.ready
	$(PYTHON) -m soak fresh $(MINUTES) --jobs $(JOBS)
