"""Order waiting work: fair between workspaces, by deadline within one."""

from bisect import insort
from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

Item = TypeVar("Item")

LEAST_SHARE = 0.01
PACE_SMOOTHING = 0.2


def always(workspace: str) -> bool:
    """Let every workspace run."""
    return True


class Waiting(NamedTuple, Generic[Item]):
    """Hold one waiting item."""

    deadline_s: float
    sequence: int
    cost: float
    item: Item


class WorkspaceQueue(Generic[Item]):
    """Hold a workspace's waiting items and the service it has had."""

    def __init__(self) -> None:
        self.items: list[Waiting[Item]] = []
        self.served = 0.0
        self.share = 1.0
        self.turn_s = 0.0
        self.pace_s: float | None = None

    def note_turn(self, now_s: float) -> None:
        """Learn how long one turn of this workspace takes."""
        interval_s = now_s - self.turn_s
        known_s = interval_s if self.pace_s is None else self.pace_s
        self.pace_s = known_s + PACE_SMOOTHING * (interval_s - known_s)
        self.turn_s = now_s


class FairQueue(Generic[Item]):
    """Serve the workspace that has had the least for its share.

    >>> queue = FairQueue()
    >>> for name in "abc":
    ...     _ = queue.push("large", 1.0, 9.0, 1.0, name)
    >>> _ = queue.push("small", 1.0, 5.0, 1.0, "x")
    >>> [queue.pop()[1] for _ in range(4)]
    ['a', 'x', 'b', 'c']
    """

    def __init__(self) -> None:
        self.workspaces: dict[str, WorkspaceQueue[Item]] = {}
        self.virtual = 0.0
        self.sequence = 0
        self.waiting = 0
        self.waiting_cost = 0.0

    def __len__(self) -> int:
        """Count the waiting items."""
        return self.waiting

    def push(
        self,
        workspace: str,
        share: float,
        deadline_s: float,
        cost: float,
        item: Item,
        now_s: float = 0.0,
    ) -> Waiting[Item]:
        """Add an item and return its handle for removal."""
        queue = self._activate(workspace, share)
        if not queue.items:
            queue.turn_s = now_s
        waiting = Waiting(deadline_s, self.sequence, cost, item)
        self.sequence += 1
        insort(queue.items, waiting)
        self.waiting += 1
        self.waiting_cost += cost
        return waiting

    def pop(
        self,
        now_s: float = 0.0,
        may_run: Callable[[str], bool] = always,
    ) -> tuple[str, Item] | None:
        """Take the next item of a workspace that may run, and charge it."""
        names = [
            name
            for name, queue in self.workspaces.items()
            if queue.items and may_run(name)
        ]
        if not names:
            return None
        name = min(names, key=lambda name: self.workspaces[name].served)
        return name, self._take(self.workspaces[name], now_s)

    def has_waiting(self, workspace: str) -> bool:
        """Say whether a workspace has waiting items."""
        queue = self.workspaces.get(workspace)
        return queue is not None and bool(queue.items)

    def _take(self, queue: WorkspaceQueue[Item], now_s: float) -> Item:
        waiting = queue.items.pop(0)
        queue.note_turn(now_s)
        self._removed(waiting)
        self.virtual = queue.served
        queue.served += waiting.cost / queue.share
        if not self.waiting:
            self.workspaces.clear()
        return waiting.item

    def remove(self, workspace: str, waiting: Waiting[Item]) -> None:
        """Take out one item that no longer waits."""
        queue = self.workspaces.get(workspace)
        if queue is not None and waiting in queue.items:
            queue.items.remove(waiting)
            self._removed(waiting)

    def cost_ahead(self, workspace: str, share: float) -> float:
        """Estimate the cost that is served before a new item is.

        While the workspace's own backlog drains, every other one gets its
        share too, as far as it has work.
        """
        own = self.workspaces.get(workspace)
        own_cost = queue_cost(own) if own is not None else 0.0
        rounds = own_cost / max(share, LEAST_SHARE)
        ahead = own_cost
        for name, queue in self.workspaces.items():
            if name != workspace:
                ahead += min(queue_cost(queue), rounds * queue.share)
        return ahead

    def turns_s(self, workspace: str) -> float:
        """Estimate the wait from the pace of the workspace's last turns."""
        queue = self.workspaces.get(workspace)
        if queue is None or queue.pace_s is None:
            return 0.0
        return (len(queue.items) + 1) * queue.pace_s

    def _activate(self, workspace: str, share: float) -> WorkspaceQueue[Item]:
        queue = self.workspaces.setdefault(workspace, WorkspaceQueue())
        queue.share = max(share, LEAST_SHARE)
        if not queue.items:
            queue.served = max(queue.served, self.virtual)
        return queue

    def _removed(self, waiting: Waiting[Item]) -> None:
        self.waiting -= 1
        self.waiting_cost = max(0.0, self.waiting_cost - waiting.cost)


def queue_cost(queue: WorkspaceQueue[Item]) -> float:
    """Add the cost of a workspace's waiting items."""
    if not queue.items:
        return 0.0
    return len(queue.items) * queue.items[0].cost
