"""Order waiting work: fair between workspaces, by deadline within one."""

from bisect import insort
from typing import Generic, NamedTuple, TypeVar

Item = TypeVar("Item")

LEAST_SHARE = 0.01


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


class FairQueue(Generic[Item]):
    """Serve the workspace that has had the least for its share.

    >>> queue = FairQueue()
    >>> for name in "abc":
    ...     _ = queue.push("large", 1.0, 9.0, 1.0, name)
    >>> _ = queue.push("small", 1.0, 5.0, 1.0, "x")
    >>> [queue.pop() for _ in range(4)]
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
    ) -> Waiting[Item]:
        """Add an item and return its handle for removal."""
        queue = self._activate(workspace, share)
        waiting = Waiting(deadline_s, self.sequence, cost, item)
        self.sequence += 1
        insort(queue.items, waiting)
        self.waiting += 1
        self.waiting_cost += cost
        return waiting

    def pop(self) -> Item:
        """Take the next item and charge its workspace."""
        name = min(
            (name for name, q in self.workspaces.items() if q.items),
            key=lambda name: self.workspaces[name].served,
        )
        queue = self.workspaces[name]
        waiting = queue.items.pop(0)
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
