"""Header names of callers and replicas on the platform, in lower case.

Names go out in lower case too, which HTTP takes for the same.
"""

from typing import Final

REQUEST_ID: Final = b'x-request-id'
DEADLINE_MS: Final = b'x-request-deadline'  # milliseconds that are left
# Signature of a replica under its response.
SIGNATURE: Final = b'x-response-stamp'
# Name of the replica that a request is meant for.
EXPECTED_REPLICA: Final = b'x-expect-instance'
REPLICA: Final = b'x-instance-id'
LOAD: Final = b'x-server-load'  # running, waiting, slots
NOT_RUN: Final = b'x-not-executed'
# Of a fan-out's answer: the signatures of the shards that are in it, and how
# many shards are not.
SHARD_SIGNATURES: Final = b'x-part-stamps'
MISSING_SHARDS: Final = b'x-missing-parts'

READY_PATH: Final = '/-/ready'
RECORD_BYTES: Final = 16  # of one record in a shard's answer
