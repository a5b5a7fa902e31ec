"""Tests of a control process's status response, and of its output by `kestrelbend status`."""

import contextlib
import http.server
import io
import json
import threading

import testtools

from kestrelbend.__main__ import serve
from kestrelbend.command.application import run
from kestrelbend.tier.discovery.messages import Backend, BackendState
from kestrelbend.tier.membership.fault_tolerance import Losses, Tolerance
from kestrelbend.tier.membership.messages import Heartbeat, Member, ShardPlacement, ShardReport
from kestrelbend.tier.membership.placement import Spread
from kestrelbend.tier.membership.status import DesiredShards, status
from kestrelbend.tier.membership.table import MemberTable

VOTERS = ("10.0.0.1:70#a", "10.0.0.2:70#b", "10.0.0.3:70#c")
NOW = 100.0


def member(number, role="store"):
    address = f"10.0.0.{number}:70"
    replica = VOTERS[number - 1] if number <= len(VOTERS) else ""
    return Member(f"{role}-{number}", role, address, "", "z", replica, False, role == "store", False, 1)


def heartbeat(number, applied, epoch=4, role="store", version=0):
    reports = ()
    if role == "store":
        reports = (ShardReport("budget-0", VOTERS[number - 1], epoch, VOTERS[0], VOTERS, applied, applied),)
    return Heartbeat(member(number, role), 1, version, False, reports)


def backend(identity, state, service="chat"):
    return Backend(identity, service, f"10.9.0.{len(identity)}:1", "z", "1", 4, int(state), 0, 1)


