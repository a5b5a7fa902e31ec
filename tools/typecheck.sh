#!/usr/bin/env bash
# Checks types with mypy in strict mode, for the packages that [tool.mypy] in pyproject.toml lists.
set -euo pipefail
cd "$(dirname "$0")/.."
exec .venv/bin/mypy "$@"
