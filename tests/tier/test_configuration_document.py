"""Parsing, validation and patching of the operator's documents."""

import copy
import json

import hypothesis
import testtools
from hypothesis import strategies

# The name document_faults keeps the sources, and so the examples, of the derandomised tests.
from kestrelbend.tier.configuration.checks import find_document_errors as document_faults
from kestrelbend.tier.configuration.document import Document, Patch, apply_patch, parse_patch, parse_put
from kestrelbend.tier.configuration.document_errors import DocumentRejection

REPEATABLE = hypothesis.settings(derandomize=True, database=None, deadline=None)
SERVICES = [{"Name": "blue", "HealthPath": "/healthz", "MaxConns": 9}, {"Name": "green"}]


def route(name, prefix, **fields):
    """Returns a route to service blue."""
    values = {"Name": name, "Hostname": "a.example", "PathPrefix": prefix, "RouteType": "idempotent"}
    return {**values, "TimeoutMs": 4000, "Upstream": "blue", **fields}


def split(name, prefix, *weights, **fields):
    """Returns a route whose traffic is split between services by weight."""
    targets = [{"Upstream": service, "Weight": weight} for service, weight in weights]
    values = route(name, prefix, Split=targets)
    del values["Upstream"]
    return {**values, **fields}


def document(version=1, **fields):
    """Returns a valid configuration; `fields` replace or add sections."""
    routes = [route("one", "/one/"), split("two", "/two/", ("blue", 90), ("green", 10))]
    return {"Ver": version, "Routes": routes, "Services": SERVICES, "Limits": {}, **fields}


def body(values):
    """Returns a document as JSON bytes."""
    return json.dumps(values).encode()


def code(result):
    """Returns the code of a rejection, None for a valid document."""
    return result.code if isinstance(result, DocumentRejection) else None


