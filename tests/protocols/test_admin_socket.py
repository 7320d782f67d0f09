"""The admin socket: what ends its thread."""

import socket

from lilacwalk.protocols.admin_socket import AdminSocket, query


class FailingListener(socket.socket):
    """A listening socket whose first attempts to accept a connection fail."""

    def accept(self):
        if self.failures:
            self.failures -= 1
            raise OSError(24, "Too many open files")
        return super().accept()


# Guards against an admin socket that nobody serves after one failed accept (related to review/8).
def test_a_failed_accept_does_not_end_the_admin_socket(tmp_path):
    admin_socket = AdminSocket(str(tmp_path / "socket"), lambda text: {"asked": text.strip()}, "x")
    plain_listener = admin_socket.sock
    admin_socket.sock = FailingListener(fileno=plain_listener.detach())
    admin_socket.sock.failures = 2
    admin_socket.start()
    try:
        assert query(admin_socket.path, "state") == {"asked": "state"}
        assert admin_socket.sock.failures == 0
    finally:
        admin_socket.close()
