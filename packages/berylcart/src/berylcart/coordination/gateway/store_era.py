"""Track the era of the platform's store, which rises when it loses records.

A store that is restored from an older copy assigns the lost offsets again, so
offsets of different eras are not comparable. Operators and replicas write the
lost records again; until they have had time to, the copy's contents alone do
not override what the daemons know.
"""

import random
from collections.abc import Callable
from math import inf

from berylcart import clock, events
from berylcart.state.tail import FIRST_ERA

# Time for the operator and the replicas to write lost records again: three
# missed check-ins of a replica, or one long poll of the operator's records.
SETTLING_S = 10.0
# Daemons that read or write the store again per second after a change of the
# era, a quarter of the smallest rate of writes that platforms permit.
DAEMONS_PER_S = 100.0
# The largest number of 18 digits; a larger one is malformed, and would make
# all answers of the store count as outdated.
MAX_ERA = 10**18 - 1


def do_nothing() -> None:
    """Do nothing; the default of the unset callback."""


class StoreEra:
    """Hold the newest era that the store's answers or the peers reported.

    daemons returns the number of daemons that use the store.
    """

    def __init__(
        self,
        daemons: Callable[[], int] = lambda: 1,
        rng: random.Random | None = None,
    ) -> None:
        self.daemons = daemons
        self.rng = rng or random.Random()
        self.current = FIRST_ERA
        self.changed_s = -inf
        # Called after the era rose, to end a long poll of the earlier era.
        self.on_change: Callable[[], None] = do_nothing

    def observe(self, era: int, source: str) -> bool:
        """Record a reported era; return False if a newer one is known."""
        if era <= self.current or era > MAX_ERA:
            return era == self.current
        events.warning(
            "store.era_changed", old=self.current, new=era, source=source
        )
        self.current = era
        self.changed_s = clock.now_s()
        self.on_change()
        return True

    def is_settling(self) -> bool:
        """Tell whether records lost by the store may not be back yet."""
        return clock.now_s() < self.changed_s + SETTLING_S

    def draw_delay_s(self) -> float:
        """Draw a delay that spreads the daemons' calls after a change."""
        if not self.is_settling():
            return 0.0
        return self.rng.uniform(0.0, self.daemons() / DAEMONS_PER_S)
