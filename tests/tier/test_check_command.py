"""`kestrelbend check` on the tier's files: process settings, operator configurations and day files."""

import contextlib
import io
import json
import pathlib
import shutil
import tempfile

import testtools

from kestrelbend.__main__ import serve
from kestrelbend.command.application import run
from tests.tier.test_configuration_document import document, route
from tests.tier.test_settings import FULL


class CheckCommandTest(testtools.TestCase):
    """Checks of one file."""

    def setUp(self):
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)

    def check(self, name, text, *arguments):
        """Writes a file, checks it, and returns (exit code, lines of output)."""
        path = self.folder / name
        path.write_text(text)
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            code = run(["check", str(path), *arguments], serve)
        return code, output.getvalue().replace(f"{self.folder}/", "").splitlines()

    def test_faults_of_a_day_file_need_a_kind_and_a_time(self):
        valid_day = 'name = "cut"\nseed = 7\nfaults = [{ at = 1.5, kind = "core_cut", for_s = 20 }]\n'
        self.assertEqual((0, ["day.toml: a usable day file"]), self.check("day.toml", valid_day))
        for invalid_fault in ("kind = 3", "at = -1", 'kind = ""', "at = 1"):
            code, lines = self.check(
                "day.toml", f'name = "cut"\nseed = 7\nfaults = [{{ {invalid_fault} }}]\n'
            )
            self.assertEqual((2, True), (code, lines[0].startswith("day.toml: ")), lines)
        self.assertEqual(2, self.check("day.toml", 'name = "cut"\nseed = "x"\nfaults = []\n')[0])
        self.assertEqual(2, self.check("day.toml", "faults = [", "--kind", "day")[0])

    def test_kind_of_a_valid_file_is_detected_and_printed(self):
        self.assertEqual((0, ["boot.yaml: a usable boot file"]), self.check("boot.yaml", FULL))
        text = json.dumps(document())
        self.assertEqual((0, ["c.json: a usable document file"]), self.check("c.json", text))
        self.assertEqual(0, self.check("settings", FULL, "--kind", "boot")[0])
        self.assertEqual(0, self.check("configuration", text, "--kind=document")[0])

    def test_figure_that_the_named_zones_cannot_keep_is_told(self):
        code, lines = self.check("boot.yaml", FULL + "\nTolerate: {Nodes: 1, Zones: 1, Regions: 0}\n")
        told = "boot.yaml: Tolerate.Zones: 1 cannot be kept: 3 zones are needed, the settings name 1"
        self.assertEqual((0, ["boot.yaml: a usable boot file", told]), (code, lines))

    def test_all_errors_of_a_settings_file_are_printed(self):
        code, lines = self.check("boot.yml", "Ip: here\nPortRange: [9, 1]\nBounds: {AckMs: no}\n")
        self.assertEqual(2, code)
        keys = {line.split(": ")[1] for line in lines}
        self.assertEqual({"Node", "Ip", "Zone", "PortRange", "Bounds.AckMs"}, keys)

    def test_all_errors_of_a_configuration_are_printed_with_the_file_name(self):
        routes = [route("a", "/a/", Upstream="red"), route("b", "b", TimeoutMs=0)]
        code, lines = self.check("c.json", json.dumps(document(Routes=routes)))
        self.assertEqual((2, 3), (code, len(lines)))
        self.assertTrue(all(line.startswith("c.json: ") for line in lines))

    def test_file_that_is_not_json_or_yaml_prints_one_line(self):
        for name, text in (("c.json", '{"Routes": ['), ("boot.yaml", "a: [")):
            code, lines = self.check(name, text)
            self.assertEqual((2, 1), (code, len(lines)))
