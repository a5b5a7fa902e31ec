"""The HTTP interface for the operator and for backends' heartbeats."""

import asyncio
import json

import testtools

from kestrelbend.tier.configuration import operator_api
from kestrelbend.tier.configuration.messages import ConfigOrder, ConfigOutcome, OrderKind, ReadReply
from kestrelbend.tier.configuration.operator_api import OperatorApi
from kestrelbend.tier.configuration.ports import ReportOutcome, RetireOutcome, RetireState
from kestrelbend.tier.configuration.rejections import ANY_CALL, REJECTIONS, Proof, is_rejection


class Port:
    """A control node that answers what it is told to."""

    def __init__(self):
        self.calls = []
        self.outcome = ConfigOutcome(200, 7, "")
        self.reply = ReadReply(True, 7, b'{"Ver": 7}')
        self.report_outcome = ReportOutcome.ACCEPTED
        self.retire_outcome = RetireOutcome.ACCEPTED
        self.state = RetireState.RUNNING
        self.url = None
        self.told = {"Node": "front-1", "InTouch": True}

    def status(self):
        return self.told

    async def submit_order(self, order):
        self.calls.append(order)
        return self.outcome

    async def read(self):
        return self.reply

    async def backend_heartbeat(self, identity, report):
        self.calls.append((identity, report))
        return self.report_outcome

    async def leave(self, identity):
        self.calls.append(identity)
        return self.report_outcome

    async def retire_start(self, node, deadline_s):
        self.calls.append((node, deadline_s))
        return self.retire_outcome

    async def retire_state(self, node):
        return self.state

    def heartbeat_url(self):
        return self.url


