"""Test that extra sends of all daemons stay within one allowance."""

from berylcart.coordination.gateway.retry_window import RetryWindow

RATIO = 0.2
WINDOW_S = 10.0
SLACK = 54
DAEMONS = 7


class Clock:
    """A clock that a test sets."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        """Return the time."""
        return self.now_s


def make_window(clock, daemons=DAEMONS):
    return RetryWindow(RATIO, WINDOW_S, SLACK, lambda: daemons, clock)


def spend_all(window):
    spent = 0
    while window.try_take("model"):
        spent += 1
    return spent


def test_daemons_together_stay_within_the_allowance():
    clock = Clock()
    windows = [make_window(clock) for _ in range(DAEMONS)]
    for window in windows:
        window.record_request("model", 20)
    spent = sum(spend_all(window) for window in windows)
    assert spent > 0
    assert spent <= RATIO * 20 * DAEMONS + SLACK


def test_window_slides():
    clock = Clock()
    window = make_window(clock)
    first = spend_all(window)
    clock.now_s = WINDOW_S - 0.1
    assert not window.try_take("model")
    clock.now_s = WINDOW_S + 0.1
    assert spend_all(window) == first


def test_expired_requests_do_not_add_to_the_allowance():
    clock = Clock()
    window = make_window(clock)
    window.record_request("model", 100)
    earned = window.allowance("model")
    clock.now_s = WINDOW_S + 0.1
    assert window.allowance("model") < earned


def test_try_take_is_all_or_nothing():
    window = make_window(Clock())
    assert not window.try_take("model", 1000)
    assert window.try_take("model", 1)


def test_services_have_separate_budgets():
    window = make_window(Clock())
    spend_all(window)
    assert window.try_take("other")


def test_part_has_a_separate_share_of_the_same_requests():
    clock = Clock()
    window = make_window(clock)
    part = window.part(0.05)
    assert spend_all(part) == 0
    window.record_request("model", 100)
    assert spend_all(part) == 5
    assert not window.extra_sends
    clock.now_s = WINDOW_S + 1
    assert not part.may_take("model")
