"""Claims of actions, kept in the KV."""

from crocusroad_node.claims._keeper import ClaimKeeper, claim_key

__all__ = ['ClaimKeeper', 'claim_key']
