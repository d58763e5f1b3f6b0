"""Check which orders of a queue yield to others."""

from berylcart.coordination.gateway.on_time import orders_to_deprioritize

from .test_piece_queue import NOW_S, waiting

RATE = 50.0


def deprioritized(*entries, rate=RATE):
    return {
        name for name, _ in orders_to_deprioritize(entries, rate, NOW_S, NOW_S)
    }


def make(name, pieces, wait_s, **fields):
    [entry] = waiting(name, pieces, due_s=NOW_S + wait_s, **fields)
    return entry


def test_a_queue_that_is_made_in_time_has_no_order_that_yields():
    queue = [make(f"r{number}", 10, 0.2 * number) for number in range(8)]
    assert not deprioritized(*queue)


def test_one_large_order_yields_to_several_small_ones():
    small = [make(f"r{number}", 5, 0.1 * number + 0.3) for number in range(5)]
    assert deprioritized(make("large", 40, 0.1), *small) == {"large"}


def test_a_small_order_yields_where_none_larger_is_planned():
    begun = make("begun", 40, 0.1)._replace(is_begun=True)
    assert deprioritized(begun, make("small", 2, 0.5)) == {"small"}


def test_an_urgent_order_yields_to_none_of_a_lower_rank():
    urgent = make("urgent", 40, 0.1, rank=0)
    assert deprioritized(urgent, make("plain", 2, 0.5, rank=2)) == {"plain"}


def test_a_late_order_takes_no_time_from_those_in_time():
    assert not deprioritized(make("late", 40, -0.1), make("fresh", 5, 0.0))
