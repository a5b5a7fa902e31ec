"""Proves a deploy file's list of system packages by a run with nothing else.

python3 tools/prove_packages.py deploy/system.toml
python3 tools/prove_packages.py deploy/balancer.toml

In a clean clone the build line runs with a PATH and an LD_LIBRARY_PATH made of links to what the listed
packages, and what they depend on, hold (`dpkg -L`); nothing else of the machine's programs is found.  Then
each role of a serving tier starts once and ends by SIGTERM.  A program that is missing is named by the shell
that looks for it.  Needs Debian 12 with the packages installed.

Not covered: files that are found by an absolute path, such as Python's standard library.
"""

from __future__ import annotations

import argparse
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Iterable
from pathlib import Path

ROOT = Path(__file__).parent.parent
BUILD_TIMEOUT_S = 600.0
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0
PROGRAM_FOLDERS = ("/bin/", "/sbin/")
SHARED_LIBRARY = re.compile(r"\.so(\.|$)")
MISSING_PROGRAM = re.compile(r": not found$", re.MULTILINE)  # as the shell says it, also where it goes on
STARTED = "serves at"  # in the line that a role writes once it listens


class NotProven(Exception):
    """A package, a program or a start is missing; the text says which."""


def is_installed(package: str) -> bool:
    """Whether dpkg knows the package as installed."""
    asked = ["dpkg-query", "-W", "-f=${db:Status-Status}", package]
    return subprocess.run(asked, capture_output=True, text=True, check=False).stdout == "installed"


def dependencies_of(package: str) -> list[str]:
    """The packages that it depends on, of alternatives the first that is installed."""
    asked = ["dpkg-query", "-W", "-f=${Pre-Depends}, ${Depends}", package]
    said = subprocess.run(asked, capture_output=True, text=True, check=True).stdout
    found = []
    for clause in filter(None, (part.strip() for part in said.split(","))):
        names = [alternative.split("(")[0].split(":")[0].strip() for alternative in clause.split("|")]
        found += [name for name in names if is_installed(name)][:1]
    return found


def closure_of(packages: Iterable[str]) -> list[str]:
    """The packages with all that they depend on; raises `NotProven` where one is not installed."""
    found: dict[str, None] = {}
    waiting = list(packages)
    while waiting:
        package = waiting.pop()
        if package in found:
            continue
        if not is_installed(package):
            raise NotProven(f"{package} is not installed on this machine")
        found[package] = None
        waiting += dependencies_of(package)
    return sorted(found)


def link_files(packages: Iterable[str], programs: Path, libraries: Path) -> None:
    """Links the programs and the shared libraries that the packages hold."""
    for package in packages:
        listed = subprocess.run(["dpkg", "-L", package], capture_output=True, text=True, check=True).stdout
        for name in listed.splitlines():
            path = Path(name)
            if not path.is_file():
                continue
            if any(folder in name for folder in PROGRAM_FOLDERS) and os.access(path, os.X_OK):
                link(programs / path.name, path)
            elif SHARED_LIBRARY.search(path.name) and "-packages/" not in name:
                link(libraries / path.name, path)


def link(at: Path, target: Path) -> None:
    """A link, unless an earlier package has one of that name."""
    if not at.is_symlink():
        at.symlink_to(target)


def environment_of(folder: Path, **more: str) -> dict[str, str]:
    """What processes get: the links, and none of this process's variables."""
    home = folder / "home"
    home.mkdir(exist_ok=True)
    named = {"PATH": folder / "bin", "LD_LIBRARY_PATH": folder / "lib", "HOME": home}
    return {**{name: str(path) for name, path in named.items()}, "LANG": "C.UTF-8", **more}


def run_build(line: str, clone: Path, folder: Path) -> None:
    """The build line by the shell of the links; raises `NotProven` with what it said where it fails."""
    shell = folder / "bin" / "sh"
    if not shell.exists():
        raise NotProven("no listed package holds sh")
    begun = time.monotonic()
    built = subprocess.run(
        [str(shell), "-c", line],
        cwd=clone,
        env=environment_of(folder),
        capture_output=True,
        text=True,
        timeout=BUILD_TIMEOUT_S,
        check=False,
    )
    if built.returncode or MISSING_PROGRAM.search(built.stderr):
        raise NotProven(f"the build ends with {built.returncode}:\n{built.stdout}{built.stderr}")
    print(f"built in {time.monotonic() - begun:.0f} s")


def settings_text(role: str, folder: Path) -> str:
    """Settings of one process that is alone on loopback."""
    data = folder / f"data-{role}"
    data.mkdir()
    return f"""
Node: "{role}-1"
Role: "{role}"
Ip: "127.0.0.1"
Zone: "here"
Serves: ["{role}"]
Listen: {{Front: "127.0.0.1:18149", Ready: "127.0.0.1:18141", Control: "127.0.0.1:18144"}}
PortRange: [18380, 18395]
Seeds: ["127.0.0.1:18144"]
Bootstrap: true
DataDir: "{data}"
Limits: {{DiskMb: 64}}
"""


def start_role(role: str, command: str, clone: Path, folder: Path) -> None:
    """One start and a stop by SIGTERM; raises `NotProven` where it does not come up or ends otherwise."""
    settings = folder / f"{role}.yaml"
    settings.write_text(settings_text(role, folder))
    dependencies = str(clone / "target" / "deps")
    environment = environment_of(folder, KESTRELBEND_SETTINGS=str(settings), PYTHONPATH=dependencies)
    program, *arguments = command.split()
    log = folder / f"{role}.log"
    with log.open("w") as output:
        process = subprocess.Popen(
            [str(folder / "bin" / program), *arguments], cwd=clone, env=environment, stderr=output
        )
        end = time.monotonic() + START_TIMEOUT_S
        while STARTED not in log.read_text() and process.poll() is None and time.monotonic() < end:
            time.sleep(0.1)
        process.send_signal(signal.SIGTERM)
        code = process.wait(STOP_TIMEOUT_S)
    if STARTED not in log.read_text() or code != 0:
        raise NotProven(f"{role} ends with {code}:\n{log.read_text()}")
    print(f"{role} started and ended")


def prove(deploy_file: Path) -> None:
    """The whole run; raises `NotProven`."""
    deployment = tomllib.loads(deploy_file.read_text())
    packages = closure_of(deployment["packages"])
    print(f"{len(packages)} packages with what they depend on")
    with tempfile.TemporaryDirectory(dir=ROOT.parent) as name:
        folder = Path(name)
        (folder / "bin").mkdir()
        (folder / "lib").mkdir()
        link_files(packages, folder / "bin", folder / "lib")
        clone = folder / "clone"
        subprocess.run(["git", "clone", "-q", str(ROOT), str(clone)], check=True)
        run_build(deployment["build"], clone, folder)
        for role, run in deployment.get("roles", {}).items():
            start_role(role, run["run"], clone, folder)


def main() -> int:
    """Reads the command line; 1 where the list is not proven."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("deploy_file", type=Path)
    given = parser.parse_args()
    try:
        prove(given.deploy_file)
    except NotProven as reason:
        print(f"not proven: {reason}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
