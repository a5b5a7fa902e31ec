"""The configuration shard's state machine.

Invariants: every replica that applies the same orders in the same sequence holds the same state and answers
the same.  An order once taken is never refused: it is answered 200 for as long as it is among the last
`MAX_HISTORY` taken, and after that without a clear answer.  An order once refused is never taken: every
refusal holds for all later versions, and where one might not, there is no clear answer either.
"""

from __future__ import annotations

import functools
import hashlib
import json
from collections.abc import Callable

import attrs

from kestrelbend.tier.configuration.document import (
    ConfigRejected,
    Document,
    Patch,
    apply_patch,
    merge_accepted,
    parse_patch,
    parse_put,
    read_accepted,
)
from kestrelbend.tier.configuration.messages import UNDETERMINED, ConfigOrder, ConfigOutcome, OrderKind
from kestrelbend.tier.configuration.placements import decode_placement, encode_placement
from kestrelbend.tier.configuration.ports import RetireState
from kestrelbend.tier.configuration.stores import (
    MAX_NODE_NAME,
    StoreRecords,
    decode_disk,
    decode_emptied,
    encode_disk,
    encode_emptied,
)
from kestrelbend.tier.membership.messages import ShardPlacement

CHECKED_KINDS = {OrderKind.PUT: OrderKind.CHECKED_PUT, OrderKind.PATCH: OrderKind.CHECKED_PATCH}
SENT_KINDS = {checked: sent for sent, checked in CHECKED_KINDS.items()}
MAX_HISTORY = 4096
MAX_EVALUATIONS_KEPT = 16
MAX_EVALUATION_BYTES_KEPT = 4 * 1024 * 1024  # of bodies whose documents are kept decoded
MAX_RETIRING = 4096
SNAPSHOT_FORM = 1

