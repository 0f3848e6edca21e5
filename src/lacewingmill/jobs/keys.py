"""The keys in the store for jobs, VMs and the workers in use."""

__all__ = [
    "CANCEL_PREFIX",
    "ENDS_PREFIX",
    "INBOX_PREFIX",
    "JOB_PREFIX",
    "OWNER_KEY",
    "PROGRESS_PREFIX",
    "TERM_KEY",
    "VM_PREFIX",
    "WORKERS_KEY",
    "cancel_key",
    "ends_key",
    "job_key",
    "progress_key",
]

INBOX_PREFIX = "lacewingmill/in/"
JOB_PREFIX = INBOX_PREFIX + "job/"
CANCEL_PREFIX = INBOX_PREFIX + "cancel/"
PROGRESS_PREFIX = "lacewingmill/run/"
ENDS_PREFIX = "lacewingmill/ends/"
OWNER_KEY = "lacewingmill/owner"
TERM_KEY = "lacewingmill/term"
VM_PREFIX = "lacewingmill/vm/"
WORKERS_KEY = "lacewingmill/workers"


def job_key(job_id: str) -> str:
    """Return the key of a submission, which the accepting VM writes once."""
    return JOB_PREFIX + job_id


def cancel_key(job_id: str) -> str:
    """Return the key of a cancellation, which a VM writes when the owner does not answer."""
    return CANCEL_PREFIX + job_id


def ends_key(fence: int, worker: str) -> str:
    """Return the key of the ends that a worker has listed to an owner that had left."""
    return f"{ENDS_PREFIX}{fence}/{worker}"


def progress_key(job_id: str) -> str:
    """Return the key of a job's progress, which only the owner writes."""
    return PROGRESS_PREFIX + job_id
