"""The decision logic of one gateway, with its state and tuning constants: generators that yield effects.

Each module has one concern.  `admission` admits an invocation by `quota`, `retry_budget`, `rate_limits`,
`concurrency` and `sampling`.  `delivery` sends it to a backend chosen by `selection`, within the limits of
`slow_start`, `ejection` and `credits` and the rules of `attempts`.  `outcomes` updates state from results.
The reasons are in `docs/design.md`.
"""

from .gateway import Gateway
from .state import BackendState, CustomerState

__all__ = ["BackendState", "CustomerState", "Gateway"]
