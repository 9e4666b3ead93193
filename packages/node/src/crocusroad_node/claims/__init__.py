"""Storage of action claims in the KV."""

from crocusroad_node.claims._claim_store import ClaimStore, claim_key

__all__ = ['ClaimStore', 'claim_key']
