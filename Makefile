# Builds, tests, lints and runs the software; the virtual environment is .venv in this directory.
PYTHON ?= python3
BENCH ?= ../given/kit/real/bin/lbreal
SITE ?= ../given/kit/sites/ain-ghazal-main.toml

.PHONY: build test lint check run score demo fuzz

build: .venv/developing.txt

# Installs what the command, the laboratory, the tests and lint need.  The build of the operators
# (deploy/balancer.toml) installs only requirements.txt.
.venv/developing.txt: requirements.txt requirements-dev.txt requirements-tier.txt constraints.txt pyproject.toml
	test -x .venv/bin/python || $(PYTHON) -m venv .venv
	.venv/bin/pip -q install -c constraints.txt -r requirements-dev.txt -r requirements-tier.txt
	.venv/bin/pip -q install --no-deps -e .
	cat requirements.txt requirements-dev.txt requirements-tier.txt constraints.txt > $@

test: build
	.venv/bin/python -m pytest -q -n auto --dist worksteal --ignore tests/crowd
	.venv/bin/python -m pytest -q tests/crowd

lint: build
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	tools/typecheck.sh

check: lint test

# Configured by ROUTER_CONFIG and the other ROUTER_ variables, see README.md.
run: build
	exec .venv/bin/python -O -m kestrelbend

# Runs four real gateways on loopback through a retry storm of one customer; a backend fails midway.  Takes less
# than a minute.
demo: build
	.venv/bin/kestrelbend lab emulate --sockets examples/storm.toml --report demo.html

# Fuzzes the datagram decoder and the membership core for minutes; the normal test run does it for a second.
fuzz: build
	FUZZ=200000 .venv/bin/python -m pytest -q tests/test_members.py -k "whatever_comes or TestMembers"

# Scores this tree with the bench of the users, expected beside this directory: make score WHY="what was changed"
score: build
	$(BENCH) score $(SITE) --why "$(WHY)"
