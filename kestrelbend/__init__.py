"""kestrelbend: a quota gateway that keeps each customer of a shared back end to its plan."""