class PutTest(testtools.TestCase):
    """Complete configurations (`parse_put`, `find_document_errors`)."""

    def assert_rejected(self, values, expected):
        data = values if isinstance(values, bytes) else body(values)
        self.assertEqual(expected, code(parse_put(data)))

    def test_valid_document_keeps_the_bytes_as_sent(self):
        sent = b"  " + body(document(version=7, Tenants=[{"Anything": 1}], New={"Deep": [None]})) + b"\n"
        result = parse_put(sent)
        self.assertIsInstance(result, Document)
        self.assertEqual((7, sent), (result.version, result.body))

    def test_truncated_document_is_unreadable(self):
        whole = body(document())
        for length in range(len(whole)):
            self.assert_rejected(whole[:length], "unreadable")

    def test_body_that_is_not_a_json_object_is_unreadable(self):
        for data in (b"[]", b"7", b"null", b'"text"', b"\xff{}", b'\xef\xbb\xbf{"Ver":1}', b"{}{}"):
            self.assert_rejected(data, "unreadable")

    def test_document_with_non_json_numbers_is_unreadable(self):
        for number in (b"NaN", b"Infinity", b"-Infinity", b"1e999", b"1" * 5000):
            self.assert_rejected(b'{"Ver":1,"X":' + number + b"}", "unreadable")

    def test_document_with_duplicate_keys_is_unreadable(self):
        for text in ('{"Ver":1,"Ver":2,"Routes":[],"Services":[]}', '{"X":{"a":1,"a":1}}'):
            self.assert_rejected(text.encode(), "unreadable")

    def test_excessive_nesting_is_rejected(self):
        self.assert_rejected(b'{"X":' * 100000, "unreadable")
        nested = b'{"X":' * 200 + b"1" + b"}" * 200
        self.assert_rejected(b'{"Ver":1,"Routes":[],"Services":[],"X":' + nested + b"}", "too_deep")

    def test_route_to_an_unknown_service_is_rejected(self):
        for wrong in (
            route("x", "/x/", Upstream="red"),
            split("x", "/x/", ("blue", 1), ("red", 1)),
            split("x", "/x/", ("blue", 1), ("red", 0)),
            split("x", "/x/", ("blue", 1), Upstream="red"),
        ):
            self.assert_rejected(document(Routes=[wrong]), "unknown_service")

    def test_two_routes_with_the_same_host_and_prefix_are_rejected(self):
        for host in ("a.example", "A.Example", "a.example:80"):
            routes = [route("one", "/one/"), route("x", "/one/", Hostname=host)]
            self.assert_rejected(document(Routes=routes), "same_place")

    def test_two_items_with_the_same_name_are_rejected(self):
        self.assert_rejected(document(Routes=[route("x", "/one/"), route("x", "/two/")]), "same_name")
        self.assert_rejected(document(Services=SERVICES + [{"Name": "green"}]), "same_name")
        self.assert_rejected(document(Tenants=[{"Name": "t"}, {"Name": "t"}]), "same_name")

    def test_weights_that_sum_to_zero_are_rejected(self):
        for weights in ([("blue", 0)], [("blue", 0), ("green", 0.0)], []):
            self.assert_rejected(document(Routes=[split("x", "/x/", *weights)]), "no_weight")

    def test_route_without_a_service_is_rejected(self):
        self.assert_rejected(document(Routes=[route("x", "/x/", Upstream=None)]), "no_service")

    def test_route_with_an_invalid_field_is_rejected(self):
        wrong = {
            "TimeoutMs": (0, -1, 0.0, None, "4000", True, 1e300),
            "PathPrefix": ("", "x/", "/x", None, 5, "/\ud800/"),
            "Name": ("", None, 7, []),
            "Hostname": ("", None, 7),
            "RouteType": (None, 1),
            "Upstream": (7, "", []),
            "Split": ({}, "blue", [None], [{"Upstream": "blue", "Weight": -1}], [{"Upstream": "blue"}]),
            "Retries": (-1, 1.5, "1", True),
            "Prio": (0.5, "0"),
            "SloMs": (-1, "1"),
            "Sticky": (1, "true"),
        }
        for field, values in wrong.items():
            for value in values:
                routes = [route("x", "/x/", **{field: value})]
                self.assert_rejected(document(Routes=routes), "wrong_form")

    def test_document_with_an_invalid_field_is_rejected(self):
        wrong = {
            "Ver": (0, -1, 1.0, "1", True, None, 2**63),
            "Routes": (None, {}, "x", [None], [[]]),
            "Services": (None, {}, [{"Name": 1}], [{"Name": "x", "MaxConns": 0}]),
            "Limits": ([], 1, {"IdleTimeoutMs": 0}, {"MaxHeaderBytes": "1"}, {"HeaderTimeoutMs": -5}),
        }
        for field, values in wrong.items():
            for value in values:
                self.assert_rejected(document(**{field: value}), "wrong_form")
        for field in ("Ver", "Routes", "Services"):
            values = document()
            del values[field]
            self.assert_rejected(values, "wrong_form")

    def test_reason_is_short_for_a_huge_invalid_value(self):
        for value in ("x" * 10**6, list(range(10**5)), {"k" * 10**5: 1}):
            result = parse_put(body(document(Routes=[route("x", "/x/", TimeoutMs=value)])))
            self.assertTrue(len(result.reason) < 300, len(result.reason))

    @hypothesis.settings(REPEATABLE)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_given_any_bytes_then_they_are_rejected_with_a_reason(self, data):
        for parse in (parse_put, parse_patch):
            result = parse(data)
            self.assertIsInstance(result, (DocumentRejection, Document, Patch))
        self.assertEqual((parse_put(data),), document_faults(data))

    @hypothesis.settings(REPEATABLE, max_examples=300)
    @hypothesis.given(strategies.data())
    def test_given_any_change_of_a_field_then_nothing_invalid_is_taken(self, data):
        values = copy.deepcopy(document())
        item = data.draw(strategies.sampled_from([values, *values["Routes"], *values["Services"]]))
        field = data.draw(strategies.sampled_from(sorted(item)))
        scalars = (
            strategies.none() | strategies.booleans() | strategies.floats() | strategies.text(max_size=5)
        )
        scalars = scalars | strategies.integers() | strategies.sampled_from(["blue", "/two/", "two"])
        item[field] = data.draw(scalars | strategies.lists(scalars, max_size=2))
        for name, parse in (("put", parse_put), ("patch", lambda data: apply_patch(base(), data))):
            sent = values if name == "put" else {"Ver": values.get("Ver"), "Upsert": without_version(values)}
            result = parse(body(sent))
            if name == "put":
                self.assertEqual(document_faults(body(sent))[:1], (result,) if code(result) else ())
            if not isinstance(result, DocumentRejection):
                assert_valid(self, json.loads(result.body))

    def test_all_errors_are_reported_and_the_first_is_the_rejection(self):
        routes = [
            route("one", "/one/", Upstream="red", TimeoutMs=5),
            route("one", "/one/"),
            split("three", "/three/", ("blue", 0), ("grey", 0)),
            route("four", "four", TimeoutMs="soon"),
            route("five", "/five/", Split=[{"Upstream": "blue"}]),
            {"Name": "six"},
        ]
        sent = body(document(version=0, Routes=routes, Limits={"MaxBodyBytes": -1}))
        faults = document_faults(sent)
        self.assertEqual(
            [
                "configuration: Ver: 0 is not allowed",
                "configuration: Routes: 3: PathPrefix: 'four' is not allowed",
                "configuration: Routes: 3: TimeoutMs: 'soon' is not allowed",
                "configuration: Routes: 4: Split: 0: Weight is missing",
                "configuration: Routes: 5: Hostname is missing",
                "configuration: Routes: 5: PathPrefix is missing",
                "configuration: Routes: 5: RouteType is missing",
                "configuration: Routes: 5: TimeoutMs is missing",
                "configuration: Limits: MaxBodyBytes: -1 is not allowed",
                "'Routes': two items share the name 'one'",
                "route 'one': service 'red' is unknown",
                "route 'one': another route has its host and prefix",
                "route 'three': service 'grey' is unknown",
                "route 'three': its weights add up to 0",
            ],
            [fault.reason for fault in faults],
        )
        self.assertEqual(parse_put(sent), faults[0])

    def test_sections_of_the_wrong_type_are_reported_without_an_exception(self):
        for values in ({}, {"Ver": 1, "Routes": 5, "Services": [1]}, {"Routes": [route("a", "/a/"), 7]}):
            faults = document_faults(body(values))
            self.assertEqual({"wrong_form"}, {fault.code for fault in faults})
            self.assertEqual(parse_put(body(values)), faults[0])


