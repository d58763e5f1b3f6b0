"""Weighted fair queue of workspaces, earliest deadline first in each."""

from bisect import insort
from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

Item = TypeVar("Item")

MIN_SHARE = 0.01
INTERVAL_SMOOTHING = 0.2


def allow_all(workspace: str) -> bool:
    """Allow every workspace to be dequeued."""
    return True


class QueuedItem(NamedTuple, Generic[Item]):
    """Hold one queued item; sequence breaks ties of deadlines."""

    deadline_s: float
    sequence: int
    cost: float
    item: Item


class WorkspaceBacklog(Generic[Item]):
    """Hold a workspace's queued items and its virtual finish time."""

    def __init__(self) -> None:
        self.items: list[QueuedItem[Item]] = []
        self.virtual_finish = 0.0
        self.share = 1.0
        self.last_service_s = 0.0
        self.mean_interval_s: float | None = None

    def record_service(self, now_s: float) -> None:
        """Update the mean interval between two dequeued items."""
        interval_s = now_s - self.last_service_s
        mean_s = (
            interval_s
            if self.mean_interval_s is None
            else self.mean_interval_s
        )
        self.mean_interval_s = mean_s + INTERVAL_SMOOTHING * (
            interval_s - mean_s
        )
        self.last_service_s = now_s


class FairQueue(Generic[Item]):
    """Dequeue from the workspace with the lowest virtual finish time.

    >>> queue = FairQueue()
    >>> for name in "abc":
    ...     _ = queue.push("large", 1.0, 9.0, 1.0, name)
    >>> _ = queue.push("small", 1.0, 5.0, 1.0, "x")
    >>> [queue.pop()[1] for _ in range(4)]
    ['a', 'x', 'b', 'c']
    """

    def __init__(self) -> None:
        self.workspaces: dict[str, WorkspaceBacklog[Item]] = {}
        self.virtual_time = 0.0
        self.sequence = 0
        self.queued_count = 0
        self.queued_cost = 0.0

    def __len__(self) -> int:
        """Return the number of queued items."""
        return self.queued_count

    def push(
        self,
        workspace: str,
        share: float,
        deadline_s: float,
        cost: float,
        item: Item,
        now_s: float = 0.0,
    ) -> QueuedItem[Item]:
        """Add an item; the returned entry can be passed to remove()."""
        backlog = self._find_or_create(workspace, share)
        if not backlog.items:
            backlog.last_service_s = now_s
        queued = QueuedItem(deadline_s, self.sequence, cost, item)
        self.sequence += 1
        insort(backlog.items, queued)
        self.queued_count += 1
        self.queued_cost += cost
        return queued

    def pop(
        self,
        now_s: float = 0.0,
        may_run: Callable[[str], bool] = allow_all,
    ) -> tuple[str, Item] | None:
        """Dequeue the next item among the workspaces that may run."""
        names = [
            name
            for name, backlog in self.workspaces.items()
            if backlog.items and may_run(name)
        ]
        if not names:
            return None
        name = min(
            names, key=lambda name: self.workspaces[name].virtual_finish
        )
        return name, self._dequeue(self.workspaces[name], now_s)

    def has_queued(self, workspace: str) -> bool:
        """Tell whether a workspace has queued items."""
        backlog = self.workspaces.get(workspace)
        return backlog is not None and bool(backlog.items)

    def _dequeue(self, backlog: WorkspaceBacklog[Item], now_s: float) -> Item:
        queued = backlog.items.pop(0)
        backlog.record_service(now_s)
        self._uncount(queued)
        self.virtual_time = backlog.virtual_finish
        backlog.virtual_finish += queued.cost / backlog.share
        if not self.queued_count:
            self.workspaces.clear()
        return queued.item

    def remove(self, workspace: str, queued: QueuedItem[Item]) -> None:
        """Remove an item; one that is not queued is ignored."""
        backlog = self.workspaces.get(workspace)
        if backlog is not None and queued in backlog.items:
            backlog.items.remove(queued)
            self._uncount(queued)

    def cost_ahead(self, workspace: str, share: float) -> float:
        """Estimate the cost dequeued before a new item of a workspace.

        While the workspace's own backlog drains, each other workspace is
        dequeued in proportion to its share, at most to its whole backlog.
        """
        own = self.workspaces.get(workspace)
        own_cost = backlog_cost(own) if own is not None else 0.0
        virtual_cost = own_cost / max(share, MIN_SHARE)
        ahead = own_cost
        for name, backlog in self.workspaces.items():
            if name != workspace:
                ahead += min(
                    backlog_cost(backlog), virtual_cost * backlog.share
                )
        return ahead

    def observed_wait_s(self, workspace: str) -> float:
        """Estimate the wait from the workspace's mean dequeue interval."""
        backlog = self.workspaces.get(workspace)
        if backlog is None or backlog.mean_interval_s is None:
            return 0.0
        return (len(backlog.items) + 1) * backlog.mean_interval_s

    def _find_or_create(
        self, workspace: str, share: float
    ) -> WorkspaceBacklog[Item]:
        backlog = self.workspaces.setdefault(workspace, WorkspaceBacklog())
        backlog.share = max(share, MIN_SHARE)
        if not backlog.items:
            backlog.virtual_finish = max(
                backlog.virtual_finish, self.virtual_time
            )
        return backlog

    def _uncount(self, queued: QueuedItem[Item]) -> None:
        self.queued_count -= 1
        self.queued_cost = max(0.0, self.queued_cost - queued.cost)


def backlog_cost(backlog: WorkspaceBacklog[Item]) -> float:
    """Estimate a backlog's cost as its length times its first cost."""
    if not backlog.items:
        return 0.0
    return len(backlog.items) * backlog.items[0].cost
