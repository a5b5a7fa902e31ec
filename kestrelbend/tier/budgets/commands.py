"""Commands as a log entry's bytes: one entry holds all commands of one request."""

from __future__ import annotations

import struct

from kestrelbend.tier.budgets.messages import Reserve, Settlement

_HEAD = struct.Struct("<IHH")  # milliseconds since the owner's last entry, settlements, reservations
_SETTLEMENT = struct.Struct("<HHqB")  # lengths of the two names, tokens, end
_RESERVE = struct.Struct("<HHHqqqBI")  # lengths of the names, fingerprint, maximum, budget, spare, retain_s
_MAX_ELAPSED_MS = 2**32 - 1


def encode_commands(
    settlements: tuple[Settlement, ...], reserves: tuple[Reserve, ...], elapsed_ms: int = 0
) -> bytes:
    """The bytes of an entry; settlements come first, as they are applied first."""
    parts = [_HEAD.pack(min(elapsed_ms, _MAX_ELAPSED_MS), len(settlements), len(reserves))]
    for settle in settlements:
        _put_settlement(parts, settle)
    for reserve in reserves:
        _put_reserve(parts, reserve)
    return b"".join(parts)


def elapsed_ms_of(data: bytes) -> int:
    """The time since the entry before, as its owner counted it."""
    return _HEAD.unpack_from(data)[0]


def decode_commands(data: bytes) -> tuple[list[Settlement], list[Reserve]]:
    """The settlements and reservations of an entry."""
    _, settlement_count, reserve_count = _HEAD.unpack_from(data)
    position = _HEAD.size
    settlements = []
    for _ in range(settlement_count):
        settle, position = _get_settlement(data, position)
        settlements.append(settle)
    reserves = []
    for _ in range(reserve_count):
        reserve, position = _get_reserve(data, position)
        reserves.append(reserve)
    return settlements, reserves


def _put_settlement(parts: list[bytes], settle: Settlement) -> None:
    program = settle.program.encode()
    reservation = settle.reservation.encode()
    parts.append(_SETTLEMENT.pack(len(program), len(reservation), settle.used_tokens, settle.end))
    parts.append(program)
    parts.append(reservation)


def _get_settlement(data: bytes, position: int) -> tuple[Settlement, int]:
    program_length, reservation_length, used, end = _SETTLEMENT.unpack_from(data, position)
    position += _SETTLEMENT.size
    middle = position + program_length
    stop = middle + reservation_length
    settle = Settlement(data[position:middle].decode(), data[middle:stop].decode(), used, end)
    return settle, stop


def _put_reserve(parts: list[bytes], reserve: Reserve) -> None:
    program = reserve.program.encode()
    session = reserve.session.encode()
    reservation = reserve.reservation.encode()
    lengths = len(program), len(session), len(reservation)
    figures = (
        reserve.fingerprint,
        reserve.max_tokens,
        reserve.budget,
        reserve.spare_capacity,
        reserve.retain_s,
    )
    parts.append(_RESERVE.pack(*lengths, *figures))
    parts += program, session, reservation


def _get_reserve(data: bytes, position: int) -> tuple[Reserve, int]:
    figures = _RESERVE.unpack_from(data, position)
    (
        program_length,
        session_length,
        reservation_length,
        fingerprint,
        most,
        budget,
        spare_capacity,
        retain_s,
    ) = figures
    session_start = position + _RESERVE.size + program_length
    reservation_start = session_start + session_length
    stop = reservation_start + reservation_length
    program = data[position + _RESERVE.size : session_start].decode()
    session = data[session_start:reservation_start].decode()
    reservation = data[reservation_start:stop].decode()
    return Reserve(
        program, session, reservation, fingerprint, most, budget, bool(spare_capacity), retain_s
    ), stop
