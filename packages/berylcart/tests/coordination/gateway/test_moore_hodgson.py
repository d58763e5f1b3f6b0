"""Test which orders of a queue are deprioritized."""

from berylcart.coordination.gateway.moore_hodgson import orders_to_deprioritize

from .test_batch_selection import NOW_S, waiting

RATE = 50.0


def deprioritized(*entries, rate=RATE):
    return {
        name for name, _ in orders_to_deprioritize(entries, rate, NOW_S, NOW_S)
    }


def make_entry(name, pieces, wait_s, **fields):
    [entry] = waiting(name, pieces, due_s=NOW_S + wait_s, **fields)
    return entry


def test_no_order_is_deprioritized_if_all_can_be_on_time():
    queue = [make_entry(f"r{number}", 10, 0.2 * number) for number in range(8)]
    assert not deprioritized(*queue)


def test_one_large_order_is_deprioritized_for_several_small_ones():
    small = [
        make_entry(f"r{number}", 5, 0.1 * number + 0.3) for number in range(5)
    ]
    assert deprioritized(make_entry("large", 40, 0.1), *small) == {"large"}


def test_small_order_is_deprioritized_if_no_larger_one_is_scheduled():
    started = make_entry("begun", 40, 0.1)._replace(is_begun=True)
    assert deprioritized(started, make_entry("small", 2, 0.5)) == {"small"}


def test_urgent_order_is_not_deprioritized_for_a_less_urgent_one():
    urgent = make_entry("urgent", 40, 0.1, rank=0)
    assert deprioritized(urgent, make_entry("plain", 2, 0.5, rank=2)) == {
        "plain"
    }


def test_late_order_does_not_delay_the_schedule():
    assert not deprioritized(
        make_entry("late", 40, -0.1), make_entry("fresh", 5, 0.0)
    )
