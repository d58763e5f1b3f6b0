"""List the wheels of pinned packages for x86-64 and for arm64."""

import json
import subprocess
import sys
from collections.abc import Iterable, Sequence
from pathlib import PurePosixPath
from typing import Any

MACHINES = ("x86_64", "aarch64")
PYTHON_VERSION = "3.11"
# The oldest C library of the machines that the project installs on.
GLIBC_MINOR = 34
FIRST_GLIBC_MINOR = 5


def platform_options(machine: str) -> list[str]:
    """Return pip's options for the platforms whose wheels a machine takes.

    >>> platform_options("aarch64")[:2]
    ['--platform', 'manylinux_2_34_aarch64']
    """
    minors = range(GLIBC_MINOR, FIRST_GLIBC_MINOR - 1, -1)
    names = [f"manylinux_2_{minor}_{machine}" for minor in minors]
    names.append(f"manylinux2014_{machine}")
    return [word for name in names for word in ("--platform", name)]


def find_wheel(pin: str, machine: str) -> str | None:
    """Return the file name of a pin's wheel, None if there is none."""
    command = [
        *(sys.executable, "-m", "pip", "install", "--dry-run", "--quiet"),
        *("--ignore-installed", "--no-deps", "--only-binary=:all:"),
        *("--target", "unused", "--report", "-"),
        *("--python-version", PYTHON_VERSION),
        *platform_options(machine),
        pin,
    ]
    completed = subprocess.run(
        command, capture_output=True, text=True, check=False
    )
    if completed.returncode:
        sys.stderr.write(f"no wheel of {pin} for {machine}\n")
        return None
    return report_wheel(json.loads(completed.stdout))


def report_wheel(report: Any) -> str:
    """Return the file name of the only package in a report of pip.

    >>> download = {"url": "https://host/a/b/anyio-4.16.0-py3-none-any.whl"}
    >>> report_wheel({"install": [{"download_info": download}]})
    'anyio-4.16.0-py3-none-any.whl'
    """
    (package,) = report["install"]
    return PurePosixPath(package["download_info"]["url"]).name


def list_wheels(pins: Iterable[str]) -> Sequence[str]:
    """List the wheels of all pins for all machines."""
    found = {find_wheel(pin, each) for pin in pins for each in MACHINES}
    return sorted(name for name in found if name is not None)


if __name__ == "__main__":
    with open(sys.argv[1], encoding="utf-8") as constraints:
        wheels = list_wheels(constraints.read().split())
    sys.stdout.write("".join(f"{name}\n" for name in wheels))
