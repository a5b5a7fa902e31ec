"""Every decision of one gateway, with every table and tuned value: pure generators that yield effects.

One module a concern: `admission` asks `quota`, `retry_budget`, `rate_limits`, `concurrency` and `sampling`
whether an invocation may go on; `delivery` sends it by `selection` among the backends that `slow_start`,
`ejection` and `credits` leave, under the rules of `attempts`; `outcomes` learns from what came back.
`docs/design.md` tells why.
"""

from .gateway import Gateway
from .state import BackendState, CustomerState

__all__ = ["BackendState", "CustomerState", "Gateway"]
