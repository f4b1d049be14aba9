"""Fakes of the timers, the connections and the store for tests of single components."""

import json
import types

from cranberryport.http import connection


class FakeTimers:
    """Keeps scheduled calls until a test makes them; delays are not awaited."""

    def __init__(self):
        self.calls = []

    def after(self, delay_s, callback):
        """Schedule a call."""
        call = types.SimpleNamespace(
            delay_s=delay_s, callback=callback, is_pending=True
        )
        call.cancel = lambda: setattr(call, "is_pending", False)
        self.calls.append(call)
        return call

    def run(self):
        """Make the calls that are scheduled now, but not those that they schedule."""
        calls, self.calls = self.calls, []
        for call in calls:
            if call.is_pending:
                call.is_pending = False
                call.callback()


class FakePool:
    """A connection pool that gives answers from a list.

    Parameters
    ----------
    *answers : connection.Response or connection.ExchangeFailure
        Result of each request, in order.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.sent = []

    def send(self, address, method, target, *, callback, body=b"", **keywords):
        """Record a request and answer it at once."""
        self.sent.append((method, target, body))
        callback(self.answers.pop(0))


def answer(status=200, body=b"", **fields):
    """Return an HTTP answer with the bytes given or with a JSON body of the fields."""
    data = body or json.dumps(fields).encode()
    return connection.Response(status=status, headers=[], body=data)


def no_answer(*, bytes_sent=10):
    """Return the result of a request whose connection was reset before the answer."""
    return connection.ExchangeFailure(
        reason="closed", detail="reset", bytes_sent=bytes_sent
    )


class FakeStore:
    """Records the calls of any method until a test answers them."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        """Return a method that records its calls under its name."""

        def call(*arguments, **keywords):
            recorded = types.SimpleNamespace(name=name, arguments=arguments, **keywords)
            self.calls.append(recorded)

        return call

    def pop_call(self, name):
        """Remove and return the oldest recorded call of a method."""
        for call in self.calls:
            if call.name == name:
                self.calls.remove(call)
                return call
        raise AssertionError(
            f"no call of {name!r}; recorded calls: {self.call_names()}"
        )

    def call_names(self):
        """Return the method names of the calls that have not been answered."""
        return [call.name for call in self.calls]
