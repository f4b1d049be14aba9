"""Creates the components through which an entry instance shares the control state.

They read and write the control stream, keep the session, follow the platform's list and
connect the peers.
"""

from cranberryport import settings
from cranberryport.fleet import instance_list, operations
from cranberryport.generated import messages
from cranberryport.http import connection
from cranberryport.peering import peers, relay
from cranberryport.stream import (
    log_client,
    log_follower,
    log_writer,
    retention_keeper,
    session_keeper,
    share_keeper,
    view,
)

# Largest contact age that is sent to peers, also sent before the first contact.
LARGEST_AGE_S = 1e9


class ControlPlane:
    """The components of the control state and the control stream.

    Parameters
    ----------
    root : circuits.BaseComponent
        Component under which the others are registered.
    timers : cranberryport.timers.Timers
        Timers of the process.
    loaded : cranberryport.generated.settings.Settings
        Validated settings.
    count_in_flight : callable
        Takes an instance's name and returns the number of requests of this process that
        may be running there.
    count_in_use : callable
        Takes a resource's name and returns the units of it that this process uses.
    failed_servers : callable
        Returns the names of the servers that this process cannot connect to.
    """

    __slots__ = (
        "_failed_servers",
        "client",
        "follower",
        "instance_list",
        "operations",
        "peers",
        "relay",
        "retention_keeper",
        "session_keeper",
        "share_keeper",
        "view",
        "writer",
    )

    def __init__(
        self, *, root, timers, loaded, count_in_flight, count_in_use, failed_servers
    ):
        self._failed_servers = failed_servers
        self.client = connection.Client(timers=timers).register(root)
        log_service = self._make_log_client(loaded)
        self.follower = log_follower.LogFollower(
            client=log_service,
            timers=timers,
            publishers=settings.load_publishers(loaded),
        ).register(root)
        self.writer = log_writer.LogWriter(client=log_service, timers=timers).register(
            root
        )
        self.peers = self._make_peers(root, timers, loaded)
        self.session_keeper = self._make_session_keeper(root, timers, loaded)
        self.peers.set_callbacks(
            sessions=self._other_session_addresses,
            own_session=lambda: self.session_keeper.session,
            make_status=self._make_peer_status,
        )
        self.relay = relay.Relay(
            follower=self.follower, peers=self.peers, timers=timers
        ).register(root)
        self.instance_list = instance_list.InstanceList(
            client=self.client,
            timers=timers,
            settings=loaded.instance_list,
            follower=self.follower,
            session_keeper=self.session_keeper,
        ).register(root)
        self.retention_keeper = retention_keeper.RetentionKeeper(
            follower=self.follower,
            session_keeper=self.session_keeper,
            timers=timers,
            retention_s=loaded.log.retention_s,
        ).register(root)
        self.share_keeper = share_keeper.ShareKeeper(
            follower=self.follower,
            session_keeper=self.session_keeper,
            timers=timers,
            count_in_use=count_in_use,
        ).register(root)
        self.operations = operations.OperationManager(
            follower=self.follower,
            session_keeper=self.session_keeper,
            instance_list=self.instance_list,
            timers=timers,
            client=self.client,
            platform=loaded.instance_list,
            count_in_flight=count_in_flight,
        ).register(root)
        self.view = view.View(
            follower=self.follower,
            session_keeper=self.session_keeper,
            instance_list=self.instance_list,
            peers=self.peers,
            usable_units=self.share_keeper.usable_units,
        )

    def _make_log_client(self, loaded):
        return log_client.LogClient(
            client=self.client,
            host=loaded.log.host,
            port=loaded.log.port,
            stream=loaded.log.stream,
            name=loaded.instance,
        )

    @staticmethod
    def _make_peers(root, timers, loaded):
        watcher = connection.Client(timers=timers, channel="peer_sockets")
        watcher.register(root)
        return peers.Peers(
            watcher=watcher,
            timers=timers,
            host=loaded.peer.host,
            port=loaded.peer.port,
            instance=loaded.instance,
        ).register(root)

    def _make_session_keeper(self, root, timers, loaded):
        identity = {
            "instance": loaded.instance,
            "data_centre": loaded.data_centre,
            "host": loaded.peer.host,
            "port": self.peers.port,
        }
        return session_keeper.SessionKeeper(
            follower=self.follower,
            writer=self.writer,
            timers=timers,
            identity=identity,
            is_peer_silent=self.peers.is_silent,
        ).register(root)

    def _other_session_addresses(self):
        sessions = self.follower.state.sessions
        own = self.session_keeper.session
        return {
            entry.session: (entry.host, entry.port)
            for entry in sessions.entries.values()
            if entry.state == "live" and entry.session != own
        }

    def _make_peer_status(self):
        return messages.PeerStatus(
            session=self.session_keeper.session,
            position=self.follower.state.position,
            contact_age_s=min(self.follower.contact_age_s, LARGEST_AGE_S),
            suspected=self.session_keeper.suspected_sessions(),
            leaving=sorted(self.instance_list.leaving),
            failed=sorted(self._failed_servers()),
        )
