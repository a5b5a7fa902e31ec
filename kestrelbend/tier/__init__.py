"""The serving tier: membership, configuration, discovery, budgets, the data plane (docs/design/tier.md)."""
