# Two commands serve a newcomer: make demo, make test.
PY := .venv/bin/python
PYTHONHASHSEED := 0
export PYTHONHASHSEED

.PHONY: install demo test check lint bench

.venv/.installed: requirements.txt constraints.txt packages/*/pyproject.toml
	test -x $(PY) || python3 -m venv .venv
	PIP_CONSTRAINT=constraints.txt $(PY) -m pip install -q -r requirements.txt
	touch $@

install: .venv/.installed

lint: install
	.venv/bin/ruff format --check packages tests bench
	.venv/bin/ruff check packages tests bench
	.venv/bin/flake8 packages
	.venv/bin/mypy

test: lint
	$(PY) -m tests.run

demo: install
	$(PY) -m tests.demo

bench: install
	$(PY) -m bench
