"""Test that each pinned package installs on x86-64 and on arm64."""

from pathlib import Path

import pytest
from packaging.requirements import Requirement
from packaging.tags import Tag, compatible_tags, cpython_tags
from packaging.utils import canonicalize_name, parse_wheel_filename

ROOT = Path(__file__).parents[3]
# The oldest C library of the machines that the project installs on.
GLIBC_MINOR = 34
# No release of these has wheels for both machines; a C compiler builds them.
BUILT_FROM_SOURCE = {"hdrhistogram"}


def installable_tags(machine):
    platforms = [
        f"manylinux_2_{minor}_{machine}" for minor in range(GLIBC_MINOR + 1)
    ]
    platforms += [f"manylinux2014_{machine}", f"manylinux1_{machine}"]
    return {
        *cpython_tags((3, 11), ["cp311"], platforms),
        *compatible_tags((3, 11), "cp311", platforms),
    }


def read_pins():
    lines = (ROOT / "constraints.txt").read_text().splitlines()
    requirements = [Requirement(line) for line in lines]
    return {
        (canonicalize_name(each.name), str(each.specifier)[2:])
        for each in requirements
    }


def find_pins_without_wheel(machine, names):
    tags = installable_tags(machine)
    with_wheel = set()
    for name in names:
        project, version, _, wheel_tags = parse_wheel_filename(name)
        if tags & wheel_tags:
            with_wheel.add((project, str(version)))
    return {project for project, version in read_pins() - with_wheel}


@pytest.mark.parametrize("machine", ["x86_64", "aarch64"])
def test_each_pin_has_a_wheel(machine):
    names = (ROOT / "wheels.txt").read_text().splitlines()
    assert find_pins_without_wheel(machine, names) <= BUILT_FROM_SOURCE


def test_wheels_of_another_machine_do_not_count():
    names = ["z3_solver-4.15.4.0-py3-none-manylinux_2_34_aarch64.whl"]
    assert "z3-solver" not in find_pins_without_wheel("aarch64", names)
    assert "z3-solver" in find_pins_without_wheel("x86_64", names)


def test_wheels_for_a_newer_c_library_do_not_count():
    tag = Tag("py3", "none", "manylinux_2_35_aarch64")
    assert tag not in installable_tags("aarch64")