# Keys of a snapshot's head: they stand in snapshots on disk, apart from the names of fields.
_FORM = "form"
_HISTORY = "history"
_FORGOTTEN = "forgotten"
_PLACEMENTS = "placements"
_RETIRING = "retiring"
_DISKS = "disks"
_EMPTIED = "emptied"


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
        self._stores = StoreRecords()
        self._checked: dict[bytes, _Checked] = {}
        self._own_kinds: dict[int, Callable[[ConfigOrder], ConfigOutcome | None]] = {
            OrderKind.PLACEMENT: self._look_at_placement,
            OrderKind.RETIRE: self._look_at_retirement,
            OrderKind.STORE: self._look_at_disk,
            OrderKind.EMPTIED: self._look_at_emptied,
            OrderKind.RETIRE_STATE: self._look_at_retire_state,
        }

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
        return self._stores.retiring

    @property
    def stores(self) -> StoreRecords:
        """The disks known, and how far the emptying of nodes has come."""
        return self._stores

    def check(self, order: ConfigOrder) -> ConfigOutcome | None:
        """The answer to an order that changes nothing (refused or taken before); None: it must be applied."""
        look = self._own_kinds.get(order.kind)
        if look is not None:
            return look(order)
        looked = self._look_at(order)
        return looked if isinstance(looked, ConfigOutcome) else None

    def apply(self, order: ConfigOrder) -> ConfigOutcome:
        """Carries an order out, or refuses it; deterministic."""
        if order.kind in SENT_KINDS:
            return self._apply_checked(attrs.evolve(order, kind=int(SENT_KINDS[order.kind])))
        answer = self.check(order)
        if answer is not None:
            return answer
        if order.kind == OrderKind.PLACEMENT:
            placement = decode_placement(order.body)
            self._placements[placement.shard] = placement
        elif order.kind == OrderKind.RETIRE:
            self._stores.retire(order.body.decode())
        elif order.kind == OrderKind.STORE:
            self._stores.record_disk(decode_disk(order.body), self._placed_replicas())
        elif order.kind == OrderKind.EMPTIED:
            self._stores.record_emptied(decode_emptied(order.body))
        else:
            self._take(order, self._look_at(order))
        return self._outcome(200, "taken")

    def _apply_checked(self, order: ConfigOrder) -> ConfigOutcome:
        """Carries out what the entry's owner has found valid on its base: that holds on no other version."""
        digest = _digest(order)
        taken = self._taken_before(digest)
        if taken is not None:
            return ConfigOutcome(200, taken, "taken before")
        if order.base_version != self.version:
            return self._other_base(order)
        self._take(order, self._accepted(order, digest))
        return self._outcome(200, "taken")

    def _accepted(self, order: ConfigOrder, digest: bytes) -> Document:
        """The document that a valid order leads to; the owner itself still has it from its check."""
        checked = self._checked.get(digest)
        if checked is not None and checked.version == self.version and isinstance(checked.result, Document):
            return checked.result
        if order.kind == OrderKind.PUT:
            return read_accepted(order.body)
        return merge_accepted(self._document, order.body)

    def _take(self, order: ConfigOrder, document: Document | ConfigOutcome) -> None:
        if not isinstance(document, Document):
            raise AssertionError("an order is taken only after its check")
        self._document = document
        self._history[_digest(order)] = document.version
        while len(self._history) > MAX_HISTORY:
            self._forgotten_version = self._history.pop(next(iter(self._history)))
        self._checked.clear()

    def needs_evaluation(self, order: ConfigOrder) -> bool:
        """Whether `check` would have to read the whole order now."""
        digest = _digest(order)
        checked = self._checked.get(digest)
        is_known = checked is not None and checked.version == self.version
        return not is_known and self._taken_before(digest) is None

    def evaluation(self, order: ConfigOrder) -> Callable[[], Document | ConfigOutcome]:
        """The reading and checking of an order, to be run anywhere: it touches nothing of this state."""
        return functools.partial(evaluate, order, self._document, self._forgotten_version)

    def keep_evaluation(self, order: ConfigOrder, version: int, result: Document | ConfigOutcome) -> None:
        """Keeps what an evaluation begun at `version` came to."""
        self._keep(_digest(order), _Checked(version, result))

    def _look_at(self, order: ConfigOrder) -> Document | ConfigOutcome:
        """The document that the order leads to, or its answer; kept, as owners check before they apply."""
        digest = _digest(order)
        taken = self._taken_before(digest)
        if taken is not None:
            return ConfigOutcome(200, taken, "taken before")
        checked = self._checked.get(digest)
        if checked is None or checked.version != self.version:
            checked = _Checked(self.version, self.evaluation(order)())
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
        while len(self._checked) > MAX_EVALUATIONS_KEPT or (
            size > MAX_EVALUATION_BYTES_KEPT and len(self._checked) > 1
        ):
            oldest = next(iter(self._checked))
            size -= self._checked.pop(oldest).size

    def _other_base(self, order: ConfigOrder) -> ConfigOutcome:
        return other_base(order, self.version, self._forgotten_version)

    def _look_at_placement(self, order: ConfigOrder) -> ConfigOutcome | None:
        placement = decode_placement(order.body)
        if placement is None:
            return self._outcome(400, "not a placement")
        known = self._placements.get(placement.shard)
        if known == placement:
            return self._outcome(200, "taken before")
        if known is not None and known.founders != placement.founders:
            return self._outcome(412, f"shard {placement.shard} has other founders")
        if not follows(placement, known):
            return self._outcome(412, f"placement {placement.number} does not follow the one in force")
        held = known.voters if known is not None else ()
        if any(self._stores.must_be_emptied(voter) for voter in placement.voters if voter not in held):
            return self._outcome(412, "a new voter is on a node to be emptied")
        return None

    def _look_at_retirement(self, order: ConfigOrder) -> ConfigOutcome | None:
        node = _node_name(order)
        if not node:
            return self._outcome(400, "not the name of a node")
        if node in self.retiring:
            return self._outcome(200, "taken before")
        if len(self.retiring) >= MAX_RETIRING:
            return self._outcome(409, "too many nodes are being emptied")
        return None

    def _look_at_disk(self, order: ConfigOrder) -> ConfigOutcome | None:
        disk = decode_disk(order.body)
        if disk is None:
            return self._outcome(400, "not a disk")
        return self._outcome(200, "taken before") if self._stores.knows(disk) else None

    def _look_at_emptied(self, order: ConfigOrder) -> ConfigOutcome | None:
        fact = decode_emptied(order.body)
        if fact is None:
            return self._outcome(400, "not a node that is empty")
        if self._stores.is_emptied(fact.node, fact.shard):
            return self._outcome(200, "taken before")
        if not self._stores.may_record(fact, self.placement(fact.shard)):
            return self._outcome(412, f"{fact.node} may hold {fact.shard}")
        return None

    def _look_at_retire_state(self, order: ConfigOrder) -> ConfigOutcome:
        """How far the emptying of a node has come, as the reason: never an entry of the log."""
        node = _node_name(order)
        if node not in self.retiring:
            state = RetireState.NOT_ORDERED
        elif self._stores.is_complete(node, self.placements):
            state = RetireState.COMPLETE
        else:
            state = RetireState.RUNNING
        return self._outcome(200, state.value)

    def _placed_replicas(self) -> set[str]:
        return {voter for placed in self.placements for voter in placed.voters}

    def _outcome(self, status: int, reason: str) -> ConfigOutcome:
        return ConfigOutcome(status, self.version, reason)

    def snapshot(self) -> bytes:
        """The whole state: a line of JSON, then the current document's body as it is."""
        head = {
            _FORM: SNAPSHOT_FORM,
            _HISTORY: [[digest.hex(), version] for digest, version in self._history.items()],
            _FORGOTTEN: self._forgotten_version,
            _PLACEMENTS: [encode_placement(placement).decode() for placement in self.placements],
            _RETIRING: list(self.retiring),
            _DISKS: [encode_disk(disk).decode() for disk in self._stores.disks],
            _EMPTIED: [encode_emptied(fact).decode() for fact in self._stores.emptied],
        }
        return json.dumps(head, separators=(",", ":")).encode() + b"\n" + self.body

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state by a snapshot's, or raises `SnapshotError` and leaves it as it was."""
        head_line, _, body = bytes(snapshot).partition(b"\n")
        try:
            head = json.loads(head_line)
            if head[_FORM] != SNAPSHOT_FORM:
                raise SnapshotError("unknown_form", f"form {head[_FORM]}")
            history = {bytes.fromhex(digest): int(version) for digest, version in head[_HISTORY]}
            forgotten_version = int(head.get(_FORGOTTEN, 0))
            placements = [decode_placement(text.encode()) for text in head[_PLACEMENTS]]
            retiring = [str(node) for node in head[_RETIRING]]
            disks = [decode_disk(text.encode()) for text in head.get(_DISKS, ())]
            emptied = [decode_emptied(text.encode()) for text in head.get(_EMPTIED, ())]
            document = read_accepted(body) if body else None
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            raise SnapshotError("unreadable", f"{type(error).__name__}: {error}") from None
        if None in (*placements, *disks, *emptied):
            raise SnapshotError("unreadable", "a placement, a disk or an emptied node")
        self._document = document
        self._history = history
        self._forgotten_version = forgotten_version
        self._placements = {placement.shard: placement for placement in placements}
        self._stores = StoreRecords(disks, retiring, emptied)
        self._checked.clear()


