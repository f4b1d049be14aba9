"""Tests for cranberryport.http.addresses."""

import socket
import unittest

from cranberryport.http import addresses


class ParseTest(unittest.TestCase):
    """Addresses that other programs write."""

    def test_error_quotes_the_start_of_a_long_address(self):
        """Guards against an error that fills the log."""
        for text in ("x" * 10_000, "127.0.0.1:" + "9" * 10_000):
            with (
                self.subTest(text=text[:20]),
                self.assertRaises(ValueError) as caught,
            ):
                addresses.parse(text)
            self.assertIn(
                text[-addresses.QUOTE_LIMIT_CHARACTERS :], str(caught.exception)
            )
            self.assertLess(len(str(caught.exception)), 200)


class StartConnectingTest(unittest.TestCase):
    """Connections that are started."""

    def setUp(self):
        """Make a socket."""
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.addCleanup(self.sock.close)
        self.sock.setblocking(False)

    def test_what_is_no_address_is_an_error_of_the_system(self):
        """Guards against a name that is resolved, and an error that ends a reader.

        The first port was in an entry of the list of executors.
        """
        for address in (
            ("127.0.0.1", 99999),
            ("127.0.0.1", -1),
            ("localhost", 80),
            ("127.0.0.1\0", 80),
        ):
            with self.subTest(address=address), self.assertRaises(OSError):
                addresses.start_connecting(self.sock, address)

    def test_connection_is_started(self):
        """Guards against a pending connection that is taken for a failed one."""
        with socket.create_server(("127.0.0.1", 0)) as server:
            addresses.start_connecting(self.sock, server.getsockname())
            accepted, peer = server.accept()
            accepted.close()
        self.assertEqual(peer, self.sock.getsockname())
