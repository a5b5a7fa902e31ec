"""The configuration shard's state machine.

Invariants: every replica that applies the same orders in the same sequence holds the same state and answers
the same.  An order once taken is never refused: it is answered 200 for as long as it is among the last
`MOST_HISTORY` taken, and after that without a clear answer.  An order once refused is never taken: every
refusal holds for all later versions, and where one might not, there is no clear answer either.
"""

from __future__ import annotations

import hashlib
import json

import attrs

from kestrelbend.tier.configuration.document import (
    ConfigRejected,
    Document,
    apply_patch,
    parse_patch,
    parse_put,
    read_accepted,
)
from kestrelbend.tier.configuration.messages import UNCLEAR, ConfigOrder, ConfigOutcome, OrderKind
from kestrelbend.tier.configuration.placements import decode_placement, encode_placement
from kestrelbend.tier.membership.messages import ShardPlacement

MOST_HISTORY = 4096
MOST_CHECKED = 16
MOST_CHECKED_BYTES = 4 * 1024 * 1024  # of bodies whose documents are kept decoded
MOST_RETIRING = 4096
MOST_NODE_NAME = 256
SNAPSHOT_FORM = 1


class SnapshotError(Exception):
    """A snapshot can't be read; `code` is one word for counting."""

    def __init__(self, code: str, reason: str) -> None:
        super().__init__(f"{code}: {reason}")
        self.code = code


@attrs.frozen(eq=False)
class _Checked:
    """What an order came to when it was last looked at, while `version` was current."""

    version: int
    result: Document | ConfigOutcome

    @property
    def size(self) -> int:
        """Bytes of the body that is kept."""
        return len(self.result.body) if isinstance(self.result, Document) else 0


