"""Test that home daemons are few, evenly loaded and stable."""

from collections import Counter

from berylcart.coordination.claims.homes import choose_homes, find_home

DAEMONS = [f"d{n}" for n in range(400)]


def test_removing_a_home_moves_only_its_keys():
    homes = choose_homes(DAEMONS)
    remaining = [each for each in homes if each != homes[3]]
    for n in range(1000):
        before = find_home(f"k{n}", homes)
        if before != homes[3]:
            assert find_home(f"k{n}", remaining) == before


def test_removing_a_daemon_changes_one_home():
    homes = choose_homes(DAEMONS)
    homes_after = choose_homes([each for each in DAEMONS if each != homes[0]])
    assert len(set(homes) & set(homes_after)) == len(homes) - 1


def test_keys_are_distributed_evenly_over_homes():
    homes = choose_homes(DAEMONS)
    counts = Counter(find_home(f"k{n}", homes) for n in range(16_000))
    assert len(counts) == 16
    assert max(counts.values()) < 1200
