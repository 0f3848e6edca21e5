"""Keys and key prefixes of the data that lacewingmill keeps in the platform's store.

All keys that VMs watch share one prefix, so that each VM needs a single watch.
"""

__all__ = [
    "AUDIT_PREFIX",
    "CLAIM_PREFIX",
    "DOCUMENT_PREFIX",
    "EPOCH_PREFIX",
    "HISTORY_PREFIX",
    "INDEX_KEY",
    "LIVE_PREFIX",
    "OWNER_PREFIX",
]

LIVE_PREFIX = "lacewingmill/live/"
INDEX_KEY = LIVE_PREFIX + "index"
OWNER_PREFIX = LIVE_PREFIX + "owner/"
EPOCH_PREFIX = "lacewingmill/epoch/"
DOCUMENT_PREFIX = "lacewingmill/documents/"
AUDIT_PREFIX = "lacewingmill/audit/"
CLAIM_PREFIX = "lacewingmill/claims/"
HISTORY_PREFIX = "lacewingmill/history/"
