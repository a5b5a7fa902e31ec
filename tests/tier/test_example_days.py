"""The days under examples/days read as the deployment tests take them, and their page names each of them."""

import tomllib
from pathlib import Path

import pytest

DAYS = Path(__file__).parents[2] / "examples" / "days"
DAY_FILES = sorted(DAYS.glob("*.toml"))
FINAL_FAULTS = {"power_off_all", "wipe_after_ack", "kill_all"}


def day_of(path: Path) -> dict:
    return tomllib.loads(path.read_text())


@pytest.mark.parametrize("path", DAY_FILES, ids=lambda path: path.stem)
class TestExampleDays:
    def test_a_day_bears_the_name_of_its_file_and_a_seed(self, path):
        day = day_of(path)

        assert day["name"] == path.stem
        assert isinstance(day["seed"], int)

    def test_every_entry_says_what_happens_and_when(self, path):
        day = day_of(path)

        entries = day.get("plan", []) + day["faults"]

        assert day["faults"]
        assert all(entry["kind"] and entry["at"] >= 0 for entry in entries)

    def test_a_final_fault_is_of_a_known_kind(self, path):
        closing = day_of(path).get("closing")

        assert closing is None or closing["kind"] in FINAL_FAULTS

    def test_no_entry_names_a_service_or_zone_of_one_deployment(self, path):
        day = day_of(path)

        entries = day.get("plan", []) + day["faults"]

        assert all(not {"service", "zone", "to_zone", "region", "class"} & entry.keys() for entry in entries)

    def test_the_page_names_the_day(self, path):
        assert f"`{path.name}`" in (DAYS / "README.md").read_text()


def test_every_point_has_its_days():
    points = {
        "cut": "a control machine cut off",
        "orders": "orders at once",
        "losses": "a second loss",
        "changes": "many changes",
        "answers": "answers lost or doubled",
    }

    for prefix, point in points.items():
        assert any(path.stem.startswith(prefix) for path in DAY_FILES), point
