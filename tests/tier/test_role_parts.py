"""What every process is made of: ticks, tasks, settings that change, the options of its sockets."""

from __future__ import annotations

import asyncio
import socket
from unittest import mock

import testtools

from kestrelbend.tier.dataplane import network
from kestrelbend.tier.errors import TierError
from kestrelbend.tier.protocol import peer_connection
from kestrelbend.tier.protocol.codec import DecodeError
from kestrelbend.tier.protocol.framing import FramingError
from kestrelbend.tier.protocol.header import HeaderError
from kestrelbend.tier.roles.background_tasks import BackgroundTasks
from kestrelbend.tier.roles.settings import SettingsError
from kestrelbend.tier.roles.settings_file import SettingsFile
from kestrelbend.tier.roles.ticker import HEARTBEAT_INTERVAL_S, TickActions, Ticker
from kestrelbend.tier.socket_options import configure_socket
from tests.tier import virtual_time


def actions(**given):
    names = ("tick", "heartbeat", "check_settings", "abort")
    return TickActions(**{name: given.get(name, mock.Mock()) for name in names})


class TickerTest(testtools.TestCase):
    def run_for(self, seconds, given):
        async def play():
            ticker = Ticker(0.02, asyncio.get_running_loop().time, given)
            ticker.start()
            await asyncio.sleep(seconds)
            ticker.stop()
            await asyncio.sleep(1.0)

        virtual_time.run(play())

    def test_given_a_second_then_ticks_and_heartbeats_come_in_their_intervals_and_end_with_stop(self):
        given = actions()
        self.run_for(1.01, given)
        self.assertEqual(51, given.tick.call_count)
        self.assertIn(given.heartbeat.call_count, (4, 5))
        self.assertLessEqual(given.heartbeat.call_count, 1 + 1.01 / HEARTBEAT_INTERVAL_S)
        given.check_settings.assert_called()
        given.abort.assert_not_called()

    def test_given_a_tick_that_raises_then_the_process_is_aborted_once(self):
        given = actions(tick=mock.Mock(side_effect=ValueError("broken")))
        self.run_for(1.0, given)
        self.assertEqual((1, 1), (given.tick.call_count, given.abort.call_count))


class BackgroundTasksTest(testtools.TestCase):
    def test_given_tasks_that_run_when_cancelled_then_they_end_and_one_that_was_done_keeps_its_result(self):
        async def play():
            tasks = BackgroundTasks()
            done = tasks.spawn(asyncio.sleep(0, "result"))
            running = tasks.spawn(asyncio.sleep(100))
            await done
            tasks.cancel()
            await asyncio.wait([running], timeout=1.0)
            self.assertEqual("result", done.result())
            self.assertTrue(running.cancelled())

        asyncio.run(play())


class SettingsFileTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.environment = mock.Mock()
        self.environment.settings_changed_at.return_value = 1
        self.log = mock.Mock()
        self.file = SettingsFile("boot.yaml", self.environment, self.log)

    def test_given_a_change_then_it_is_told_once(self):
        self.assertIsNone(self.file.changed())
        self.environment.settings_changed_at.return_value = 2
        self.assertIs(self.environment.read_settings.return_value, self.file.changed())
        self.assertIsNone(self.file.changed())
        self.log.error.assert_not_called()

    def test_given_a_file_with_faults_then_nothing_changes_and_the_log_has_them_once(self):
        self.environment.settings_changed_at.return_value = 2
        self.environment.read_settings.side_effect = SettingsError("invalid", ("boot.yaml: Ip: is missing",))
        self.assertIsNone(self.file.changed())
        self.assertIsNone(self.file.changed())
        self.log.error.assert_called_once()


class SocketOptionsTest(testtools.TestCase):
    def options(self, limits):
        with socket.socket() as sock:
            configure_socket(sock, limits)
            tcp = [
                sock.getsockopt(socket.IPPROTO_TCP, option)
                for option in (
                    socket.TCP_NODELAY,
                    socket.TCP_KEEPIDLE,
                    socket.TCP_KEEPINTVL,
                    socket.TCP_KEEPCNT,
                    socket.TCP_USER_TIMEOUT,
                )
            ]
            return [sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE), *tcp]

    def test_connections_between_processes_and_to_backends_keep_their_limits(self):
        self.assertEqual([1, 1, 1, 1, 2, 600], self.options(peer_connection.SILENCE_LIMITS))
        self.assertEqual([1, 1, 1, 1, 2, 2000], self.options(network.SILENCE_LIMITS))


class ErrorsTest(testtools.TestCase):
    def test_errors_of_the_protocol_and_of_settings_are_the_tiers_and_have_codes_of_their_own(self):
        errors = [HeaderError("h"), DecodeError("d"), FramingError("f"), SettingsError("invalid", ("x",))]
        self.assertTrue(all(isinstance(error, TierError) for error in errors))
        self.assertEqual(len(errors), len({error.code for error in errors}))
