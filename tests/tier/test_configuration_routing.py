"""Which route a request takes."""

import random

import testtools

from kestrelbend.tier.configuration.document import parse_put
from kestrelbend.tier.configuration.routing import Limits, RoutingTable
from tests.tier.test_configuration_document import body, document, route, split


def table(*routes, **fields):
    """The table of a valid document."""
    parsed = parse_put(body(document(5, Routes=list(routes), **fields)))
    return RoutingTable.from_document(parsed.version, parsed.values)


class RoutingTest(testtools.TestCase):
    """Routes by host and path."""

    def name_at(self, routes, host, path):
        found = routes.find_route(host, path)
        return found.name if found else None

    def test_given_several_prefixes_then_the_longest_that_begins_the_path_wins(self):
        routes = table(route("root", "/"), route("a", "/a/"), route("deep", "/a/b/c/"))
        expected = {
            "/": "root",
            "/a": "root",
            "/ab/": "root",
            "/a/": "a",
            "/a/b/c": "a",
            "/a/b/cd/": "a",
            "/a/b/c/": "deep",
            "/a/b/c/d/e": "deep",
            "": None,
            "*": None,
        }
        for path, name in expected.items():
            self.assertEqual(name, self.name_at(routes, "a.example", path), path)

    def test_given_a_host_with_port_or_capitals_then_it_is_the_same_host(self):
        routes = table(route("x", "/x/", Hostname="A.Example"))
        for host in ("a.example", "A.EXAMPLE", "a.example:8080", " a.example "):
            self.assertEqual("x", self.name_at(routes, host, "/x/1"))
        for host in ("", "b.example", "a.example.b", "xa.example", ":80"):
            self.assertIsNone(self.name_at(routes, host, "/x/1"))

    def test_given_tables_at_random_then_routes_are_those_of_a_plain_search(self):
        rng = random.Random(7)
        for _ in range(100):
            prefixes = {
                "/" + "".join(rng.choice(["a/", "b/", "/"]) for _ in range(rng.randrange(4))) for _ in "12345"
            }
            routes = table(*(route(prefix, prefix) for prefix in prefixes))
            for _ in range(20):
                path = "/" + "".join(rng.choice("ab//") for _ in range(rng.randrange(9)))
                expected = max(
                    (prefix for prefix in prefixes if path.startswith(prefix)), key=len, default=None
                )
                self.assertEqual(expected, self.name_at(routes, "a.example", path))

    def test_given_a_split_then_weightless_services_are_left_out_and_fractions_kept(self):
        routes = table(
            split("w", "/w/", ("blue", 90), ("green", 0)), split("f", "/f/", ("blue", 0.25), ("green", 0.75))
        )
        self.assertEqual((("blue", 90),), routes.find_route("a.example", "/w/").targets)
        self.assertEqual((("blue", 250), ("green", 750)), routes.find_route("a.example", "/f/").targets)

    def test_given_a_document_then_services_and_limits_have_defaults(self):
        engine = {"Slots": 16, "KvTokens": 500, "Stride": 8, "Models": [{"Name": "m"}]}
        services = [{"Name": "blue", "Engine": engine}, {"Name": "green", "HealthPath": "/up", "MaxConns": 7}]
        routes = table(route("x", "/x/"), Services=services, Limits={"IdleTimeoutMs": 900})
        blue, green = routes.services["blue"], routes.services["green"]
        self.assertEqual((16, 500, 8, True), (blue.slots, blue.kv_tokens, blue.stride, blue.is_model))
        self.assertEqual(("/up", 7, False), (green.health_path, green.max_conns, green.is_model))
        self.assertEqual(Limits(idle_timeout_ms=900), routes.limits)
        self.assertEqual((5, 4000), (routes.version, routes.find_route("a.example", "/x/").slo_ms))

    def test_given_no_configuration_then_there_is_no_route(self):
        self.assertIsNone(RoutingTable.empty().find_route("a.example", "/"))
