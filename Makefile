VENV ?= .venv
PYTHON = $(VENV)/bin/python
STAMP = $(VENV)/.installed

.PHONY: test unit scenarios lint format generate demo bench capacity

$(STAMP): requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --editable .
	touch $(STAMP)

test: $(STAMP)
	$(PYTHON) tools/run_tests.py

unit: $(STAMP)
	$(PYTHON) -m unittest discover -s tests -t .

scenarios: $(STAMP)
	$(VENV)/bin/behave --format progress features

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

generate: $(STAMP)
	$(PYTHON) tools/generate.py

demo: $(STAMP)
	$(PYTHON) -m demo.run

bench: $(STAMP)
	$(PYTHON) -m bench.policy

capacity: $(STAMP)
	$(PYTHON) -m bench.capacity
