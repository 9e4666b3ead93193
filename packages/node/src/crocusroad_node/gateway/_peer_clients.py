"""HTTP clients of the other instances."""

from collections.abc import Callable

from crocusroad_core.sources import FleetMember
from crocusroad_node.gateway._store_http_client import StoreHttpClient


def make_peer_clients() -> Callable[[FleetMember], StoreHttpClient]:
    """Return a function that returns the client of an instance.

    Instances at one address share a client.
    """
    clients: dict[str, StoreHttpClient] = {}  # by address

    def get_client(member: FleetMember) -> StoreHttpClient:
        client = clients.get(member.address)
        if client is None:
            client = StoreHttpClient(member.endpoint)
            clients[member.address] = client
        return client

    return get_client
