"""Counts refused messages by reason, with a bound on the reasons. Does no I/O."""

MAX_REASONS = 64  # distinct reasons with a counter of their own; more share "other reasons"
MAX_PENDING_REFUSALS = 32  # refusals kept until the host logs them; older ones are dropped


def count_refusal(refused: dict[str, int], reason: str) -> str:
    """Counts a refusal and returns the reason under which it was counted.

    Once `MAX_REASONS` reasons have a counter, a new reason is counted as "other reasons".
    """
    if reason not in refused and len(refused) >= MAX_REASONS:
        reason = "other reasons"
    refused[reason] = refused.get(reason, 0) + 1
    return reason
