# Build, test, lint and run; the environment is .venv in this folder.
PYTHON ?= python3
BENCH ?= ../given/kit/real/bin/lbreal
SITE ?= ../given/kit/sites/ain-ghazal-main.toml

.PHONY: build test lint check run score

build: .venv/installed.txt

.venv/installed.txt: requirements.txt
	test -x .venv/bin/python || $(PYTHON) -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	.venv/bin/python -O -m compileall -q .venv/lib kestrelbend
	cp requirements.txt $@

test: build
	.venv/bin/python -m pytest -q

lint: build
	.venv/bin/ruff check .

check: lint test

# Told by ROUTER_CONFIG and the other ROUTER_ variables, see README.md.
run: build
	exec .venv/bin/python -O -m kestrelbend

# Needs the users' bench beside this folder: make score WHY="what was changed"
score: build
	$(BENCH) score $(SITE) --why "$(WHY)"
