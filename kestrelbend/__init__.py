"""kestrelbend: a quota gateway that enforces each customer's plan in front of a shared backend."""
