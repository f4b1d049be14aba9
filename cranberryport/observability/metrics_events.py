"""Events for the metrics."""

from circuits import Event


class request_finished(Event):
    """Tell how a request ended; goes to channel ``metrics``.

    Parameters
    ----------
    request : CallerRequest
    outcome : Answered, NotRun or Unknown
    attempts : int
        Attempts made at backend servers.
    server : str or None
        Backend server of the last attempt.
    """