def evaluate(
    order: ConfigOrder, current: Document | None, forgotten_version: int
) -> Document | ConfigOutcome:
    """The document that an order leads to on the current one, or why there is none."""
    version = current.version if current else 0
    change = _read(order)
    if isinstance(change, ConfigRejected):
        return ConfigOutcome(400, version, f"{change.code}: {change.reason}")
    if change.version <= order.base_version and order.base_version >= version:
        return ConfigOutcome(400, version, f"version {change.version} is not above {order.base_version}")
    if order.base_version != version:
        return other_base(order, version, forgotten_version)
    if isinstance(change, Document):
        return change
    if current is None:
        return ConfigOutcome(400, version, "there is no configuration to be patched")
    merged = apply_patch(current, change)
    if isinstance(merged, ConfigRejected):
        return ConfigOutcome(400, version, f"{merged.code}: {merged.reason}")
    return merged


def _read(order: ConfigOrder) -> Document | Patch | ConfigRejected:
    if order.kind == OrderKind.PUT:
        return parse_put(order.body)
    if order.kind == OrderKind.PATCH:
        return parse_patch(order.body)
    return ConfigRejected("unknown_kind", "not an order on the configuration")


def other_base(order: ConfigOrder, version: int, forgotten_version: int) -> ConfigOutcome:
    """The answer to an order on another version than the current one.

    A base that may yet become current, or that is so old that the order may have been taken and forgotten,
    gets no clear answer.
    """
    if order.base_version > version or order.base_version < forgotten_version:
        return ConfigOutcome(UNDETERMINED, version, f"version {version} is current")
    return ConfigOutcome(412, version, f"version {version} is current")


def checked_entry(order: ConfigOrder) -> ConfigOrder:
    """The entry by which an owner has an order applied that it has found valid on its base."""
    kind = CHECKED_KINDS.get(order.kind)
    return order if kind is None else attrs.evolve(order, kind=int(kind))


def follows(placement: ShardPlacement, known: ShardPlacement | None) -> bool:
    """Whether a placement may take the place of the one known: its number is the next one.

    Those without numbers are of journals that were begun before there were any.
    """
    known_number = known.number if known is not None else 0
    return placement.number == known_number + 1 or placement.number == known_number == 0


def _node_name(order: ConfigOrder) -> str:
    """The node that an order names, or an empty string."""
    try:
        node = order.body.decode()
    except UnicodeDecodeError:
        return ""
    return node if len(node) <= MAX_NODE_NAME else ""


def _digest(order: ConfigOrder) -> bytes:
    """Names an order: the same call, base and body give the same digest."""
    head = b"%d %d " % (order.kind, order.base_version)
    return hashlib.blake2b(head + order.body, digest_size=16).digest()
