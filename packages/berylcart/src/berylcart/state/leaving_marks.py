"""Bounded set of the incarnations of VMs that are leaving."""

from collections import OrderedDict
from collections.abc import Iterator
from typing import NamedTuple


class LeavingMark(NamedTuple):
    """Mark an incarnation of a VM and all earlier ones as leaving."""

    vm_id: str
    incarnation: int


class LeavingMarks:
    """Keep the highest leaving incarnation of each VM, up to a limit.

    Marks are never withdrawn. Above the limit, the least recently updated
    mark is evicted.

    >>> marks = LeavingMarks(limit=100)
    >>> marks.add(LeavingMark("vm-1", 4))
    True
    >>> marks.add(LeavingMark("vm-1", 3))
    False
    >>> marks.is_leaving("vm-1", 4), marks.is_leaving("vm-1", 5)
    (True, False)
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._marks: OrderedDict[str, int] = OrderedDict()

    def __iter__(self) -> Iterator[LeavingMark]:
        """Iterate over the marks, least recently updated first."""
        for vm_id, incarnation in self._marks.items():
            yield LeavingMark(vm_id, incarnation)

    def __len__(self) -> int:
        """Return the number of marks."""
        return len(self._marks)

    def add(self, mark: LeavingMark) -> bool:
        """Add a mark; tell whether it changed the set."""
        if self.is_leaving(mark.vm_id, mark.incarnation):
            return False
        self._marks[mark.vm_id] = mark.incarnation
        self._marks.move_to_end(mark.vm_id)
        if len(self._marks) > self._limit:
            self._marks.popitem(last=False)
        return True

    def is_leaving(self, vm_id: str, incarnation: int) -> bool:
        """Tell whether an incarnation of a VM is marked as leaving."""
        return incarnation <= self._marks.get(vm_id, -1)
