"""Deployments that days are played on: how many machines there are, and how many may be lost at once."""

from __future__ import annotations

from .fleet import Size

DEFAULT_SHAPE = "one-loss"

SHAPES = {
    DEFAULT_SHAPE: Size(),
    "two-losses-three-control": Size(control=3, stores=5, tolerate_nodes=2),
    "two-losses-four-control": Size(control=4, stores=5, tolerate_nodes=2),
    "two-losses-five-control": Size(control=5, stores=5, tolerate_nodes=2),
}
