"""Who gives way when the memory or the connections of a process are used up."""

import asyncio

from kestrelbend.tier.http_server.body_budget import BodyBudget
from kestrelbend.tier.http_server.connection_table import ConnectionLimits, ConnectionTable
from kestrelbend.tier.http_server.request_body import BodyRejection, read_request_body
from kestrelbend.tier.http_server.response_budget import PROTECTED_S, ResponseBudget

CAPACITY_BYTES = 400_000
LARGE_BODIES_BYTES = 300_000  # three quarters


class Connection:
    """A connection that notes whether it was closed."""

    def __init__(self):
        self.aborted = False

    def abort(self):
        self.aborted = True


class TestBodyBudget:
    def test_largest_incomplete_body_gives_way_to_a_smaller_one(self):
        budget = BodyBudget(lambda: CAPACITY_BYTES)
        bodies = [budget.open() for _ in range(3)]
        assert bodies[0].append(bytes(200_000))
        assert bodies[1].append(bytes(100_000))
        assert bodies[2].append(bytes(100_000))
        assert [body.rejected for body in bodies] == [True, False, False]
        assert budget.held_bytes == 200_000

    def test_largest_body_is_rejected_itself(self):
        budget = BodyBudget(lambda: CAPACITY_BYTES)
        first, second = budget.open(), budget.open()
        assert first.append(bytes(200_000))
        assert not second.append(bytes(250_000))
        assert (first.rejected, second.rejected) == (False, True)

    def test_complete_bodies_stay_and_leave_a_part_to_small_ones(self):
        budget = BodyBudget(lambda: CAPACITY_BYTES, copies=2)
        large, other, small = budget.open(), budget.open(), budget.open()
        assert large.append(bytes(LARGE_BODIES_BYTES // 2))
        assert large.complete() == bytes(LARGE_BODIES_BYTES // 2)
        assert not other.append(bytes(100_000))
        assert small.append(bytes(1000))
        assert small.complete() == bytes(1000)
        large.close()
        small.close()
        assert budget.held_bytes == 0

    def test_rejected_reader_ends_while_it_waits_for_its_client(self):
        async def scenario():
            budget = BodyBudget(lambda: CAPACITY_BYTES)
            messages = asyncio.Queue()
            messages.put_nowait({"type": "http.request", "body": bytes(250_000), "more_body": True})
            with budget.open() as stopped, budget.open() as other:
                reading = asyncio.ensure_future(read_request_body(messages.get, stopped, CAPACITY_BYTES, 60))
                while not stopped.size:
                    await asyncio.sleep(0)
                assert other.append(bytes(100_000))
                return await asyncio.wait_for(reading, 10)

        assert asyncio.run(scenario()) is BodyRejection.NO_MEMORY


class TestResponseBudget:
    def test_response_that_nobody_reads_gives_way_once_it_is_old_enough(self):
        async def scenario():
            budget = ResponseBudget(lambda: 100)
            never = asyncio.Event()
            unread = asyncio.ensure_future(budget.send(80, never.wait))
            await asyncio.sleep(0)
            assert not await budget.send(80, _sent)
            await asyncio.sleep(PROTECTED_S)
            assert await budget.send(80, _sent)
            return await asyncio.wait_for(unread, 10)

        assert asyncio.run(scenario())


async def _sent():
    """A response that is read at once."""


class TestConnectionTable:
    def table(self, count):
        return ConnectionTable(ConnectionLimits(count, max_head_bytes=100, max_stalled=1))

    def test_refused_unused_idle_and_closing_connections_give_way_and_busy_ones_never(self):
        table = self.table(5)
        busy, idle, unused, closing, refused = (Connection() for _ in range(5))
        for connection in (busy, idle, unused, closing, refused):
            assert table.add(connection)
        for connection in (busy, idle, closing, refused):
            table.request_started(connection)
        table.request_finished(idle)
        table.closing(closing)
        table.lingering(refused)
        for expected in (refused, unused, idle, closing):
            newcomer = Connection()
            assert table.add(newcomer)
            table.request_started(newcomer)
            assert expected.aborted
        assert not table.add(Connection())
        assert not busy.aborted

    def test_oldest_incomplete_head_gives_way(self):
        table = self.table(4)
        connections = [Connection() for _ in range(3)]
        for connection in connections:
            table.add(connection)
            table.head_received(connection, 40)
        assert [connection.aborted for connection in connections] == [True, False, False]

    def test_connection_that_has_been_unread_longest_gives_way(self):
        table = self.table(4)
        connections = [Connection() for _ in range(2)]
        for connection in connections:
            table.add(connection)
            table.request_started(connection)
            table.stalled(connection)
        assert [connection.aborted for connection in connections] == [True, False]
