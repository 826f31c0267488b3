PYTHON ?= python3
SEED ?= 1
COUNT ?= 1
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup test demo soak binary format lint clean

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m testing.run_tests

demo: $(STAMP)
	$(BIN)/python -m testing.demo

soak: $(STAMP)
	$(BIN)/python -m testing.soak.run --seed $(SEED) --count $(COUNT)

binary: $(STAMP)
	mkdir -p dist
	$(BIN)/shiv --quiet --constraint constraints.txt --compressed \
		--console-script shallothinge --output-file dist/shallothinge .
	SHIV_ROOT=$(CURDIR)/build/shiv $(BIN)/python -m testing.demo \
		--binary dist/shallothinge

format: $(STAMP)
	$(BIN)/isort --quiet src testing experiments
	$(BIN)/black --quiet src testing experiments

lint: $(STAMP)
	$(BIN)/black --check --quiet src testing experiments
	$(BIN)/isort --check-only --quiet src testing experiments
	$(BIN)/flake8 src testing experiments

clean:
	rm -rf $(VENV) build dist .demo
