"""Stand in for the platform's metadata store: a log with keyed topics."""

import asyncio
import base64
import struct
from collections import defaultdict
from urllib.parse import parse_qs, urlsplit

from web import Server, response

OPERATOR_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"


class Store(Server):
    """Keep topics in memory; silent_topics get no answer while they stand.

    A call to a silent topic, also one that waits for a record when the topic
    falls silent, is never answered, and its channel returns nothing further.
    """

    def __init__(self, ip):
        super().__init__(ip)
        self.records = defaultdict(list)
        self.changed = asyncio.Condition()
        self.silent_topics = set()
        self.waiting = {}
        self.calls = 0
        self.lost_calls = 0

    async def put(self, topic, key, value):
        """Append a record; the return is the store's ack."""
        self.records[topic].append((key, value))
        async with self.changed:
            self.changed.notify_all()
        return len(self.records[topic]) - 1

    def fall_silent(self, topic):
        """Answer no call to a topic, from now and those that wait there."""
        self.silent_topics.add(topic)
        for connection, waits_on in self.waiting.items():
            if waits_on == topic:
                connection.is_silent = True
                self.lost_calls += 1

    def answer_again(self, topic):
        """Answer new calls to a topic again."""
        self.silent_topics.discard(topic)

    async def handle(self, request, connection):
        """Answer one call."""
        self.calls += 1
        url = urlsplit(request.target)
        query = {name: v[0] for name, v in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        if topic in self.silent_topics:
            connection.is_silent = True
            self.lost_calls += 1
            return None
        await asyncio.sleep(0.004)
        if url.path == "/log-append":
            return await self.append(topic, request.body)
        if url.path == "/log-read":
            self.waiting[connection] = topic
            try:
                return await self.read(topic, query)
            finally:
                del self.waiting[connection]
        if url.path == "/log-newest":
            return self.newest(topic, query)
        return response(404, {})

    async def append(self, topic, body):
        """Append the records of a call."""
        if topic in (OPERATOR_TOPIC, SERVERS_TOPIC):
            return response(403, {})
        first = len(self.records[topic])
        position = 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + size]
            position += 4 + size
            key = content[1 : 1 + content[0]].decode()
            await self.put(topic, key, content[1 + content[0] :])
        end = len(self.records[topic])
        return response(200, {"offset": first, "end": end})

    async def read(self, topic, query):
        """Answer as soon as a record is available, or after wait_ms."""
        start = int(query["from"])
        log = self.records[topic]
        try:
            async with asyncio.timeout(int(query.get("wait_ms", 0)) / 1000):
                async with self.changed:
                    await self.changed.wait_for(lambda: len(log) > start)
        except TimeoutError:
            pass
        data = struct.pack(">QQ", len(log), 0)
        for key, value in log[start:]:
            content = bytes([len(key)]) + key.encode() + value
            data += struct.pack(">I", len(content)) + content
        return response(200, data)

    def newest(self, topic, query):
        """Answer with the newest record of each key."""
        newest = {}
        for offset, (key, value) in enumerate(self.records[topic]):
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        after = query.get("after", "")
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in sorted(newest)
            if key > after
        ]
        end = len(self.records[topic])
        page = {"items": items[:500], "more": len(items) > 500, "end": end}
        return response(200, page)
