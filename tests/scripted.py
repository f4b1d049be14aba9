"""Scripted fakes of what stands around the components: timers, connections, store."""

import json
import types

from cranberryport.http import connection


class FakeTimers:
    """Keeps scheduled calls until a test makes them."""

    def __init__(self):
        self.calls = []

    def after(self, delay_s, callback):
        """Note a call."""
        call = types.SimpleNamespace(delay_s=delay_s, callback=callback, is_on=True)
        call.cancel = lambda: setattr(call, "is_on", False)
        self.calls.append(call)
        return call

    def run(self):
        """Make the calls that are there now."""
        calls, self.calls = self.calls, []
        for call in calls:
            if call.is_on:
                call.callback()


class FakePool:
    """Connections whose answers come from a list of a test."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.sent = []

    def send(self, address, method, target, *, callback, body=b"", **settings):
        """Note a request and answer it at once."""
        self.sent.append((method, target, body))
        callback(self.answers.pop(0))


def answer(status=200, body=b"", **fields):
    """Return an answer with a JSON body, or with the bytes given."""
    data = body or json.dumps(fields).encode()
    return connection.Response(status=status, headers=[], body=data)


def no_answer(*, bytes_sent=10):
    """Return the result of an exchange without an answer."""
    return connection.ExchangeFailure(
        reason="closed", detail="reset", bytes_sent=bytes_sent
    )


class FakeStore:
    """Keeps the calls until a test answers them."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        """Return a call that is noted under its name."""

        def call(*arguments, **settings):
            noted = types.SimpleNamespace(name=name, arguments=arguments, **settings)
            self.calls.append(noted)

        return call

    def pop_call(self, name):
        """Return and forget the oldest call of a name."""
        for call in self.calls:
            if call.name == name:
                self.calls.remove(call)
                return call
        raise AssertionError(f"no call {name!r}; there are {self.call_names()}")

    def call_names(self):
        """Return the names of the calls that wait."""
        return [call.name for call in self.calls]
