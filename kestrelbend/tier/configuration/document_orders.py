"""The operator's orders on the document: which one is current, what an order comes to, what was accepted.

Invariants: an order once accepted is never rejected: it is answered 200 for as long as it is among the last
`MAX_HISTORY` accepted, and after that without a clear answer.  An order once rejected is never accepted:
every rejection holds for all later versions, and where one might not, there is no clear answer either.

An order's result is kept from its check to its application (`_Evaluation`), as owners check an order, have it
committed and then apply it, and reading a large document takes long.
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
    accepted_before,
    accepted_now,
)
from kestrelbend.tier.configuration.statuses import INVALID, PRECONDITION_FAILED

MAX_HISTORY = 4096  # accepted orders that are remembered
MAX_EVALUATIONS_KEPT = 16
MAX_EVALUATION_BYTES_KEPT = 4 * 1024 * 1024  # of bodies whose documents are kept decoded

CHECKED_KINDS: Mapping[int, OrderKind] = {
    OrderKind.PUT: OrderKind.CHECKED_PUT,
    OrderKind.PATCH: OrderKind.CHECKED_PATCH,
}
SENT_KINDS: Mapping[int, OrderKind] = {
    OrderKind.CHECKED_PUT: OrderKind.PUT,
    OrderKind.CHECKED_PATCH: OrderKind.PATCH,
}

EvaluationResult = Document | ConfigOutcome
"""The document that an order leads to, or the answer to an order that changes nothing."""


@attrs.frozen(eq=False)
class _Evaluation:
    """What an order came to when it was last evaluated, while `version` was current."""

    version: int
    result: EvaluationResult

    @property
    def size(self) -> int:
        """Bytes of the body that is kept."""
        return len(self.result.body) if isinstance(self.result, Document) else 0


class DocumentOrders:
    """The current document and the orders that led to it; changed by applied orders alone.

    What is kept of evaluations is no part of the state: it only saves a second evaluation.
    """

    def __init__(
        self,
        document: Document | None = None,
        history: Mapping[bytes, int] | None = None,
        forgotten_version: int = 0,
    ) -> None:
        self._document = document
        self._history = dict(history or {})
        self._forgotten_version = forgotten_version
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
        """The version that each remembered order brought, by its digest, oldest first; not to be changed."""
        return self._history

    @property
    def forgotten_version(self) -> int:
        """The highest version that an order brought which the history holds no more."""
        return self._forgotten_version

    def check(self, order: ConfigOrder) -> ConfigOutcome | None:
        """The answer to an order that changes nothing (rejected, or accepted before); None: apply it."""
        result = self._evaluate(order)
        return result if isinstance(result, ConfigOutcome) else None

    def accept(self, order: ConfigOrder) -> ConfigOutcome:
        """Applies an order that `check` has no answer to."""
        result = self._evaluate(order)
        if not isinstance(result, Document):
            raise AssertionError("an order is accepted only after its check")
        self._accept(order, result)
        return accepted_now(self.version)

    def apply_checked(self, entry: ConfigOrder) -> ConfigOutcome:
        """Applies an entry whose owner has found it valid on its base: that holds on no other version."""
        order = attrs.evolve(entry, kind=int(SENT_KINDS[entry.kind]))
        digest = _digest(order)
        accepted = self._accepted_version(digest)
        if accepted is not None:
            return accepted_before(accepted)
        if order.base_version != self.version:
            return self._base_mismatch_outcome(order)
        self._accept(order, self._valid_document(order, digest))
        return accepted_now(self.version)

    def needs_evaluation(self, order: ConfigOrder) -> bool:
        """Whether `check` would have to read the order to its end now."""
        digest = _digest(order)
        return self._kept_result(digest) is None and self._accepted_version(digest) is None

    def evaluation(self, order: ConfigOrder) -> Callable[[], EvaluationResult]:
        """The reading and checking of an order, to be run anywhere: it touches nothing of this state."""
        return functools.partial(evaluate, order, self._document, self._forgotten_version)

    def keep_evaluation(self, order: ConfigOrder, version: int, result: EvaluationResult) -> None:
        """Keeps what an evaluation begun at `version` came to."""
        self._keep(_digest(order), _Evaluation(version, result))

    def _evaluate(self, order: ConfigOrder) -> EvaluationResult:
        """The document that the order leads to, or its answer; kept for a second call."""
        digest = _digest(order)
        accepted = self._accepted_version(digest)
        if accepted is not None:
            return accepted_before(accepted)
        kept = self._kept_result(digest)
        if kept is not None:
            return kept
        evaluation = _Evaluation(self.version, self.evaluation(order)())
        self._keep(digest, evaluation)
        return evaluation.result

    def _accepted_version(self, digest: bytes) -> int | None:
        """The version that an order of this digest has led to, where it was accepted before."""
        return self._history.get(digest)

    def _kept_result(self, digest: bytes) -> EvaluationResult | None:
        """What the order came to on the current version, if that is kept."""
        evaluation = self._evaluations.get(digest)
        return evaluation.result if evaluation is not None and evaluation.version == self.version else None

    def _valid_document(self, order: ConfigOrder, digest: bytes) -> Document:
        """The document that a valid order leads to; the owner itself still has it from its check."""
        kept = self._kept_result(digest)
        if isinstance(kept, Document):
            return kept
        if order.kind == OrderKind.PUT:
            return read_accepted(order.body)
        if self._document is None:
            raise AssertionError("a patch is valid only on a document")
        return merge_accepted(self._document, order.body)

    def _accept(self, order: ConfigOrder, document: Document) -> None:
        self._document = document
        self._history[_digest(order)] = document.version
        while len(self._history) > MAX_HISTORY:
            self._forgotten_version = self._history.pop(next(iter(self._history)))
        self._evaluations.clear()

    def _keep(self, digest: bytes, evaluation: _Evaluation) -> None:
        """Keeps a result, and drops the oldest ones beyond the bounds."""
        self._evaluations.pop(digest, None)
        self._evaluations[digest] = evaluation
        size = sum(kept.size for kept in self._evaluations.values())
        while len(self._evaluations) > MAX_EVALUATIONS_KEPT or (
            size > MAX_EVALUATION_BYTES_KEPT and len(self._evaluations) > 1
        ):
            oldest = next(iter(self._evaluations))
            size -= self._evaluations.pop(oldest).size

    def _base_mismatch_outcome(self, order: ConfigOrder) -> ConfigOutcome:
        return base_mismatch_outcome(order, self.version, self._forgotten_version)


def evaluate(order: ConfigOrder, current: Document | None, forgotten_version: int) -> EvaluationResult:
    """The document that an order leads to on the current one, or why there is none."""
    version = current.version if current else 0
    change = _read(order)
    if isinstance(change, DocumentRejection):
        return _invalid(version, change)
    if change.version <= order.base_version and order.base_version >= version:
        return ConfigOutcome(INVALID, version, f"version {change.version} is not above {order.base_version}")
    if order.base_version != version:
        return base_mismatch_outcome(order, version, forgotten_version)
    if isinstance(change, Document):
        return change
    if current is None:
        return ConfigOutcome(INVALID, version, "there is no configuration to be patched")
    merged = apply_patch(current, change)
    return _invalid(version, merged) if isinstance(merged, DocumentRejection) else merged


def _read(order: ConfigOrder) -> Document | Patch | DocumentRejection:
    match order.kind:
        case OrderKind.PUT:
            return parse_put(order.body)
        case OrderKind.PATCH:
            return parse_patch(order.body)
        case _:
            return DocumentRejection(RejectionCode.UNKNOWN_KIND, "not an order on the configuration")


def _invalid(version: int, rejection: DocumentRejection) -> ConfigOutcome:
    return ConfigOutcome(INVALID, version, f"{rejection.code}: {rejection.reason}")


def base_mismatch_outcome(order: ConfigOrder, version: int, forgotten_version: int) -> ConfigOutcome:
    """The answer to an order on another version than the current one.

    A base that may yet become current, or that is so old that the order may have been accepted and
    forgotten, gets no clear answer.
    """
    if order.base_version > version or order.base_version < forgotten_version:
        return ConfigOutcome(UNDETERMINED, version, f"version {version} is current")
    return ConfigOutcome(PRECONDITION_FAILED, version, f"version {version} is current")


def checked_entry(order: ConfigOrder) -> ConfigOrder:
    """The entry by which an owner has an order applied that it has found valid on its base."""
    kind = CHECKED_KINDS.get(order.kind)
    return order if kind is None else attrs.evolve(order, kind=int(kind))


def _digest(order: ConfigOrder) -> bytes:
    """Names an order: the same call, base and body give the same digest (16 bytes)."""
    head = b"%d %d " % (order.kind, order.base_version)
    return hashlib.blake2b(head + order.body, digest_size=16).digest()
