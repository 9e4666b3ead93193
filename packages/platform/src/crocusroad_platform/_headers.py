"""HTTP header names of callers and replicas on the platform.

They are in lower case, also when they are sent: HTTP header names are not
case-sensitive.
"""

from typing import Final

REQUEST_ID: Final = b'x-request-id'
DEADLINE_MS: Final = b'x-request-deadline'  # remaining time in milliseconds
# The signature with which a replica signs its response.
SIGNATURE: Final = b'x-response-stamp'
# Name of the replica that a request is meant for.
EXPECTED_REPLICA: Final = b'x-expect-instance'
REPLICA: Final = b'x-instance-id'
LOAD: Final = b'x-server-load'  # requests running, requests waiting, slots
NOT_RUN: Final = b'x-not-executed'
# `1` in every answer of a replica that leaves.
LEAVING: Final = b'server-leaving'
# In the answer of a fan-out: the signatures of the shards that it includes,
# and the number of shards that it lacks.
SHARD_SIGNATURES: Final = b'x-part-stamps'
MISSING_SHARDS: Final = b'x-missing-parts'

READY_PATH: Final = '/-/ready'
RECORD_BYTES: Final = 16  # size of one record in a shard's answer
