"""The HTTP API for the operator and for backends' heartbeats."""

import asyncio
import json

import testtools

from kestrelbend.tier.configuration import operator_api
from kestrelbend.tier.configuration.messages import ConfigOrder, ConfigOutcome, OrderKind, ReadReply
from kestrelbend.tier.configuration.operator_api import OperatorApi
from kestrelbend.tier.configuration.ports import ReportOutcome, RetireOutcome, RetireState
from kestrelbend.tier.configuration.rejections import ANY_CALL, REJECTIONS, Proof, is_rejection


class FakePort:
    """A control port that returns the configured outcomes and records its calls."""

    def __init__(self):
        self.calls = []
        self.outcome = ConfigOutcome(200, 7, "")
        self.reply = ReadReply(True, 7, b'{"Ver": 7}')
        self.report_outcome = ReportOutcome.ACCEPTED
        self.retire_outcome = RetireOutcome.ACCEPTED
        self.state = RetireState.RUNNING
        self.url = None
        self.status_values = {"Node": "front-1", "InTouch": True}

    def status(self):
        return self.status_values

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
    """Responses of the API to its calls."""

    def setUp(self):
        super().setUp()
        self.port = FakePort()
        self.headers = {}

    def call(self, method, path, *chunks, base=None, is_complete=True):
        """Returns (status, JSON) of one call, None if there was no response."""
        headers = [] if base is None else [(b"X-Kestrelbend-Base-Version", base)]
        scope = {"type": "http", "method": method, "path": path, "headers": headers}
        chunks = chunks or (b"",)
        events = [{"type": "http.request", "body": chunk, "more_body": True} for chunk in chunks]
        events[-1]["more_body"] = not is_complete
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

    def test_chunked_configuration_reaches_the_port_byte_for_byte(self):
        response = self.call("POST", "/api/Config.Put", b'{"Ver"', b": 7} ", base=b"5")
        self.assertEqual((200, {"Ver": 7}), response)
        self.call("POST", "/api/Config.Patch", b"{}", base=b"0")
        expected = [
            ConfigOrder(int(OrderKind.PUT), 5, b'{"Ver": 7} '),
            ConfigOrder(int(OrderKind.PATCH), 0, b"{}"),
        ]
        self.assertEqual(expected, self.port.calls)

    def test_base_version_that_is_not_an_integer_is_rejected_without_calling_the_port(self):
        for base in (None, b"", b"x", b"-1", b"1.0", b" 1", b"1" * 30, b"9" * 19, b"\xb2"):
            self.assertEqual(400, self.call("POST", "/api/Config.Put", b"{}", base=base)[0])
        self.assertEqual([], self.port.calls)

    def test_outcome_of_an_order_determines_the_response(self):
        for status, expected in ((400, 400), (412, 412), (0, 503)):
            self.port.outcome = ConfigOutcome(status, 9, "a reason")
            self.assertEqual(expected, self.call("POST", "/api/Config.Put", b"{}", base=b"1")[0])
            self.assertEqual(expected == 503, b"retry-after" in self.headers)

    def test_outcome_outside_the_rejection_table_is_not_returned_as_a_rejection(self):
        for call in ("Put", "Patch"):
            for status in range(1, 600):
                self.port.outcome = ConfigOutcome(status, 9, "a reason")
                returned = self.call("POST", f"/api/Config.{call}", b"{}", base=b"1")[0]
                allowed = status in (400, 412)
                if 400 <= status < 500:
                    self.assertEqual(status if allowed else 503, returned, status)

    def test_each_rejection_of_the_table_names_a_call_and_its_proofs(self):
        calls = {*OperatorApi(self.port)._handlers, ANY_CALL}
        for rejection in REJECTIONS:
            self.assertIn(rejection.call, calls)
            self.assertTrue(rejection.proofs and is_rejection(rejection.status), rejection)
        by_call_alone = {r.status for r in REJECTIONS if r.proofs == (Proof.CALL,)}
        self.assertEqual({400, 404, 405, 408, 413}, by_call_alone)

    def test_body_that_is_too_large_is_read_and_rejected(self):
        self.patch(operator_api, "MAX_ORDER_BYTES", 10)
        response = self.call("POST", "/api/Config.Put", b"x" * 6, b"x" * 5, b"x" * 90, base=b"1")
        self.assertEqual((413, []), (response[0], self.port.calls))

    def test_incomplete_body_has_no_effect(self):
        self.assertIsNone(self.call("POST", "/api/Config.Put", b'{"Ver":7}', base=b"1", is_complete=False))
        self.assertEqual([], self.port.calls)

    def test_get_returns_the_newest_configuration_unchanged(self):
        self.assertEqual((200, {"Ver": 7}), self.call("GET", "/api/Config.Get", b"unexpected body"))
        self.port.reply = ReadReply(False, 0, b"")
        self.assertEqual(503, self.call("GET", "/api/Config.Get")[0])
        self.port.reply = ReadReply(True, 0, b"")
        self.assertEqual(404, self.call("GET", "/api/Config.Get")[0])

    def test_heartbeat_is_forwarded_and_its_response_may_contain_a_url(self):
        self.assertEqual((200, {}), self.call("POST", "/api/Instances.Heartbeat/i-1", b'{"Seq":1}'))
        self.port.url = "http://10.0.0.1:80"
        self.assertEqual(
            (200, {"BeatUrl": self.port.url}), self.call("POST", "/api/Instances.Heartbeat/i-1", b"{}")
        )
        self.assertEqual([("i-1", {"Seq": 1}), ("i-1", {})], self.port.calls)
        for outcome, expected in ((ReportOutcome.UNAVAILABLE, 503), (ReportOutcome.MALFORMED, 400)):
            self.port.report_outcome = outcome
            self.assertEqual(expected, self.call("POST", "/api/Instances.Heartbeat/i-1", b"{}")[0])

    def test_heartbeat_that_is_not_an_object_is_rejected_without_calling_the_port(self):
        for data in (b"", b"[]", b"{", b"\xff", b"[" * 60000):
            self.assertEqual(400, self.call("POST", "/api/Instances.Heartbeat/i-1", data)[0])
        self.assertEqual(413, self.call("POST", "/api/Instances.Heartbeat/i-1", b" " * 70000)[0])
        self.assertEqual([], self.port.calls)

    def test_leave_ignores_the_body(self):
        for data in (b"", b"{}", b"anything"):
            self.assertEqual((200, {}), self.call("POST", "/api/Instances.Leave/i-1", data))
        self.assertEqual(["i-1"] * 3, self.port.calls)

    def test_responses_of_retirement_calls_follow_the_port(self):
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

    def test_status_returns_the_status_of_the_port(self):
        self.assertEqual((200, self.port.status_values), self.call("GET", "/api/Status"))
        self.assertEqual(405, self.call("POST", "/api/Status")[0])
        self.assertEqual(404, self.call("GET", "/api/Status/x")[0])

    def test_unknown_path_or_method_is_rejected_after_reading_the_body(self):
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

    def test_lifespan_startup_and_shutdown_are_confirmed(self):
        events = [{"type": "lifespan.startup"}, {"type": "lifespan.shutdown"}]
        sent = []

        async def receive():
            return events.pop(0)

        async def send(event):
            sent.append(event["type"])

        asyncio.run(OperatorApi(self.port)({"type": "lifespan"}, receive, send))
        self.assertEqual(["lifespan.startup.complete", "lifespan.shutdown.complete"], sent)
