"""The metrics of an instance.

There is a counter for each problem kind of a refusal and for each reason of a
lost attempt. docs/operators.md lists the names and how to react to each.
"""

from prometheus_client import REGISTRY, Counter, Gauge, Histogram

REQUESTS = Counter(
    'crocusroad_requests',
    'Requests of callers by front, kind and outcome.',
    ['front', 'kind', 'outcome'],
)
REFUSALS = Counter(
    'crocusroad_refusals',
    'Refused requests by problem kind.',
    ['reason'],
)
ATTEMPTS = Counter(
    'crocusroad_attempts',
    'Sub-requests sent, by what they were.',
    ['role'],
)
ATTEMPTS_LOST = Counter(
    'crocusroad_attempts_lost',
    'Sub-requests that brought no answer, by reason.',
    ['reason'],
)
JOB_FAILURES = Counter(
    'crocusroad_job_failures',
    'Background jobs that ended by an exception and were started again.',
    ['job'],
)
DELEGATED_FAN_OUTS = Counter(
    'crocusroad_delegated',
    'Fan-outs given to a faster instance, by what came of them.',
    ['outcome'],
)
OFFERED_FAN_OUTS = Counter(
    'crocusroad_delegations',
    'Fan-outs that other instances offered, by whether they were accepted.',
    ['outcome'],
)
ATTEMPT_FAULTS = Counter(
    'crocusroad_attempt_faults',
    'Sub-requests that ended by an unexpected exception, by its type.',
    ['exception'],
)
QUERY_OUTCOMES = Counter(
    'crocusroad_query_outcomes',
    'Fan-out queries by how they ended.',
    ['outcome'],
)
EXTRA_REFUSED = Counter(
    'crocusroad_extra_refused',
    'Hedges, retries and replacements that the budget refused.',
)
LATE_ANSWERS = Counter(
    'crocusroad_answers_late',
    'Answers that came after their sub-request was given up.',
)
CONNECTION_EVENTS = Counter(
    'crocusroad_links',
    'What happened to connections to replicas, by event.',
    ['event'],
)
MISSING_SHARDS = Counter(
    'crocusroad_shards_missing',
    'Shards that an answer did not cover, by reason.',
    ['reason'],
)
REQUEST_SECONDS = Histogram(
    'crocusroad_request_seconds',
    'Time from receipt to answer.',
    ['kind'],
    buckets=(
        0.005, 0.01, 0.02, 0.04, 0.08, 0.12, 0.16, 0.2, 0.25, 0.29,
        0.4, 0.6, 1, 2, 5,
    ),
)  # fmt: skip
REQUESTS_IN_FLIGHT = Gauge(
    'crocusroad_requests_in_flight',
    'Requests of callers in progress.',
)
REPEATS = Counter(
    'crocusroad_repeats',
    'Sub-requests sent to a service after another one of the same request.',
    ['service', 'role', 'charge'],
)
REPEAT_DECISIONS = Counter(
    'crocusroad_repeat_decisions',
    'Repeats that the budget of a service was asked for.',
    ['service', 'role', 'decision'],
)
RETRY_TOKENS = Gauge(
    'crocusroad_retry_tokens',
    "Tokens left in this instance's share of a service's retry budget.",
    ['service'],
)
CONNECTIONS_CLOSED = Counter(
    'crocusroad_connections_closed',
    'Connections of callers and instances that were closed, by reason.',
    ['listener', 'reason', 'state'],
)
CONNECTIONS_CLOSED_UNREAD = Counter(
    'crocusroad_connections_closed_unread',
    'Connections closed by this instance although bytes had arrived.',
    ['listener', 'reason'],
)
POISON_EVENTS = Counter(
    'crocusroad_poison',
    'What was done against requests that crash upstreams.',
    ['event'],
)
REQUESTS_ADMITTED = Gauge(
    'crocusroad_requests_admitted',
    'Requests that hold a ticket.',
)
REQUESTS_LIMIT = Gauge(
    'crocusroad_requests_limit',
    'Requests that the adaptive limit lets in at once.',
)
FRONT_REVISION = Gauge(
    'crocusroad_front_revision',
    'Revision of each front in force on this node.',
    ['front'],
)
CONFIG_WRITES = Counter(
    'crocusroad_config_writes',
    "Operators' writes by outcome.",
    ['outcome'],
)
CONFIG_CHANGES = Counter(
    'crocusroad_config_changes',
    'Changes of fronts that reached this node, by what became of them.',
    ['adoption'],
)
CLAIMS = Counter(
    'crocusroad_claims',
    'Attempts to claim an action, by how they ended.',
    ['outcome'],
)
CLAIM_RECORDS = Counter(
    'crocusroad_claim_records',
    'Outcomes written over claims, by how the write ended.',
    ['outcome'],
)
ACTIONS = Counter(
    'crocusroad_actions',
    'Claimed actions, by how they ended.',
    ['outcome'],
)
STORE_REGRESSIONS = Counter(
    'crocusroad_kv_went_back',
    'Answers of the KV older than one seen before; nothing was taken.',
)

__all__ = [
    'ACTIONS',
    'ATTEMPTS',
    'ATTEMPTS_LOST',
    'ATTEMPT_FAULTS',
    'CLAIMS',
    'CLAIM_RECORDS',
    'CONFIG_CHANGES',
    'CONFIG_WRITES',
    'CONNECTIONS_CLOSED',
    'CONNECTIONS_CLOSED_UNREAD',
    'CONNECTION_EVENTS',
    'EXTRA_REFUSED',
    'FRONT_REVISION',
    'LATE_ANSWERS',
    'MISSING_SHARDS',
    'POISON_EVENTS',
    'QUERY_OUTCOMES',
    'REFUSALS',
    'REGISTRY',
    'REPEATS',
    'REPEAT_DECISIONS',
    'REQUESTS',
    'REQUESTS_ADMITTED',
    'REQUESTS_IN_FLIGHT',
    'REQUESTS_LIMIT',
    'REQUEST_SECONDS',
    'RETRY_TOKENS',
    'STORE_REGRESSIONS',
]
STORE_CALLS = Counter(
    'crocusroad_store_calls',
    'Calls that follow the store, by key prefix and outcome.',
    ['prefix', 'outcome'],
)
