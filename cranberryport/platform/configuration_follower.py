"""Applies the operator's configuration as it is read from the store.

Load pattern: the operator writes many versions in quick succession. Of the versions in
one answer of the store only the newest is applied, since the digests of 10,000 keys
take longer than the rest of the handling.
"""

import logging

from cranberryport.platform import configuration

_logger = logging.getLogger(__name__)


class ConfigurationFollower:
    """Keeps the newest version of the configuration and what proves it.

    Parameters
    ----------
    proof : cranberryport.callers.configuration_proof.ConfigurationProof
        Is told of versions and of gaps.
    on_applied : callable
        Called with each configuration that is put in force.
    """

    __slots__ = ("_configuration", "_on_applied", "_proof")

    def __init__(self, *, proof, on_applied):
        self._proof = proof
        self._on_applied = on_applied
        self._configuration = None

    @property
    def configuration(self):
        """The configuration in force, None before the first one."""
        return self._configuration

    def add_snapshot(self, items):
        """Apply the newest records of the topic, before which some may be missing.

        Parameters
        ----------
        items : list of (str, bytes)
            Newest record of each key.
        """
        previous = self._configuration
        newest, has_gap = self._read(items)
        if previous is not None and newest is None:
            self._proof.add_gap("the snapshot has no readable configuration")
        elif previous is not None and newest.version < previous.version:
            # A version between the two may have been replaced by the older one.
            self._proof.add_gap(
                f"the snapshot has version {newest.version}, older than "
                f"{previous.version}"
            )
        self._apply(newest, has_gap)

    def add_records(self, items):
        """Apply records that follow those that were passed on before.

        Parameters
        ----------
        items : list of (str, bytes)
            Keys and values in order.
        """
        self._apply(*self._read(items))

    def _read(self, items):
        """Return the newest readable version, and whether a newer one may be missed."""
        newest, has_gap = None, False
        for key, value in items:
            if key != configuration.CONFIGURATION_KEY:
                continue
            version = configuration.parse(value)
            if version is None:
                _logger.error("unreadable configuration")
                has_gap = True
            elif newest is None or version.version > newest.version:
                newest = version
                # The unreadable record was written before this version.
                has_gap = has_gap and not self._is_newer(version)
        return newest, has_gap

    def _is_newer(self, version):
        current = self._configuration
        return current is None or version.version > current.version

    def _apply(self, received, has_gap):
        if received is not None and self._is_newer(received):
            # Made now, so that no request waits for it and no key stays in clear text.
            key_count = len(received.key_table)
            self._configuration = received
            _logger.info(
                "configuration applied",
                extra={"version": received.version, "keys": key_count},
            )
            self._on_applied(received)
            self._proof.add_version(received.version)
        elif received is not None and received.version < self._configuration.version:
            _logger.warning(
                "older configuration ignored",
                extra={
                    "version": received.version,
                    "configuration": self._configuration.version,
                },
            )
        if has_gap:
            self._proof.add_gap("a record of the configuration is unreadable")