def base():
    """Returns the document that patches are applied to."""
    return parse_put(body(document()))


def without_version(values):
    """Returns the sections of a document without its version."""
    return {name: value for name, value in values.items() if name != "Ver"}


def assert_valid(case, values):
    """Asserts the rules of a valid configuration, implemented independently of the code under test."""
    services = [service["Name"] for service in values["Services"]]
    names = [item["Name"] for item in values["Routes"]]
    hosts_and_prefixes = [(item["Hostname"], item["PathPrefix"]) for item in values["Routes"]]
    case.assertIs(int, type(values["Ver"]))
    case.assertEqual(len(set(services)), len(services))
    case.assertEqual(len(set(names)), len(names))
    case.assertEqual(len(set(hosts_and_prefixes)), len(hosts_and_prefixes))
    for item in values["Routes"]:
        case.assertTrue(item["TimeoutMs"] > 0)
        targets = item.get("Split") or [{"Upstream": item["Upstream"], "Weight": 1}]
        case.assertTrue(sum(target["Weight"] for target in targets) > 0)
        case.assertTrue({target["Upstream"] for target in targets} <= set(services))


class PatchTest(testtools.TestCase):
    """Patches (`apply_patch`)."""

    def patched(self, **fields):
        return apply_patch(base(), body({"Ver": 2, **fields}))

    def test_patch_replaces_adds_and_removes_items_and_keeps_the_others_in_order(self):
        changed = split("one", "/one/", ("green", 1))
        result = self.patched(
            Upsert={"Routes": [route("new", "/new/"), changed]}, Remove={"Routes": ["two", "unknown"]}
        )
        self.assertEqual([changed, route("new", "/new/")], result.routes)
        self.assertEqual({**document(), "Ver": 2, "Routes": result.routes}, json.loads(result.body))
        self.assertEqual(2, result.version)

    def test_patch_does_not_modify_the_current_document(self):
        current = base()
        apply_patch(current, body({"Ver": 2, "Remove": {"Routes": ["one"]}, "Limits": {"IdleTimeoutMs": 5}}))
        self.assertEqual(json.loads(current.body), current.values)

    def test_patch_of_limits_keeps_the_other_limits(self):
        current = parse_put(body(document(Limits={"IdleTimeoutMs": 5, "MaxBodyBytes": 6})))
        for change in ({"Upsert": {"Limits": {"IdleTimeoutMs": 7}}}, {"Limits": {"IdleTimeoutMs": 7}}):
            result = apply_patch(current, body({"Ver": 2, **change}))
            self.assertEqual({"IdleTimeoutMs": 7, "MaxBodyBytes": 6}, result.limits)

    def test_patch_that_swaps_two_routes_is_checked_by_its_result(self):
        result = self.patched(Upsert={"Routes": [route("one", "/two/"), route("two", "/one/")]})
        self.assertEqual(["/two/", "/one/"], [item["PathPrefix"] for item in result.routes])

    def test_patch_with_an_invalid_result_is_rejected(self):
        cases = (
            ("unknown_service", {"Remove": {"Services": ["green"]}}),
            ("unknown_service", {"Upsert": {"Routes": [route("x", "/x/", Upstream="red")]}}),
            ("same_place", {"Upsert": {"Routes": [route("x", "/one/")]}}),
            ("same_name", {"Upsert": {"Routes": [route("x", "/x/"), route("x", "/y/")]}}),
            ("no_weight", {"Upsert": {"Routes": [split("one", "/one/", ("blue", 0))]}}),
            ("wrong_form", {"Upsert": {"Routes": [route("one", "/one/", TimeoutMs=0)]}}),
            ("wrong_form", {"Upsert": {"Routes": [{"Hostname": "a"}]}}),
            ("wrong_form", {"Upsert": {"Routes": {"one": 1}}}),
            ("wrong_form", {"Upsert": {"Limits": [{"Name": "x"}]}}),
            ("wrong_form", {"Remove": {"Ver": ["x"]}}),
            ("wrong_form", {"Remove": {"Routes": "one"}}),
            ("wrong_form", {"Upsert": []}),
            ("wrong_form", {"Ver": 0}),
        )
        for expected, fields in cases:
            self.assertEqual(expected, code(self.patched(**fields)), fields)
