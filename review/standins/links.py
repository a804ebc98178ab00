"""A link between a server's machine and a control VM, which may be cut for a while."""

from __future__ import annotations

import asyncio

from standins.record import Record


class Link:
    """Carries the bytes of TCP connections; a cut holds them up.

    Attributes:
        address: Where the server calls.
        is_through: Set while bytes pass.
    """

    def __init__(self, record: Record, ip: str, target: str) -> None:
        self.record = record
        self.ip = ip
        self.target = target
        self.address = ""
        self.is_through = asyncio.Event()
        self.is_through.set()
        self.listener: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        """Listen for connections."""
        self.listener = await asyncio.start_server(self.carry, self.ip, 0)
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"

    def cut(self) -> None:
        """Hold up all bytes from now on."""
        self.is_through.clear()
        self.record.line(f"link to {self.target}: bytes are held up")

    def join(self) -> None:
        """Deliver what is held up and what comes later."""
        self.is_through.set()
        self.record.line(f"link to {self.target}: bytes held up are delivered")

    def stop(self) -> None:
        """End the link."""
        if self.listener is not None:
            self.listener.close()
        for task in self.tasks:
            task.cancel()
        for writer in self.writers:
            writer.close()

    async def carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry one connection."""
        ip, _, port = self.target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        self.writers += [writer, far_writer]
        for task in (
            asyncio.create_task(self.pump(reader, far_writer)),
            asyncio.create_task(self.pump(far_reader, writer)),
        ):
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry one direction of a connection."""
        try:
            while data := await reader.read(65_536):
                await self.is_through.wait()
                writer.write(data)
                await writer.drain()
            await self.is_through.wait()
            writer.write_eof()
        except OSError:
            writer.close()