class StatusTest(testtools.TestCase):
    """A tier of three stores and a gateway, with one shard."""

    def setUp(self):
        super().setUp()
        self.table = MemberTable()
        self.placements = (ShardPlacement("budget-0", VOTERS, VOTERS),)
        self.retiring = ()
        self.group_size = 3
        self.spread = Spread()
        self.backends = [backend("i", BackendState.READY)]
        for number, applied in ((1, 5000), (2, 4990), (3, 5000)):
            self.table.record_heartbeat(heartbeat(number, applied), NOW)
        self.table.record_heartbeat(heartbeat(4, 0, role="gateway", version=7), NOW)

    def status(self, now=NOW):
        desired = DesiredShards(self.placements, self.retiring, self.group_size, self.spread)
        answer = status(member(1), True, 7, self.table, desired, self.backends, now)
        return json.loads(json.dumps(answer))

    def printed(self, answer, *words):
        """Returns exit code and output of the command for a server that sends this response."""

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):
                body = json.dumps(answer).encode()
                self.send_response(200 if self.path == "/api/Status" else 404)
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                pass

        server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
        self.addCleanup(server.server_close)
        answering = threading.Thread(target=server.handle_request)
        answering.start()
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            code = run(["status", f"127.0.0.1:{server.server_port}", *words], serve)
        answering.join()
        return code, output.getvalue()

    def test_status_lists_processes_shards_lag_and_backends(self):
        answer = self.status()
        self.assertEqual(["store", "store", "store", "gateway"], [row["Role"] for row in answer["Processes"]])
        shard = answer["Shards"][0]
        self.assertEqual((4, VOTERS[0], list(VOTERS)), (shard["Epoch"], shard["Owner"], shard["Voters"]))
        self.assertEqual([0, 10, 0], [replica["Lag"] for replica in shard["Replicas"]])
        self.assertEqual({"chat": {"Ready": 1, "Draining": 0, "Gone": 0}}, answer["Backends"])
        code, output = self.printed(answer)
        self.assertEqual(0, code)
        for part in ("store-1,store-2,store-3", "0,10,0", "gateway-4", "nothing to look at"):
            self.assertIn(part, output)

    def test_json_option_prints_the_complete_response(self):
        answer = self.status()
        code, output = self.printed(answer, "--json")
        self.assertEqual((0, answer), (code, json.loads(output)))

    def test_unresponsive_owner_is_reported_with_its_heartbeat_age(self):
        for number in (2, 3):
            self.table.record_heartbeat(
                Heartbeat(member(number), 2, 0, False, heartbeat(number, 5000).shards), NOW + 9
            )
        output = self.printed(self.status(NOW + 9))[1]
        self.assertIn("budget-0: no live owner", output)
        self.assertIn("store on store-1: silent for 9.0 s", output)

    def test_report_of_the_latest_epoch_determines_owner_and_lag(self):
        later = ShardReport("budget-0", VOTERS[2], 5, VOTERS[2], VOTERS, 7000, 7000)
        self.table.record_heartbeat(Heartbeat(member(3), 2, 0, False, (later,)), NOW)
        shard = self.status()["Shards"][0]
        self.assertEqual((5, VOTERS[2], 7000), (shard["Epoch"], shard["Owner"], shard["CommitIndex"]))
        self.assertIn("voter on store-2 lags by 2010 commands", self.printed(self.status())[1])

    def test_placement_change_and_retiring_node_are_reported(self):
        new_voters = (*VOTERS[:2], "10.0.0.9:70#d")
        self.placements = (ShardPlacement("budget-0", VOTERS, new_voters),)
        self.retiring = ("store-3",)
        output = self.printed(self.status())[1]
        self.assertIn("budget-0: moves to store-1, store-2, 10.0.0.9:70#d", output)
        self.assertIn("store-3: being emptied, still holds budget-0", output)

    def test_group_with_fewer_voters_than_needed_and_missing_placements_are_reported(self):
        self.group_size = 5
        answer = self.status()
        self.assertEqual(5, answer["VotersNeeded"])
        self.assertIn("budget-0: 3 voters, 5 needed: 1 of its nodes may be lost", self.printed(answer)[1])
        answer["Shards"] = []
        self.assertIn("no budget shard is placed: 5 processes with a disk", self.printed(answer)[1])
        del answer["VotersNeeded"]
        self.assertNotIn("needed", self.printed(answer)[1])

    def test_voters_in_too_few_zones_are_reported(self):
        """A layout that cannot keep a tolerated figure is told."""
        zones = dict(zip(VOTERS, ("a", "a", "b"), strict=True))
        self.spread = Spread(Tolerance(Losses(1, 1, 1)), zones)
        answer = self.status()
        self.assertEqual({"Nodes": 1, "Zones": 1, "Regions": 1}, answer["Tolerate"])
        self.assertEqual({"Nodes": 1, "Zones": 0, "Regions": 0}, answer["Shards"][0]["Survives"])
        output = self.printed(answer)[1]
        self.assertIn("budget-0: 0 zones may be lost, not 1", output)
        self.assertIn("budget-0: 0 regions may be lost, not 1", output)
        del answer["Tolerate"]
        self.assertNotIn("may be lost", self.printed(answer)[1])

    def test_old_configuration_version_and_missing_ready_backend_are_reported(self):
        self.table.record_heartbeat(Heartbeat(member(4, "gateway"), 2, 6, False, ()), NOW)
        self.backends = [backend("i", BackendState.DEPARTED), backend("ii", BackendState.DRAINING)]
        output = self.printed(self.status())[1]
        self.assertIn("gateway on gateway-4: still serves by version 6", output)
        self.assertIn("service chat: no ready backend", output)

    def test_placed_shard_without_reports_is_listed_without_an_owner(self):
        self.placements = (*self.placements, ShardPlacement("budget-1", VOTERS, VOTERS))
        shard = self.status()["Shards"][1]
        self.assertEqual(("budget-1", "", []), (shard["Shard"], shard["Owner"], shard["Replicas"]))
        self.assertIn("budget-1: no live owner", self.printed(self.status())[1])

    def test_command_fails_with_one_line_if_no_control_process_answers(self):
        output = io.StringIO()
        with contextlib.redirect_stderr(output):
            self.assertEqual(1, run(["status", "127.0.0.1:9"], serve))
        self.assertIn("is it the operator's address of a control process?", output.getvalue())
        for other in ({"Node": "x"}, [], None):
            code, text = self.printed(other)
            self.assertEqual((1, 1), (code, len(text.splitlines())))