class OperatorApiTest(testtools.TestCase):
    """Calls and their answers."""

    def setUp(self):
        super().setUp()
        self.port = Port()
        self.headers = {}

    def call(self, method, path, *chunks, base=None, ends=True):
        """(status, JSON) of one call; None if there was no answer."""
        headers = [] if base is None else [(b"X-Kestrelbend-Base-Version", base)]
        scope = {"type": "http", "method": method, "path": path, "headers": headers}
        chunks = chunks or (b"",)
        events = [{"type": "http.request", "body": chunk, "more_body": True} for chunk in chunks]
        events[-1]["more_body"] = not ends
        events.append({"type": "http.disconnect"})
        sent = []

        async def receive():
            return events.pop(0)

        async def send(event):
            sent.append(event)

        asyncio.run(OperatorApi(self.port)(scope, receive, send))
        if not sent:
            return None
        self.headers = dict(sent[0]["headers"])
        self.assertEqual(str(len(sent[1]["body"])).encode(), self.headers[b"content-length"])
        self.assertEqual(b"application/json", self.headers[b"content-type"])
        return sent[0]["status"], json.loads(sent[1]["body"])

    def test_given_a_configuration_in_pieces_then_the_port_gets_its_very_bytes(self):
        answer = self.call("POST", "/api/Config.Put", b'{"Ver"', b": 7} ", base=b"5")
        self.assertEqual((200, {"Ver": 7}), answer)
        self.call("POST", "/api/Config.Patch", b"{}", base=b"0")
        expected = [
            ConfigOrder(int(OrderKind.PUT), 5, b'{"Ver": 7} '),
            ConfigOrder(int(OrderKind.PATCH), 0, b"{}"),
        ]
        self.assertEqual(expected, self.port.calls)

    def test_given_a_base_version_that_is_no_whole_number_then_the_port_is_not_asked(self):
        for base in (None, b"", b"x", b"-1", b"1.0", b" 1", b"1" * 30, b"9" * 19, b"\xb2"):
            self.assertEqual(400, self.call("POST", "/api/Config.Put", b"{}", base=base)[0])
        self.assertEqual([], self.port.calls)

    def test_given_the_outcome_of_an_order_then_it_is_the_answer(self):
        for status, expected in ((400, 400), (412, 412), (0, 503)):
            self.port.outcome = ConfigOutcome(status, 9, "a reason")
            self.assertEqual(expected, self.call("POST", "/api/Config.Put", b"{}", base=b"1")[0])
            self.assertEqual(expected == 503, b"retry-after" in self.headers)

    def test_given_any_outcome_of_an_order_then_it_is_refused_only_as_the_table_allows(self):
        for call in ("Put", "Patch"):
            for status in range(1, 600):
                self.port.outcome = ConfigOutcome(status, 9, "a reason")
                answered = self.call("POST", f"/api/Config.{call}", b"{}", base=b"1")[0]
                allowed = status in (400, 412)
                if 400 <= status < 500:
                    self.assertEqual(status if allowed else 503, answered, status)

    def test_given_the_table_of_refusals_then_each_names_a_call_and_its_proof(self):
        calls = {*OperatorApi(self.port)._handlers, ANY_CALL}
        for rejection in REJECTIONS:
            self.assertIn(rejection.call, calls)
            self.assertTrue(rejection.proofs and is_rejection(rejection.status), rejection)
        by_call_alone = {r.status for r in REJECTIONS if r.proofs == (Proof.CALL,)}
        self.assertEqual({400, 404, 405, 408, 413}, by_call_alone)

    def test_given_a_body_that_is_too_large_then_it_is_read_and_refused(self):
        self.patch(operator_api, "MAX_ORDER_BYTES", 10)
        answer = self.call("POST", "/api/Config.Put", b"x" * 6, b"x" * 5, b"x" * 90, base=b"1")
        self.assertEqual((413, []), (answer[0], self.port.calls))

    def test_given_a_body_that_breaks_off_then_nothing_is_done(self):
        self.assertIsNone(self.call("POST", "/api/Config.Put", b'{"Ver":7}', base=b"1", ends=False))
        self.assertEqual([], self.port.calls)

    def test_given_the_newest_configuration_then_it_comes_as_it_is(self):
        self.assertEqual((200, {"Ver": 7}), self.call("GET", "/api/Config.Get", b"unasked body"))
        self.port.reply = ReadReply(False, 0, b"")
        self.assertEqual(503, self.call("GET", "/api/Config.Get")[0])
        self.port.reply = ReadReply(True, 0, b"")
        self.assertEqual(404, self.call("GET", "/api/Config.Get")[0])

    def test_given_a_heartbeat_then_it_is_handed_on_and_may_name_an_address(self):
        self.assertEqual((200, {}), self.call("POST", "/api/Instances.Heartbeat/i-1", b'{"Seq":1}'))
        self.port.url = "http://10.0.0.1:80"
        self.assertEqual(
            (200, {"BeatUrl": self.port.url}), self.call("POST", "/api/Instances.Heartbeat/i-1", b"{}")
        )
        self.assertEqual([("i-1", {"Seq": 1}), ("i-1", {})], self.port.calls)
        for outcome, expected in ((ReportOutcome.UNAVAILABLE, 503), (ReportOutcome.MALFORMED, 400)):
            self.port.report_outcome = outcome
            self.assertEqual(expected, self.call("POST", "/api/Instances.Heartbeat/i-1", b"{}")[0])

    def test_given_a_heartbeat_that_is_no_object_then_the_port_is_not_asked(self):
        for data in (b"", b"[]", b"{", b"\xff", b"[" * 60000):
            self.assertEqual(400, self.call("POST", "/api/Instances.Heartbeat/i-1", data)[0])
        self.assertEqual(413, self.call("POST", "/api/Instances.Heartbeat/i-1", b" " * 70000)[0])
        self.assertEqual([], self.port.calls)

    def test_given_a_leave_then_its_body_does_not_matter(self):
        for data in (b"", b"{}", b"anything"):
            self.assertEqual((200, {}), self.call("POST", "/api/Instances.Leave/i-1", data))
        self.assertEqual(["i-1"] * 3, self.port.calls)

    def test_given_a_node_to_be_emptied_then_the_answers_are_the_ports(self):
        self.assertEqual(200, self.call("POST", "/api/Retire.Start/store-1", b'{"DeadlineS":10}')[0])
        self.assertEqual([("store-1", 10.0)], self.port.calls)
        for outcome, expected in (
            (RetireOutcome.UNKNOWN_NODE, 404),
            (RetireOutcome.TOO_FEW_LEFT, 409),
            (RetireOutcome.UNAVAILABLE, 503),
        ):
            self.port.retire_outcome = outcome
            self.assertEqual(expected, self.call("POST", "/api/Retire.Start/n", b'{"DeadlineS":0.5}')[0])
        for data in (b"", b"{}", b'{"DeadlineS":0}', b'{"DeadlineS":"1"}', b'{"DeadlineS":NaN}'):
            self.assertEqual(400, self.call("POST", "/api/Retire.Start/n", data)[0])
        self.assertEqual((200, {"State": "running"}), self.call("GET", "/api/Retire.Get/store-1"))
        for state, expected in ((RetireState.NOT_ORDERED, 404), (RetireState.UNAVAILABLE, 503)):
            self.port.state = state
            self.assertEqual(expected, self.call("GET", "/api/Retire.Get/store-1")[0])

    def test_given_the_question_of_status_then_it_is_what_the_port_tells(self):
        self.assertEqual((200, self.port.told), self.call("GET", "/api/Status"))
        self.assertEqual(405, self.call("POST", "/api/Status")[0])
        self.assertEqual(404, self.call("GET", "/api/Status/x")[0])

    def test_given_another_path_or_method_then_it_is_refused_and_its_body_read(self):
        unknown = (
            "/",
            "/api/Config.Put/x",
            "/api/Instances.Leave",
            "/api/Instances.Leave/",
            "/api/Instances.Leave/a/b",
        )
        for path in (*unknown, "/api/x", "/xapi/Config.Get", "/api/Retire.Get/" + "x" * 300):
            self.assertEqual(404, self.call("POST", path, b"x" * 10**6)[0], path)
        for method, path, allowed in (
            ("GET", "/api/Config.Put", b"POST"),
            ("HEAD", "/api/Config.Get", b"GET"),
        ):
            self.assertEqual(405, self.call(method, path)[0])
            self.assertEqual(allowed, self.headers[b"allow"])

    def test_given_the_start_and_end_of_the_server_then_both_are_confirmed(self):
        events = [{"type": "lifespan.startup"}, {"type": "lifespan.shutdown"}]
        sent = []

        async def receive():
            return events.pop(0)

        async def send(event):
            sent.append(event["type"])

        asyncio.run(OperatorApi(self.port)({"type": "lifespan"}, receive, send))
        self.assertEqual(["lifespan.startup.complete", "lifespan.shutdown.complete"], sent)
