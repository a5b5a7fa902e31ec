"""The serving tier: membership, configuration, discovery, budgets, data plane (docs/design/tier.md)."""
