"""TCP relays between each gateway and the targets, by which a test cuts a gateway off from all targets."""

import asyncio
import socket
import struct
import threading

CHUNK_BYTES = 65536
BACKLOG = 128
FILLERS = 2  # connections that fill the queue of a listener without a backlog
WAYS = ("reset", "hang", "refuse-new")


def close_with_reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Relay:
    """The way of one gateway to one target."""

    def __init__(self, loop, address, target_port):
        self.loop = loop
        self.address = address
        self.target_port = target_port
        self.listener = None
        self.fillers = []
        self.connections = {}  # tasks by pair of sockets
        self.flows = asyncio.Event()
        self.flows.set()
        self.open()

    def open(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind((self.address, self.target_port))
        self.listener.listen(BACKLOG)
        self.loop.add_reader(self.listener, self._accept)

    def cut(self, way):
        self.loop.remove_reader(self.listener)
        if way == "hang":
            self.flows.clear()
            self.listener.listen(0)
            for _ in range(FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((self.address, self.target_port))
                self.fillers.append(filler)
            return
        self.listener.close()
        self.listener = None
        if way == "reset":
            for pair in list(self.connections):
                self._drop(pair)

    def mend(self):
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        if self.listener:
            self.listener.listen(BACKLOG)
            self.loop.add_reader(self.listener, self._accept)
        else:
            self.open()
        self.flows.set()

    def _accept(self):
        try:
            near, _ = self.listener.accept()
        except OSError:
            return
        near.setblocking(False)
        self.loop.create_task(self._serve(near))

    async def _serve(self, near):
        far = socket.socket()
        far.setblocking(False)
        try:
            await self.loop.sock_connect(far, ("127.0.0.1", self.target_port))
        except OSError:
            close_with_reset(near)
            far.close()
            return
        pair = (near, far)
        self.connections[pair] = [self.loop.create_task(self._pump(pair, *way)) for way in (pair, pair[::-1])]

    async def _pump(self, pair, source, sink):
        try:
            while data := await self.loop.sock_recv(source, CHUNK_BYTES):
                await self.flows.wait()
                await self.loop.sock_sendall(sink, data)
        except OSError:
            pass
        await self.flows.wait()
        self._drop(pair)

    def _drop(self, pair):
        for task in self.connections.pop(pair, []):
            if task is not asyncio.current_task():
                task.cancel()
        for end in pair:
            self.loop.remove_reader(end)
            self.loop.remove_writer(end)
            if end.fileno() >= 0:
                close_with_reset(end)


class TargetLinks:
    """The relays of all gateways, each at a loopback address of its own, with the ports of the targets."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.relays = {}  # by name of the gateway
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def open(self, name, address, target_ports):
        self._call(lambda: self.relays.__setitem__(name, [Relay(self.loop, address, port) for port in target_ports]))

    def cut(self, names, way):
        assert way in WAYS, f"cannot cut by {way}"
        self._call(lambda: [relay.cut(way) for name in names for relay in self.relays[name]])

    def mend(self, names):
        self._call(lambda: [relay.mend() for name in names for relay in self.relays[name]])

    def _call(self, action):
        async def run():
            action()
        asyncio.run_coroutine_threadsafe(run(), self.loop).result()
