"""The routing table."""

import random

import testtools

from kestrelbend.tier.configuration.document import parse_put
from kestrelbend.tier.configuration.routing import Limits, RoutingTable
from tests.tier.test_configuration_document import body, document, route, split


def table(*routes, **fields):
    """Returns the table of a valid document."""
    parsed = parse_put(body(document(5, Routes=list(routes), **fields)))
    return RoutingTable.from_document(parsed.version, parsed.values)


class RoutingTest(testtools.TestCase):
    """Selection of routes by host and path, and defaults of omitted fields."""

    def route_name(self, routes, host, path):
        found = routes.find_route(host, path)
        return found.name if found else None

    def test_longest_matching_prefix_is_selected(self):
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
            self.assertEqual(name, self.route_name(routes, "a.example", path), path)

    def test_host_matches_regardless_of_port_and_case(self):
        routes = table(route("x", "/x/", Hostname="A.Example"))
        for host in ("a.example", "A.EXAMPLE", "a.example:8080", " a.example "):
            self.assertEqual("x", self.route_name(routes, host, "/x/1"))
        for host in ("", "b.example", "a.example.b", "xa.example", ":80"):
            self.assertIsNone(self.route_name(routes, host, "/x/1"))

    def test_routes_of_random_tables_equal_those_of_a_linear_search(self):
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
                self.assertEqual(expected, self.route_name(routes, "a.example", path))

    def test_split_omits_services_of_weight_zero_and_scales_fractions(self):
        routes = table(
            split("w", "/w/", ("blue", 90), ("green", 0)), split("f", "/f/", ("blue", 0.25), ("green", 0.75))
        )
        self.assertEqual((("blue", 90),), routes.find_route("a.example", "/w/").targets)
        self.assertEqual((("blue", 250), ("green", 750)), routes.find_route("a.example", "/f/").targets)

    def test_omitted_fields_of_services_and_limits_have_defaults(self):
        engine = {"Slots": 16, "KvTokens": 500, "Stride": 8, "Models": [{"Name": "m"}]}
        services = [{"Name": "blue", "Engine": engine}, {"Name": "green", "HealthPath": "/up", "MaxConns": 7}]
        routes = table(route("x", "/x/"), Services=services, Limits={"IdleTimeoutMs": 900})
        blue, green = routes.services["blue"], routes.services["green"]
        self.assertEqual((16, 500, 8, True), (blue.slots, blue.kv_tokens, blue.stride, blue.is_model))
        self.assertEqual(("/up", 7, False), (green.health_path, green.max_conns, green.is_model))
        self.assertEqual(Limits(idle_timeout_ms=900), routes.limits)
        self.assertEqual((5, 4000), (routes.version, routes.find_route("a.example", "/x/").slo_ms))

    def test_empty_table_has_no_route(self):
        self.assertIsNone(RoutingTable.empty().find_route("a.example", "/"))
