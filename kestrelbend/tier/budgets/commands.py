"""Encoding of commands as a log entry: one entry holds all commands of one request.

    elapsed (4) | settlements (2) | reservations (2) | settlement... | reservation...

The numbers in parentheses are bytes.  Each command is a fixed header with the lengths of its names, followed
by the names in UTF-8.  All integers are little-endian.  The format must not change: logs on disk and replicas
of earlier releases use it.
"""

from __future__ import annotations

import struct

from kestrelbend.tier.budgets.messages import Reserve, Settlement

_HEADER = struct.Struct("<IHH")  # milliseconds since the owner's last entry, settlement and reserve counts
_SETTLEMENT = struct.Struct("<HHqB")  # lengths of program and reservation, used tokens, end
_RESERVE = struct.Struct("<HHHqqqBI")  # lengths of the three names, then the fields from `fingerprint` on
_MAX_ELAPSED_MS = 2**32 - 1


def encode_commands(
    settlements: tuple[Settlement, ...], reserves: tuple[Reserve, ...], elapsed_ms: int = 0
) -> bytes:
    """Encodes an entry; settlements come first because they are applied first."""
    buffers = [_HEADER.pack(min(elapsed_ms, _MAX_ELAPSED_MS), len(settlements), len(reserves))]
    for settlement in settlements:
        _encode_settlement(buffers, settlement)
    for reserve in reserves:
        _encode_reserve(buffers, reserve)
    return b"".join(buffers)


def decode_elapsed_ms(data: bytes) -> int:
    """Returns the milliseconds since the owner's previous entry, as the owner measured them."""
    elapsed_ms: int = _HEADER.unpack_from(data)[0]
    return elapsed_ms


def decode_commands(data: bytes) -> tuple[list[Settlement], list[Reserve]]:
    """Returns the settlements and reservations of an entry."""
    _, settlement_count, reserve_count = _HEADER.unpack_from(data)
    offset = _HEADER.size
    settlements: list[Settlement] = []
    for _ in range(settlement_count):
        settlement, offset = _decode_settlement(data, offset)
        settlements.append(settlement)
    reserves: list[Reserve] = []
    for _ in range(reserve_count):
        reserve, offset = _decode_reserve(data, offset)
        reserves.append(reserve)
    return settlements, reserves


def _encode_settlement(buffers: list[bytes], settlement: Settlement) -> None:
    program = settlement.program.encode()
    reservation = settlement.reservation.encode()
    header = _SETTLEMENT.pack(len(program), len(reservation), settlement.used_tokens, settlement.end)
    buffers += (header, program, reservation)


def _decode_settlement(data: bytes, offset: int) -> tuple[Settlement, int]:
    """Returns the settlement at an offset, and the offset after it."""
    program_length, reservation_length, used_tokens, end = _SETTLEMENT.unpack_from(data, offset)
    program_start = offset + _SETTLEMENT.size
    reservation_start = program_start + program_length
    next_offset = reservation_start + reservation_length
    program = data[program_start:reservation_start].decode()
    reservation = data[reservation_start:next_offset].decode()
    return Settlement(program, reservation, used_tokens, end), next_offset


def _encode_reserve(buffers: list[bytes], reserve: Reserve) -> None:
    program = reserve.program.encode()
    session = reserve.session.encode()
    reservation = reserve.reservation.encode()
    header = _RESERVE.pack(
        len(program),
        len(session),
        len(reservation),
        reserve.fingerprint,
        reserve.max_tokens,
        reserve.budget,
        reserve.spare_capacity,
        reserve.retain_s,
    )
    buffers += (header, program, session, reservation)


def _decode_reserve(data: bytes, offset: int) -> tuple[Reserve, int]:
    """Returns the reservation at an offset, and the offset after it."""
    header = _RESERVE.unpack_from(data, offset)
    program_length, session_length, reservation_length, *fields = header
    program_start = offset + _RESERVE.size
    session_start = program_start + program_length
    reservation_start = session_start + session_length
    next_offset = reservation_start + reservation_length
    program = data[program_start:session_start].decode()
    session = data[session_start:reservation_start].decode()
    reservation = data[reservation_start:next_offset].decode()
    fingerprint, max_tokens, budget, spare_capacity, retain_s = fields
    reserve = Reserve(
        program, session, reservation, fingerprint, max_tokens, budget, bool(spare_capacity), retain_s
    )
    return reserve, next_offset
