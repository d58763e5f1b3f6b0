"""Check that the relay delivers every byte, late chunks included."""

import anyio
from berylcart_tools.experiments.delay_relay import write_chunks

LATE_S = -5.0


class Target:
    """Collect what is sent."""

    def __init__(self):
        self.received = b""

    async def send(self, data):
        """Take some bytes."""
        self.received += data


def test_chunk_that_is_already_due_is_sent_at_once():
    async def scenario():
        sender, receiver = anyio.create_memory_object_stream(2)
        async with sender:
            await sender.send((anyio.current_time() + LATE_S, b"one"))
            await sender.send((anyio.current_time(), b"two"))
        target = Target()
        await write_chunks(receiver, target)
        assert target.received == b"onetwo"

    anyio.run(scenario)
