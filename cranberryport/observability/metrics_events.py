"""Events that report what metrics count."""

from circuits import Event


class request_finished(Event):
    """A caller's request has ended; fired on channel ``metrics``.

    Parameters
    ----------
    request : CallerRequest
    outcome : Answered, NotRun or Unknown
    attempts : int
        Number of attempts made at backend servers.
    server : str or None
        Backend server of the last attempt; None if there was no attempt.
    """
