"""Headers, store keys and decoders of the platform, for the gateway."""

from typing import Final

from crocusroad_node.gateway import HeaderNames, PlatformProtocol
from crocusroad_platform import _headers
from crocusroad_platform._registrations import (
    REPLICAS_PREFIX,
    decode_registration,
)
from crocusroad_platform._route_config import CONFIG_KEY, decode_config

# Store keys under which this project's own instances register.
INSTANCES_PREFIX: Final = 'crocusroad/instances/'
# Store keys under which they keep reports of crashed replicas.
CRASHES_PREFIX: Final = 'crocusroad/crashes/'

PLATFORM_PROTOCOL: Final = PlatformProtocol(
    headers=HeaderNames(
        request_id=_headers.REQUEST_ID,
        deadline=_headers.DEADLINE_MS,
        signature=_headers.SIGNATURE,
        expected_replica=_headers.EXPECTED_REPLICA,
        load=_headers.LOAD,
        not_run=_headers.NOT_RUN,
        leaving=_headers.LEAVING,
        shard_signatures=_headers.SHARD_SIGNATURES,
        missing_shards=_headers.MISSING_SHARDS,
    ),
    ready_path=_headers.READY_PATH,
    record_bytes=_headers.RECORD_BYTES,
    config_key=CONFIG_KEY,
    replicas_prefix=REPLICAS_PREFIX,
    instances_prefix=INSTANCES_PREFIX,
    crashes_prefix=CRASHES_PREFIX,
    decode_config=decode_config,
    decode_registration=decode_registration,
)
