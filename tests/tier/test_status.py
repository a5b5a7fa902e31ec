"""What a control process tells of the tier, and how `kestrelbend status` prints it."""

import contextlib
import http.server
import io
import json
import threading

import testtools

from kestrelbend.__main__ import serve
from kestrelbend.command.application import run
from kestrelbend.tier.discovery.messages import Backend, BackendState
from kestrelbend.tier.membership.messages import Heartbeat, Member, ShardPlacement, ShardReport
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
    """Three stores, a gateway, one shard."""

    def setUp(self):
        super().setUp()
        self.table = MemberTable()
        self.placements = (ShardPlacement("budget-0", VOTERS, VOTERS),)
        self.retiring = ()
        self.backends = [backend("i", BackendState.READY)]
        for number, applied in ((1, 5000), (2, 4990), (3, 5000)):
            self.table.record_heartbeat(heartbeat(number, applied), NOW)
        self.table.record_heartbeat(heartbeat(4, 0, role="gateway", version=7), NOW)

    def status(self, now=NOW):
        wanted = DesiredShards(self.placements, self.retiring)
        answer = status(member(1), True, 7, self.table, wanted, self.backends, now)
        return json.loads(json.dumps(answer))

    def printed(self, answer, *words):
        """(exit code, output) of the command, asking a server that tells this."""

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
        said = io.StringIO()
        with contextlib.redirect_stdout(said), contextlib.redirect_stderr(said):
            code = run(["status", f"127.0.0.1:{server.server_port}", *words], serve)
        answering.join()
        return code, said.getvalue()

    def test_given_a_calm_tier_then_roles_shards_lag_and_backends_are_listed(self):
        answer = self.status()
        self.assertEqual(["store", "store", "store", "gateway"], [row["Role"] for row in answer["Processes"]])
        shard = answer["Shards"][0]
        self.assertEqual((4, VOTERS[0], list(VOTERS)), (shard["Epoch"], shard["Owner"], shard["Voters"]))
        self.assertEqual([0, 10, 0], [replica["Lag"] for replica in shard["Replicas"]])
        self.assertEqual({"chat": {"Ready": 1, "Draining": 0, "Gone": 0}}, answer["Backends"])
        code, said = self.printed(answer)
        self.assertEqual(0, code)
        for part in ("store-1,store-2,store-3", "0,10,0", "gateway-4", "nothing to look at"):
            self.assertIn(part, said)

    def test_given_the_word_json_then_the_answer_is_printed_whole(self):
        answer = self.status()
        code, said = self.printed(answer, "--json")
        self.assertEqual((0, answer), (code, json.loads(said)))

    def test_given_an_unresponsive_owner_then_it_is_remarked_with_how_long(self):
        for number in (2, 3):
            self.table.record_heartbeat(
                Heartbeat(member(number), 2, 0, False, heartbeat(number, 5000).shards), NOW + 9
            )
        said = self.printed(self.status(NOW + 9))[1]
        self.assertIn("budget-0: no live owner", said)
        self.assertIn("store on store-1: silent for 9.0 s", said)

    def test_given_a_later_epoch_then_its_owner_and_its_commands_count(self):
        later = ShardReport("budget-0", VOTERS[2], 5, VOTERS[2], VOTERS, 7000, 7000)
        self.table.record_heartbeat(Heartbeat(member(3), 2, 0, False, (later,)), NOW)
        shard = self.status()["Shards"][0]
        self.assertEqual((5, VOTERS[2], 7000), (shard["Epoch"], shard["Owner"], shard["CommitIndex"]))
        self.assertIn("voter on store-2 lags by 2010 commands", self.printed(self.status())[1])

    def test_given_a_move_and_an_emptied_node_then_both_are_remarked(self):
        moved = (*VOTERS[:2], "10.0.0.9:70#d")
        self.placements = (ShardPlacement("budget-0", VOTERS, moved),)
        self.retiring = ("store-3",)
        said = self.printed(self.status())[1]
        self.assertIn("budget-0: moves to store-1, store-2, 10.0.0.9:70#d", said)
        self.assertIn("store-3: being emptied, still holds budget-0", said)

    def test_given_an_old_version_or_no_ready_backend_then_they_are_remarked(self):
        self.table.record_heartbeat(Heartbeat(member(4, "gateway"), 2, 6, False, ()), NOW)
        self.backends = [backend("i", BackendState.DEPARTED), backend("ii", BackendState.DRAINING)]
        said = self.printed(self.status())[1]
        self.assertIn("gateway on gateway-4: still serves by version 6", said)
        self.assertIn("service chat: no ready backend", said)

    def test_given_a_shard_that_nobody_reports_then_it_is_listed_as_placed(self):
        self.placements = (*self.placements, ShardPlacement("budget-1", VOTERS, VOTERS))
        shard = self.status()["Shards"][1]
        self.assertEqual(("budget-1", "", []), (shard["Shard"], shard["Owner"], shard["Replicas"]))
        self.assertIn("budget-1: no live owner", self.printed(self.status())[1])

    def test_given_no_process_or_another_one_then_the_command_fails_in_one_line(self):
        said = io.StringIO()
        with contextlib.redirect_stderr(said):
            self.assertEqual(1, run(["status", "127.0.0.1:9"], serve))
        self.assertIn("is it the operator's address of a control process?", said.getvalue())
        for other in ({"Node": "x"}, [], None):
            code, text = self.printed(other)
            self.assertEqual((1, 1), (code, len(text.splitlines())))
