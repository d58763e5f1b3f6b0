"""Test which upstreams receive new work."""

from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.state.vm import VmListSnapshot

from ..serving_fakes import upstream

NEAR = upstream("v1", "model", "hall-1")
FAR = upstream("v2", "model", "hall-2")
ONLY_NEAR = upstream("v3", "index", "hall-1")
PAGE = VmListSnapshot(1, (NEAR, FAR, ONLY_NEAR))


def test_excluded_places_receive_no_work_until_included_again():
    directory = VmDirectory(None)
    directory.exclude(frozenset({"hall-1"}))
    directory.apply(PAGE)
    assert directory.pool("model") == (FAR,)
    assert directory.pool("index") == ()
    assert directory.is_evacuated("index")
    assert not directory.is_evacuated("model")
    assert not directory.is_evacuated("other")
    assert directory.count_by_place() == {"hall-1": 2, "hall-2": 1}
    directory.exclude(frozenset())
    assert directory.pool("model") == (NEAR, FAR)
    assert not directory.is_evacuated("index")


def test_leaving_upstream_gets_no_work_after_its_place_is_included_again():
    directory = VmDirectory(None)
    directory.apply(PAGE)
    directory.exclude(frozenset({"hall-1"}))
    directory.mark_leaving("v3", 1)
    assert not directory.is_evacuated("index")
    directory.exclude(frozenset())
    assert directory.pool("index") == ()
