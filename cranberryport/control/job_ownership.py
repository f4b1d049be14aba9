"""Decides which organisations reach a job, and whose cancellations cancel it.

Load pattern: several organisations use the same queues, and one of them knows or
guesses the id of another one's job. A job without an organisation is open to all.
"""

import hashlib
import logging

from cranberryport.generated import messages

CANCEL_KEY_PREFIX = "c/"
# State in the reply to a question about a submission whose id belongs to a job of
# another organisation.
FOREIGN = "foreign"
# Bytes of the digest of an organisation's name in the key of a cancellation. A key has
# at most 255 bytes, so that not every name fits into it.
NAME_DIGEST_BYTES = 8

_logger = logging.getLogger(__name__)


def is_foreign(job, organisation):
    """Return whether a job belongs to another organisation.

    Parameters
    ----------
    job : cranberryport.scheduling.model.Job or None
        The job; None if the id is not known.
    organisation : str
        Organisation of the request; empty for none, as on a public route. Such a
        request does not reach a job that has an organisation.
    """
    return job is not None and job.organisation not in ("", organisation)


def answer_submission(jobs, question):
    """Return the state in the reply about a submission: ``FOREIGN`` or empty.

    Parameters
    ----------
    jobs : dict of str to model.Job
        Jobs by id.
    question : messages.AdmissionQuestion or messages.JobQuestion
        The question.
    """
    job = jobs.get(question.job)
    return FOREIGN if is_foreign(job, question.organisation) else ""


def log_foreign_record(job, organisation):
    """Log that a stored job is ignored if its id belongs to another organisation.

    It can be stored while no controller answers. The job that was read first is kept.

    Parameters
    ----------
    job : model.Job
        The known job.
    organisation : str
        Organisation of the record with the same id.
    """
    if is_foreign(job, organisation):
        _logger.warning(
            "job with the id of another organisation's job ignored",
            extra={
                "request": job.id,
                "organisation": organisation,
                "owner": job.organisation,
            },
        )


def make_cancellation(*, job_id, at_unix_s, organisation, is_public):
    """Return key and message of a cancellation to be stored.

    Parameters
    ----------
    job_id : str
        Id of the job.
    at_unix_s : float
        Unix time in seconds.
    organisation : str
        Organisation of the request; empty for none.
    is_public : bool
        Whether the request came by a public route of a deployment with organisations.

    Returns
    -------
    tuple of (str, messages.CancelStored)
        The store keeps the newest record of a key. Each organisation has a key of its
        own for each job, so that it cannot replace the cancellation of another one.
    """
    key = CANCEL_KEY_PREFIX + job_id
    if organisation or is_public:
        name_digest = hashlib.blake2b(
            organisation.encode("utf-8", "surrogatepass"), digest_size=NAME_DIGEST_BYTES
        )
        key += "/" + name_digest.hexdigest()
    message = messages.CancelStored(
        job=job_id, at=at_unix_s, organisation=organisation, is_public=is_public
    )
    return key, message


class Cancellations:
    """Stored cancellations of jobs, also of jobs that have not been read yet."""

    __slots__ = ("_by_job",)

    def __init__(self):
        self._by_job = {}

    def add(self, key, record):
        """Add a stored cancellation.

        Parameters
        ----------
        key : str
            Key of the record.
        record : messages.CancelStored
            The record.
        """
        self._by_job.setdefault(record.job, {})[key] = record

    def cancel(self, job):
        """Return whether a job is cancelled; foreign cancellations are logged.

        Parameters
        ----------
        job : model.Job or None
            The job; None if it is not known yet.
        """
        if job is None:
            return False
        found = self._by_job.get(job.id, {}).values()
        if any(_is_valid(record, job) for record in found):
            return True
        for record in found:
            _logger.warning(
                "cancellation ignored",
                extra={
                    "request": job.id,
                    "organisation": record.organisation,
                    "owner": job.organisation,
                },
            )
        return False

    def keys(self, job_id):
        """Return the keys of the cancellations of a job."""
        return list(self._by_job.get(job_id, ()))

    def find_orphans(self, jobs, before_unix_s):
        """Return the ids of unknown jobs whose cancellations are all older than a time.

        Parameters
        ----------
        jobs : dict of str to model.Job
            Known jobs by id.
        before_unix_s : float
            Unix time in seconds.
        """
        return [
            job_id
            for job_id, found in self._by_job.items()
            if job_id not in jobs and all(r.at < before_unix_s for r in found.values())
        ]

    def discard(self, job_id):
        """Remove the cancellations of a job."""
        self._by_job.pop(job_id, None)


def _is_valid(record, job):
    # Earlier versions, and deployments without organisations, store neither an
    # organisation nor that the route is public. These cancellations stay valid.
    if not record.organisation and not record.is_public:
        return True
    return not is_foreign(job, record.organisation)
