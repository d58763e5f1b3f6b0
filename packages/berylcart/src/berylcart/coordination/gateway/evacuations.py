"""Know which places are evacuated, from the store and from peers.

Of two reports on a place the one of the later record wins, whoever brings it.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from berylcart import clock, events
from berylcart.state.peer_messages import EvacuationNews

MS_PER_S = 1000
# From the operators' page.
MAX_NAME_BYTES = 200
# What the peers' messages carry for an offset.
MAX_OFFSET = 2**64 - 1
# From the operators' page: long enough for a daemon that was cut off.
TELL_S = 600.0
# Longer than it is told, so that daemons don't remind one another for ever.
KEEP_S = 660.0
# Withdrawals kept, and reports in one message; a site has tens of places.
MAX_WITHDRAWN = 256
MAX_TOLD = 256
# Bounds memory at 1 MB; an evacuation is never dropped for a later one.
MAX_ACTIVE = 4096
STORE = "store"


def is_valid(news: EvacuationNews) -> bool:
    """Tell whether a report names a place and a record that can be.

    >>> [is_valid(EvacuationNews(name, True, 3))
    ...  for name in ("hall-1", "", "h" * 201, "not\ufffdutf-8")]
    [True, False, False, False]
    """
    data = news.place.encode("utf-8", "replace")
    is_text = data.decode() == news.place and "\ufffd" not in news.place
    is_name = is_text and 0 < len(data) <= MAX_NAME_BYTES
    return is_name and is_offset(news.offset)


def is_offset(offset: int) -> bool:
    """Tell whether a number can be a record's offset."""
    return 0 <= offset <= MAX_OFFSET


def is_newer(news: EvacuationNews, known: EvacuationNews) -> bool:
    """Tell whether a report replaces what is known of its place.

    A withdrawal that was found by absence has the offset before the end of
    what was read, which may be that of the request itself.

    >>> request = EvacuationNews("hall-1", True, 7)
    >>> is_newer(request, request)
    False
    >>> is_newer(EvacuationNews("hall-1", False, 7), request)
    True
    """
    if news.offset == known.offset:
        return known.is_active and not news.is_active
    return news.offset > known.offset


class Known(NamedTuple):
    """Hold the report in force on a place and when it became known."""

    news: EvacuationNews
    since_s: float

    def age_s(self, now_s: float) -> float:
        """Give the time since it became known."""
        return now_s - self.since_s


class Evacuations:
    """Hold the newest report on each place that has one.

    replicas counts those of each place that take work or would.
    """

    def __init__(
        self, replicas: Callable[[], Mapping[str, int]] = dict
    ) -> None:
        self.replicas = replicas
        self.known: dict[str, Known] = {}
        self.places: frozenset[str] = frozenset()
        # The store was read up to here.
        self.read_to = 0
        # Set where an evacuation is in force that the store did not show
        # here: only a new reading of all keys can tell which one is old.
        self.is_doubted = False
        # Called with the evacuated places, and when there is news for peers.
        self.on_change: Callable[[frozenset[str]], None] = lambda places: None
        self.on_news: Callable[[], None] = lambda: None
        # Called when a peer's report gives reason to read all keys again.
        self.on_doubt: Callable[[], None] = lambda: None

    def take(
        self, news: Iterable[EvacuationNews], end_offset: int, *, is_all: bool
    ) -> None:
        """Take what the store says up to an offset, of all keys or some."""
        reports = list(news)
        if is_all:
            self.is_doubted = False
        for each in reports:
            self.learn(each, STORE)
        if not is_offset(end_offset):
            return
        if is_all:
            listed = {each.place for each in reports if each.is_active}
            self.withdraw_missing(listed, end_offset)
        self.read_to = max(self.read_to, end_offset)

    def withdraw_missing(self, listed: set[str], end_offset: int) -> None:
        """Withdraw what a reading of all keys up to an offset lacks."""
        for place in self.places - listed:
            if self.known[place].news.offset < end_offset:
                withdrawal = EvacuationNews(place, False, end_offset - 1)
                self.learn(withdrawal, STORE)
            else:
                # Written since, or lost by a store that was rolled back.
                self.is_doubted = True

    def hear(self, sender_id: str, news: Sequence[EvacuationNews]) -> None:
        """Take what a peer knows."""
        for each in news:
            is_news = self.learn(each, sender_id)
            if is_news and each.is_active and each.offset < self.read_to:
                self.is_doubted = True
                self.on_doubt()

    def learn(self, news: EvacuationNews, source: str) -> bool:
        """Take a report unless it is invalid or old, and tell which."""
        if not is_valid(news):
            events.warning(
                "evacuation.malformed",
                place=news.place[:MAX_NAME_BYTES],
                offset=news.offset,
                source=source,
            )
            return False
        known = self.known.get(news.place)
        if known is not None and not is_newer(news, known.news):
            return False
        if news.is_active:
            is_kept = self.has_room(news)
            since_s = clock.now_s()
        else:
            # No daemon tells older ones.
            is_kept = news.age_ms < TELL_S * MS_PER_S
            since_s = clock.now_s() - news.age_ms / MS_PER_S
        if not is_kept:
            return False
        self.known[news.place] = Known(news._replace(age_ms=0), since_s)
        self.note_change(news, source)
        self.forget()
        self.on_news()
        return True

    def has_room(self, news: EvacuationNews) -> bool:
        """Tell whether one more evacuation can be held."""
        if news.place in self.places or len(self.places) < MAX_ACTIVE:
            return True
        events.error(
            "evacuation.not_kept", place=news.place, places=MAX_ACTIVE
        )
        return False

    def note_change(self, news: EvacuationNews, source: str) -> None:
        """Put a report into force and log it if it changes anything."""
        if news.is_active is (news.place in self.places):
            return
        place = frozenset([news.place])
        self.places = (
            self.places | place if news.is_active else self.places - place
        )
        self.on_change(self.places)
        replicas = self.replicas()
        left = sum(
            n for each, n in replicas.items() if each not in self.places
        )
        is_odd = news.is_active and bool(replicas)
        is_odd = is_odd and not (replicas.get(news.place) and left)
        log = events.warning if is_odd else events.info
        log(
            "evacuation.changed",
            place=news.place,
            is_active=news.is_active,
            offset=news.offset,
            source=source,
            replicas=replicas.get(news.place, 0),
            replicas_elsewhere=left,
        )

    def forget(self) -> None:
        """Forget withdrawals that are old or too many."""
        now_s = clock.now_s()
        withdrawn = [
            each for each in self.known.values() if not each.news.is_active
        ]
        withdrawn.sort(key=lambda each: each.since_s, reverse=True)
        for number, each in enumerate(withdrawn):
            if number >= MAX_WITHDRAWN or each.age_s(now_s) >= KEEP_S:
                del self.known[each.news.place]

    def news(self) -> tuple[EvacuationNews, ...]:
        """List what peers should hear, evacuations and the newest first."""
        if not self.known:
            return ()
        self.forget()
        now_s = clock.now_s()
        told = [
            each.news._replace(age_ms=int(each.age_s(now_s) * MS_PER_S))
            if not each.news.is_active
            else each.news
            for each in self.known.values()
            if each.news.is_active or each.age_s(now_s) < TELL_S
        ]
        told.sort(key=lambda each: (each.is_active, each.offset), reverse=True)
        return tuple(told[:MAX_TOLD])
