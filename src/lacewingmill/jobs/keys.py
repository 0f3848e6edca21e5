"""The keys of the store that belong to jobs."""

__all__ = [
    "CANCEL_PREFIX",
    "INBOX_PREFIX",
    "JOB_PREFIX",
    "OWNER_KEY",
    "PROGRESS_PREFIX",
    "TERM_KEY",
    "VM_PREFIX",
    "WORKERS_KEY",
    "cancel_key",
    "job_key",
    "progress_key",
]

INBOX_PREFIX = "lacewingmill/in/"
JOB_PREFIX = INBOX_PREFIX + "job/"
CANCEL_PREFIX = INBOX_PREFIX + "cancel/"
PROGRESS_PREFIX = "lacewingmill/run/"
OWNER_KEY = "lacewingmill/owner"
TERM_KEY = "lacewingmill/term"
VM_PREFIX = "lacewingmill/vm/"
WORKERS_KEY = "lacewingmill/workers"


def job_key(job_id: str) -> str:
    """Return the key of a submission; written once by the VM that accepts it."""
    return JOB_PREFIX + job_id


def cancel_key(job_id: str) -> str:
    """Return the key of a cancellation that did not reach the owner."""
    return CANCEL_PREFIX + job_id


def progress_key(job_id: str) -> str:
    """Return the key of a job's progress; written by the owner alone."""
    return PROGRESS_PREFIX + job_id
