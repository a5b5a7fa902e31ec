"""The operator's orders on the document: evaluation, the current document, the history of accepted orders.

Invariants: an order that was accepted is never rejected when it is repeated: the outcome is 200 while it is
among the last `MAX_HISTORY` accepted orders, and `UNDETERMINED` afterwards.  An order that was rejected is
never accepted: each rejection is valid for all later versions, and where it might not be, the outcome is
`UNDETERMINED`.

The result of an evaluation is cached (`_Evaluation`): the owner checks an order, has it committed and then
applies it, and parsing a large document is slow.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Callable, Mapping

import attrs

from kestrelbend.tier.configuration.document import (
    Document,
    Patch,
    apply_patch,
    merge_accepted,
    parse_patch,
    parse_put,
    read_accepted,
)
from kestrelbend.tier.configuration.document_errors import DocumentRejection, RejectionCode
from kestrelbend.tier.configuration.messages import (
    UNDETERMINED,
    ConfigOrder,
    ConfigOutcome,
    OrderKind,
    accepted_outcome,
    already_accepted_outcome,
)
from kestrelbend.tier.configuration.statuses import INVALID, PRECONDITION_FAILED

MAX_HISTORY = 4096  # accepted orders
MAX_CACHED_EVALUATIONS = 16
MAX_CACHED_EVALUATION_BYTES = 4 * 1024 * 1024  # bodies of cached documents

CHECKED_KINDS: Mapping[int, OrderKind] = {
    OrderKind.PUT: OrderKind.CHECKED_PUT,
    OrderKind.PATCH: OrderKind.CHECKED_PATCH,
}
UNCHECKED_KINDS: Mapping[int, OrderKind] = {
    OrderKind.CHECKED_PUT: OrderKind.PUT,
    OrderKind.CHECKED_PATCH: OrderKind.PATCH,
}

EvaluationResult = Document | ConfigOutcome
"""The document that an order produces, or the outcome of an order that changes nothing."""


@attrs.frozen(eq=False)
class _Evaluation:
    """The result of evaluating an order while `version` was the current version."""

    version: int
    result: EvaluationResult

    @property
    def size(self) -> int:
        """Size of the cached body in bytes."""
        return len(self.result.body) if isinstance(self.result, Document) else 0


class DocumentOrders:
    """The current document and the history of accepted orders; modified only by applying orders.

    Cached evaluations are not part of the replicated state: they only avoid a second evaluation.
    """

    def __init__(
        self,
        document: Document | None = None,
        history: Mapping[bytes, int] | None = None,
        evicted_version: int = 0,
    ) -> None:
        self._document = document
        self._history = dict(history or {})
        self._evicted_version = evicted_version
        self._evaluations: dict[bytes, _Evaluation] = {}

    @property
    def document(self) -> Document | None:
        """The current configuration; None before the first one."""
        return self._document

    @property
    def version(self) -> int:
        """The current version; 0 before the first configuration."""
        return self._document.version if self._document else 0

    @property
    def history(self) -> dict[bytes, int]:
        """The version that each accepted order produced, by digest, oldest first; must not be modified."""
        return self._history

    @property
    def evicted_version(self) -> int:
        """The highest version produced by an order that was evicted from the history."""
        return self._evicted_version

    def check(self, order: ConfigOrder) -> ConfigOutcome | None:
        """Returns the outcome of an order that changes nothing (rejected or already accepted), else None."""
        result = self._evaluate(order)
        return result if isinstance(result, ConfigOutcome) else None

    def accept(self, order: ConfigOrder) -> ConfigOutcome:
        """Applies an order for which `check` returned None."""
        result = self._evaluate(order)
        if not isinstance(result, Document):
            raise AssertionError("accept called for an order that check does not pass")
        self._accept(order, result)
        return accepted_outcome(self.version)

    def apply_checked(self, entry: ConfigOrder) -> ConfigOutcome:
        """Applies an entry that its owner found valid on its base version, if that version is current."""
        order = attrs.evolve(entry, kind=int(UNCHECKED_KINDS[entry.kind]))
        digest = _order_digest(order)
        accepted = self._accepted_version(digest)
        if accepted is not None:
            return already_accepted_outcome(accepted)
        if order.base_version != self.version:
            return self._base_mismatch_outcome(order)
        self._accept(order, self._valid_document(order, digest))
        return accepted_outcome(self.version)

    def needs_evaluation(self, order: ConfigOrder) -> bool:
        """Whether `check` would have to parse the order now."""
        digest = _order_digest(order)
        return self._cached_result(digest) is None and self._accepted_version(digest) is None

    def evaluation(self, order: ConfigOrder) -> Callable[[], EvaluationResult]:
        """Returns a function that evaluates an order without using this object; it can run off the loop."""
        return functools.partial(evaluate, order, self._document, self._evicted_version)

    def cache_evaluation(self, order: ConfigOrder, version: int, result: EvaluationResult) -> None:
        """Caches the result of an evaluation that started at `version`."""
        self._cache_evaluation(_order_digest(order), _Evaluation(version, result))

    def _evaluate(self, order: ConfigOrder) -> EvaluationResult:
        """Evaluates the order, or returns the cached result."""
        digest = _order_digest(order)
        accepted = self._accepted_version(digest)
        if accepted is not None:
            return already_accepted_outcome(accepted)
        cached = self._cached_result(digest)
        if cached is not None:
            return cached
        evaluation = _Evaluation(self.version, self.evaluation(order)())
        self._cache_evaluation(digest, evaluation)
        return evaluation.result

    def _accepted_version(self, digest: bytes) -> int | None:
        """The version that the order with this digest produced, or None if it is not in the history."""
        return self._history.get(digest)

    def _cached_result(self, digest: bytes) -> EvaluationResult | None:
        """The cached result of the order for the current version, or None."""
        evaluation = self._evaluations.get(digest)
        return evaluation.result if evaluation is not None and evaluation.version == self.version else None

    def _valid_document(self, order: ConfigOrder, digest: bytes) -> Document:
        """The document that a valid order produces; the owner still has it cached from its check."""
        cached = self._cached_result(digest)
        if isinstance(cached, Document):
            return cached
        if order.kind == OrderKind.PUT:
            return read_accepted(order.body)
        if self._document is None:
            raise AssertionError("a checked patch needs a current document")
        return merge_accepted(self._document, order.body)

    def _accept(self, order: ConfigOrder, document: Document) -> None:
        self._document = document
        self._history[_order_digest(order)] = document.version
        while len(self._history) > MAX_HISTORY:
            self._evicted_version = self._history.pop(next(iter(self._history)))
        self._evaluations.clear()

    def _cache_evaluation(self, digest: bytes, evaluation: _Evaluation) -> None:
        """Caches a result, and evicts the oldest ones beyond the limits."""
        self._evaluations.pop(digest, None)
        self._evaluations[digest] = evaluation
        size = sum(cached.size for cached in self._evaluations.values())
        while len(self._evaluations) > MAX_CACHED_EVALUATIONS or (
            size > MAX_CACHED_EVALUATION_BYTES and len(self._evaluations) > 1
        ):
            oldest = next(iter(self._evaluations))
            size -= self._evaluations.pop(oldest).size

    def _base_mismatch_outcome(self, order: ConfigOrder) -> ConfigOutcome:
        return base_mismatch_outcome(order, self.version, self._evicted_version)


def evaluate(order: ConfigOrder, current: Document | None, evicted_version: int) -> EvaluationResult:
    """Returns the document that an order produces from the current one, or the outcome if there is none."""
    version = current.version if current else 0
    change = _parse_order(order)
    if isinstance(change, DocumentRejection):
        return _invalid_outcome(version, change)
    if change.version <= order.base_version and order.base_version >= version:
        return ConfigOutcome(INVALID, version, f"version {change.version} is not above {order.base_version}")
    if order.base_version != version:
        return base_mismatch_outcome(order, version, evicted_version)
    if isinstance(change, Document):
        return change
    if current is None:
        return ConfigOutcome(INVALID, version, "there is no configuration to be patched")
    merged = apply_patch(current, change)
    return _invalid_outcome(version, merged) if isinstance(merged, DocumentRejection) else merged


def _parse_order(order: ConfigOrder) -> Document | Patch | DocumentRejection:
    match order.kind:
        case OrderKind.PUT:
            return parse_put(order.body)
        case OrderKind.PATCH:
            return parse_patch(order.body)
        case _:
            return DocumentRejection(RejectionCode.UNKNOWN_KIND, "not an order on the configuration")


def _invalid_outcome(version: int, rejection: DocumentRejection) -> ConfigOutcome:
    return ConfigOutcome(INVALID, version, f"{rejection.code}: {rejection.reason}")


def base_mismatch_outcome(order: ConfigOrder, version: int, evicted_version: int) -> ConfigOutcome:
    """Returns the outcome of an order whose base version is not the current version.

    It is `UNDETERMINED` if the base version may still become current, or if it is so old that the order may
    have been accepted and evicted from the history.
    """
    if order.base_version > version or order.base_version < evicted_version:
        return ConfigOutcome(UNDETERMINED, version, f"version {version} is current")
    return ConfigOutcome(PRECONDITION_FAILED, version, f"version {version} is current")


def checked_entry(order: ConfigOrder) -> ConfigOrder:
    """Returns the log entry that the owner proposes for an order that it found valid on its base version."""
    kind = CHECKED_KINDS.get(order.kind)
    return order if kind is None else attrs.evolve(order, kind=int(kind))


def _order_digest(order: ConfigOrder) -> bytes:
    """Identifies an order: the same kind, base version and body give the same digest (16 bytes)."""
    head = b"%d %d " % (order.kind, order.base_version)
    return hashlib.blake2b(head + order.body, digest_size=16).digest()