class ConfigurationState:
    """The current document, the orders taken, the placements of shards and the nodes to be emptied."""

    def __init__(self) -> None:
        self._document: Document | None = None
        self._history: dict[bytes, int] = {}
        self._forgotten_version = 0  # the highest that an order brought which the history holds no more
        self._placements: dict[str, ShardPlacement] = {}
        self._retiring: dict[str, None] = {}
        self._checked: dict[bytes, _Checked] = {}

    @property
    def version(self) -> int:
        """The current version; 0 before the first configuration."""
        return self._document.version if self._document else 0

    @property
    def body(self) -> bytes:
        """The current configuration as `Config.Get` returns it; empty before the first one."""
        return self._document.body if self._document else b""

    @property
    def document(self) -> Document | None:
        return self._document

    @property
    def placements(self) -> tuple[ShardPlacement, ...]:
        return tuple(self._placements.values())

    def placement(self, shard: str) -> ShardPlacement | None:
        return self._placements.get(shard)

    @property
    def retiring(self) -> tuple[str, ...]:
        return tuple(self._retiring)

    def check(self, order: ConfigOrder) -> ConfigOutcome | None:
        """The answer to an order that changes nothing (refused or taken before); None: it must be applied."""
        if order.kind == OrderKind.PLACEMENT:
            return self._look_at_placement(order)
        if order.kind == OrderKind.RETIRE:
            return self._look_at_retirement(order)
        looked = self._look_at(order)
        return looked if isinstance(looked, ConfigOutcome) else None

    def apply(self, order: ConfigOrder) -> ConfigOutcome:
        """Carries an order out, or refuses it; deterministic."""
        answer = self.check(order)
        if answer is not None:
            return answer
        if order.kind == OrderKind.PLACEMENT:
            placement = decode_placement(order.body)
            self._placements[placement.shard] = placement
        elif order.kind == OrderKind.RETIRE:
            self._retiring[order.body.decode()] = None
        else:
            self._take(order)
        return self._outcome(200, "taken")

    def _take(self, order: ConfigOrder) -> None:
        document = self._look_at(order)
        if not isinstance(document, Document):
            raise AssertionError("an order is taken only after its check")
        self._document = document
        self._history[_digest(order)] = document.version
        while len(self._history) > MOST_HISTORY:
            self._forgotten_version = self._history.pop(next(iter(self._history)))
        self._checked.clear()

    def _look_at(self, order: ConfigOrder) -> Document | ConfigOutcome:
        """The document that the order leads to, or its answer; kept, as owners check before they apply."""
        digest = _digest(order)
        taken = self._taken_before(digest)
        if taken is not None:
            return ConfigOutcome(200, taken, "taken before")
        checked = self._checked.get(digest)
        if checked is None or checked.version != self.version:
            checked = _Checked(self.version, self._examine(order))
            self._keep(digest, checked)
        return checked.result

    def _taken_before(self, digest: bytes) -> int | None:
        """The version that an order of this name has led to, where it was taken before."""
        return self._history.get(digest)

    def _keep(self, digest: bytes, checked: _Checked) -> None:
        """Keeps a result, and drops the oldest ones beyond the bounds."""
        self._checked.pop(digest, None)
        self._checked[digest] = checked
        size = sum(kept.size for kept in self._checked.values())
        while len(self._checked) > MOST_CHECKED or (size > MOST_CHECKED_BYTES and len(self._checked) > 1):
            oldest = next(iter(self._checked))
            size -= self._checked.pop(oldest).size

    def _examine(self, order: ConfigOrder) -> Document | ConfigOutcome:
        if order.kind == OrderKind.PUT:
            change = parse_put(order.body)
        elif order.kind == OrderKind.PATCH:
            change = parse_patch(order.body)
        else:
            return self._outcome(400, "not an order on the configuration")
        if isinstance(change, ConfigRejected):
            return self._outcome(400, f"{change.code}: {change.reason}")
        if change.version <= order.base_version and order.base_version >= self.version:
            return self._outcome(400, f"version {change.version} is not above {order.base_version}")
        if order.base_version != self.version:
            return self._other_base(order)
        if isinstance(change, Document):
            return change
        if self._document is None:
            return self._outcome(400, "there is no configuration to be patched")
        merged = apply_patch(self._document, change)
        if isinstance(merged, ConfigRejected):
            return self._outcome(400, f"{merged.code}: {merged.reason}")
        return merged

    def _other_base(self, order: ConfigOrder) -> ConfigOutcome:
        """The answer to an order on another version than the current one.

        A base that may yet become current, or that is so old that the order may have been taken and
        forgotten, gets no clear answer.
        """
        if order.base_version > self.version or order.base_version < self._forgotten_version:
            return self._outcome(UNCLEAR, f"version {self.version} is current")
        return self._outcome(412, f"version {self.version} is current")

    def _look_at_placement(self, order: ConfigOrder) -> ConfigOutcome | None:
        placement = decode_placement(order.body)
        if placement is None:
            return self._outcome(400, "not a placement")
        known = self._placements.get(placement.shard)
        if known == placement:
            return self._outcome(200, "taken before")
        if known is not None and known.founders != placement.founders:
            return self._outcome(412, f"shard {placement.shard} has other founders")
        return None

    def _look_at_retirement(self, order: ConfigOrder) -> ConfigOutcome | None:
        try:
            node = order.body.decode()
        except UnicodeDecodeError:
            node = ""
        if not 0 < len(node) <= MOST_NODE_NAME:
            return self._outcome(400, "not the name of a node")
        if node in self._retiring:
            return self._outcome(200, "taken before")
        if len(self._retiring) >= MOST_RETIRING:
            return self._outcome(409, "too many nodes are being emptied")
        return None

    def _outcome(self, status: int, reason: str) -> ConfigOutcome:
        return ConfigOutcome(status, self.version, reason)

    def snapshot(self) -> bytes:
        """The whole state: a line of JSON, then the current document's body as it is."""
        head = {
            "form": SNAPSHOT_FORM,
            "history": [[digest.hex(), version] for digest, version in self._history.items()],
            "forgotten": self._forgotten_version,
            "placements": [encode_placement(placement).decode() for placement in self.placements],
            "retiring": list(self._retiring),
        }
        return json.dumps(head, separators=(",", ":")).encode() + b"\n" + self.body

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state by a snapshot's, or raises `SnapshotError` and leaves it as it was."""
        head_line, _, body = bytes(snapshot).partition(b"\n")
        try:
            head = json.loads(head_line)
            if head["form"] != SNAPSHOT_FORM:
                raise SnapshotError("unknown_form", f"form {head['form']}")
            history = {bytes.fromhex(digest): int(version) for digest, version in head["history"]}
            forgotten_version = int(head.get("forgotten", 0))
            placements = [decode_placement(text.encode()) for text in head["placements"]]
            retiring = dict.fromkeys(str(node) for node in head["retiring"])
            document = read_accepted(body) if body else None
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            raise SnapshotError("unreadable", f"{type(error).__name__}: {error}") from None
        if None in placements:
            raise SnapshotError("unreadable", "a placement")
        self._document = document
        self._history = history
        self._forgotten_version = forgotten_version
        self._placements = {placement.shard: placement for placement in placements}
        self._retiring = retiring
        self._checked.clear()


def _digest(order: ConfigOrder) -> bytes:
    """Names an order: the same call, base and body give the same digest."""
    head = b"%d %d " % (order.kind, order.base_version)
    return hashlib.blake2b(head + order.body, digest_size=16).digest()
