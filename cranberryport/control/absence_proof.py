"""Proves to an entry instance that a job it asks about does not exist.

A job that is not known may have been accepted a moment ago by another entry instance.
Only reads of all partitions that were sent after the question came first show that
there is no record of it; the asker repeats the question until then.
"""

from cranberryport import boot_clock

# All partitions are read at most once in this time.
READ_INTERVAL_S = 0.05
# A question is not repeated for longer than its caller waits.
QUESTION_LIFETIME_S = 60.0


class AbsenceProof:
    """Remembers when each question about an unknown job came first.

    Parameters
    ----------
    readers : list of cranberryport.control.topic_reader.TopicReader
        Reader of each partition of the job topic.
    """

    __slots__ = ("_asked_at", "_readers", "_reads_sent_at")

    def __init__(self, *, readers):
        self._readers = readers
        # Time in seconds on the boot clock, by asker, number of the question and job.
        self._asked_at = {}
        self._reads_sent_at = 0.0

    def is_complete(self, asker, question):
        """Return whether the job of a question did not exist when it came first.

        Parameters
        ----------
        asker : hashable
            Whoever numbers the question, such as the link of an entry instance; others
            use the same numbers.
        question : JobQuestion
            The question, about a job that is not known.

        Returns
        -------
        bool
            False until all partitions have been read since, which is then begun.
        """
        now = boot_clock.now_s()
        key = (asker, question.number, question.job)
        asked_at = self._asked_at.setdefault(key, now)
        if all(reader.has_read_since(asked_at) for reader in self._readers):
            del self._asked_at[key]
            return True
        if now - self._reads_sent_at >= READ_INTERVAL_S:
            self._reads_sent_at = now
            self._forget_old_questions(now)
            for reader in self._readers:
                reader.confirm()
        return False

    def _forget_old_questions(self, now):
        oldest = now - QUESTION_LIFETIME_S
        self._asked_at = {
            key: asked_at
            for key, asked_at in self._asked_at.items()
            if asked_at > oldest
        }
