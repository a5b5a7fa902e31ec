# Build, test, lint and run; the environment is .venv in this folder.
PYTHON ?= python3
BENCH ?= ../given/kit/real/bin/lbreal
SITE ?= ../given/kit/sites/ain-ghazal-main.toml

.PHONY: build test lint check run score demo fuzz

build: .venv/developing.txt

# The command, the laboratory, tests and lint; the operators' build (deploy/balancer.toml) takes requirements.txt alone.
.venv/developing.txt: requirements.txt requirements-dev.txt requirements-tier.txt constraints.txt pyproject.toml
	test -x .venv/bin/python || $(PYTHON) -m venv .venv
	.venv/bin/pip -q install -c constraints.txt -r requirements-dev.txt -r requirements-tier.txt
	.venv/bin/pip -q install --no-deps -e .
	cat requirements.txt requirements-dev.txt requirements-tier.txt constraints.txt > $@

test: build
	.venv/bin/python -m pytest -q -n auto --dist worksteal

lint: build
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	tools/typecheck.sh

check: lint test

# Told by ROUTER_CONFIG and the other ROUTER_ variables, see README.md.
run: build
	exec .venv/bin/python -O -m kestrelbend

# Four real gateways on loopback, a retry storm by one customer and a backend lost in the middle; within a minute.
demo: build
	.venv/bin/kestrelbend lab emulate --sockets examples/storm.toml --report demo.html

# The decoder of datagrams and the membership core behind it, for minutes instead of a second.
fuzz: build
	FUZZ=200000 .venv/bin/python -m pytest -q tests/test_members.py -k "whatever_comes or TestMembers"

# Needs the users' bench beside this folder: make score WHY="what was changed"
score: build
	$(BENCH) score $(SITE) --why "$(WHY)"
