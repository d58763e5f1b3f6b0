"""Test the shares of workspaces and the order within a workspace."""

from collections import Counter

from berylcart.coordination.policy.fair_queue import FairQueue


def test_items_are_dequeued_in_proportion_to_shares():
    queue = FairQueue()
    for _ in range(100):
        queue.push("large", 3.0, 1.0, 10.0, "large")
        queue.push("small", 1.0, 1.0, 10.0, "small")
    dequeued = Counter(queue.pop()[1] for _ in range(80))
    assert dequeued == {"large": 60, "small": 20}


def test_items_are_dequeued_in_inverse_proportion_to_cost():
    queue = FairQueue()
    for _ in range(100):
        queue.push("costly", 1.0, 1.0, 30.0, "costly")
        queue.push("cheap", 1.0, 1.0, 10.0, "cheap")
    dequeued = Counter(queue.pop()[1] for _ in range(80))
    assert dequeued == {"cheap": 60, "costly": 20}


def test_idle_workspace_accumulates_no_credit():
    queue = FairQueue()
    for _ in range(50):
        queue.push("busy", 1.0, 1.0, 1.0, "busy")
    for _ in range(30):
        queue.pop()
    for _ in range(20):
        queue.push("late", 1.0, 1.0, 1.0, "late")
    dequeued = Counter(queue.pop()[1] for _ in range(10))
    assert dequeued == {"busy": 5, "late": 5}


def test_earliest_deadline_first_within_a_workspace():
    queue = FairQueue()
    for deadline_s in (5.0, 1.0, 3.0):
        queue.push("w", 1.0, deadline_s, 1.0, deadline_s)
    assert [queue.pop()[1] for _ in range(3)] == [1.0, 3.0, 5.0]


def test_removed_item_is_not_dequeued():
    queue = FairQueue()
    first = queue.push("w", 1.0, 1.0, 1.0, "first")
    queue.push("w", 1.0, 2.0, 1.0, "second")
    queue.remove("w", first)
    queue.remove("w", first)
    assert len(queue) == 1
    assert queue.pop() == ("w", "second")


def test_cost_ahead_counts_other_workspaces_only_up_to_their_share():
    queue = FairQueue()
    for _ in range(100):
        queue.push("flood", 1.0, 1.0, 10.0, "x")
    assert queue.cost_ahead("small", 1.0) == 0.0
    assert queue.cost_ahead("flood", 1.0) == 1000.0


def test_idle_workspaces_are_discarded():
    queue = FairQueue()
    for number in range(1000):
        queue.push(f"w{number}", 1.0, 1.0, 1.0, number)
        queue.pop()
    assert len(queue.workspaces) <= 2
