"""Checks that the system packages of a deploy file suffice to build the software and start its roles.

python3 tools/prove_packages.py deploy/system.toml
python3 tools/prove_packages.py deploy/balancer.toml

Runs the build command in a clean clone.  PATH and LD_LIBRARY_PATH hold only links to the files of the listed
packages and their dependencies (`dpkg -L`), so no other program of the machine is found.  Then starts each
role of a serving tier once and stops it with SIGTERM.  If a program is missing, the shell that looks for it
names it in its output.  Requires Debian 12 with the packages installed.

Not covered: files that are opened by an absolute path, such as Python's standard library.
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
MISSING_PROGRAM = re.compile(r": not found$", re.MULTILINE)  # the shell prints this even if it continues
STARTED = "serves at"  # part of the log line that a role writes once it listens


class NotProven(Exception):
    """A package or a program is missing, or the build or a role failed; the message says which."""


def is_installed(package: str) -> bool:
    """Returns whether dpkg lists the package as installed."""
    query = ["dpkg-query", "-W", "-f=${db:Status-Status}", package]
    return subprocess.run(query, capture_output=True, text=True, check=False).stdout == "installed"


def dependencies_of(package: str) -> list[str]:
    """Returns the direct dependencies of a package; of alternatives, the first that is installed."""
    query = ["dpkg-query", "-W", "-f=${Pre-Depends}, ${Depends}", package]
    declared = subprocess.run(query, capture_output=True, text=True, check=True).stdout
    found = []
    for clause in filter(None, (part.strip() for part in declared.split(","))):
        names = [alternative.split("(")[0].split(":")[0].strip() for alternative in clause.split("|")]
        found += [name for name in names if is_installed(name)][:1]
    return found


def closure_of(packages: Iterable[str]) -> list[str]:
    """Returns the packages with all their dependencies; raises `NotProven` if one is not installed."""
    found: dict[str, None] = {}
    pending = list(packages)
    while pending:
        package = pending.pop()
        if package in found:
            continue
        if not is_installed(package):
            raise NotProven(f"{package} is not installed on this machine")
        found[package] = None
        pending += dependencies_of(package)
    return sorted(found)


def link_files(packages: Iterable[str], programs: Path, libraries: Path) -> None:
    """Creates links to the programs and the shared libraries of the packages."""
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


def link(link_path: Path, target: Path) -> None:
    """Creates a link, unless an earlier package already provided a file of that name."""
    if not link_path.is_symlink():
        link_path.symlink_to(target)


def environment_of(folder: Path, **extra: str) -> dict[str, str]:
    """Returns the environment of child processes: the links, and no variables of this process."""
    home = folder / "home"
    home.mkdir(exist_ok=True)
    paths = {"PATH": folder / "bin", "LD_LIBRARY_PATH": folder / "lib", "HOME": home}
    return {**{name: str(path) for name, path in paths.items()}, "LANG": "C.UTF-8", **extra}


def run_build(line: str, clone: Path, folder: Path) -> None:
    """Runs the build command with the linked shell; raises `NotProven` with its output if it fails."""
    shell = folder / "bin" / "sh"
    if not shell.exists():
        raise NotProven("no listed package contains sh")
    started_at = time.monotonic()
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
        raise NotProven(
            f"the build failed with exit status {built.returncode}:\n{built.stdout}{built.stderr}"
        )
    print(f"build finished in {time.monotonic() - started_at:.0f} s")


def settings_text(role: str, folder: Path) -> str:
    """Returns the settings of a single process on the loopback interface."""
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
    """Starts a role and stops it with SIGTERM; raises `NotProven` if either fails."""
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
        deadline = time.monotonic() + START_TIMEOUT_S
        while STARTED not in log.read_text() and process.poll() is None and time.monotonic() < deadline:
            time.sleep(0.1)
        process.send_signal(signal.SIGTERM)
        code = process.wait(STOP_TIMEOUT_S)
    if STARTED not in log.read_text() or code != 0:
        raise NotProven(f"{role} failed with exit status {code}:\n{log.read_text()}")
    print(f"{role} started and stopped")


def prove(deploy_file: Path) -> None:
    """Checks all packages of a deploy file; raises `NotProven`."""
    deployment = tomllib.loads(deploy_file.read_text())
    packages = closure_of(deployment["packages"])
    print(f"{len(packages)} packages with their dependencies")
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
    """Runs the command; returns 1 if the list is not proven."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("deploy_file", type=Path)
    options = parser.parse_args()
    try:
        prove(options.deploy_file)
    except NotProven as error:
        print(f"not proven: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
