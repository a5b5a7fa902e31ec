#!/usr/bin/env bash
# Types: mypy, strictly, over the packages that [tool.mypy] in pyproject.toml lists as finished.
set -euo pipefail
cd "$(dirname "$0")/.."
exec .venv/bin/mypy "$@"
