"""TCP relays in front of the daemons' peer ports, by which a test cuts the link between two daemons."""

import os
import socket
import threading

CHUNK_BYTES = 65536


def socket_inode(local_port, remote_port):
    """Inode of the socket at the dialling end of a loopback connection."""
    with open("/proc/net/tcp") as table:
        for line in list(table)[1:]:
            fields = line.split()
            if int(fields[1].split(":")[1], 16) == local_port and int(fields[2].split(":")[1], 16) == remote_port:
                return fields[9]
    return None


def owns_socket(pid, inode):
    try:
        for entry in os.scandir(f"/proc/{pid}/fd"):
            try:
                if os.readlink(entry.path) == f"socket:[{inode}]":
                    return True
            except OSError:
                continue
    except OSError:
        pass
    return False


class Link:
    """One connection from a daemon through the relay to another daemon."""

    def __init__(self, pair, client, server):
        self.pair = pair
        self.sockets = (client, server)

    def close(self):
        for end in self.sockets:
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()


class Links:
    """Every relay of a fleet. A cut link stays connected and carries nothing, as in a network partition."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.lock = threading.Lock()
        self.cut_pairs = set()
        self.links = []
        self.listeners = []

    def open(self, vm):
        listener = socket.create_server(("127.0.0.1", vm.published_port), backlog=64)
        self.listeners.append(listener)
        threading.Thread(target=self._accept, args=(listener, vm), daemon=True).start()

    def cut(self, left, right):
        with self.lock:
            self.cut_pairs.update(frozenset((a, b)) for a in left for b in right if a != b)

    def heal(self):
        """Connections from the time of the cut are closed, so that both ends connect again."""
        with self.lock:
            healed = [link for link in self.links if link.pair in self.cut_pairs]
            self.cut_pairs.clear()
        for link in healed:
            link.close()

    def close(self):
        for listener in self.listeners:
            listener.close()
        for link in list(self.links):
            link.close()

    def _accept(self, listener, vm):
        while True:
            try:
                client, address = listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client, address[1], vm), daemon=True).start()

    def _dialler(self, client_port, vm):
        inode = socket_inode(client_port, vm.published_port)
        for other in list(self.fleet.vms.values()):
            if other.process and owns_socket(other.process.pid, inode):
                return other.name
        return None

    def _serve(self, client, client_port, vm):
        pair = frozenset((self._dialler(client_port, vm), vm.name))
        try:
            server = socket.create_connection(("127.0.0.1", vm.peer_port), timeout=5)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        link = Link(pair, client, server)
        with self.lock:
            self.links.append(link)
        threading.Thread(target=self._pump, args=(link, client, server), daemon=True).start()
        self._pump(link, server, client)

    def _pump(self, link, source, sink):
        try:
            while data := source.recv(CHUNK_BYTES):
                if link.pair in self.cut_pairs:
                    continue
                sink.sendall(data)
        except OSError:
            pass
        if link.pair not in self.cut_pairs:
            link.close()
