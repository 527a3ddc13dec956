"""Max-min fair division of the calls that the downstream services bear, in whole calls."""

from collections.abc import Sequence
from typing import Protocol

from .settings import MILLICALLS_PER_CALL

__all__ = ["MemberDemand", "max_min_fair", "round_down_to_calls", "round_to_calls"]

# A member is allocated this much more than it uses, so that its next peak finds some free.
_HEADROOM = 1.25
# A share stays as it is until so much is owed to the member or by it.
_ROUNDING_HYSTERESIS_MILLICALLS = 1500
_NEGLIGIBLE_MILLICALLS = 1e-6


class MemberDemand(Protocol):
    """What rounding keeps of a member from one allocation to the next.

    Attributes:
        target: Millicalls that it was allocated last.
        rounding_carry: Millicalls that are owed to it; below 0, by it.
    """

    target: int
    rounding_carry: float


def round_down_to_calls(share: int) -> int:
    """Returns the largest number of whole calls in `share`; under one call, `share` itself."""
    return share if share < MILLICALLS_PER_CALL else share - share % MILLICALLS_PER_CALL


def max_min_fair(total: int, demands: Sequence[int], weights: Sequence[int]) -> list[float]:
    """Divides `total` max-min fair by weight.

    Nobody has less than it demands while another has more by weight. What nobody demands is spread
    by weight on top.

    Args:
        total: Millicalls to divide.
        demands: Millicalls that each could use.
        weights: Of each against the others, at least 0.

    Returns:
        The share of each; their sum is `total`.
    """
    shares = [0.0] * len(demands)
    rest = float(total)
    unfilled = [at for at, weight in enumerate(weights) if weight > 0]
    sum_of_weights = sum(weights)
    while unfilled and rest > _NEGLIGIBLE_MILLICALLS:
        per_weight = rest / sum(weights[at] for at in unfilled)
        filled = [at for at in unfilled if _HEADROOM * demands[at] <= weights[at] * per_weight]
        if not filled:
            for at in unfilled:
                shares[at] = weights[at] * per_weight
            return shares
        for at in filled:
            shares[at] = _HEADROOM * demands[at]
            rest -= shares[at]
        just_filled = set(filled)
        unfilled = [at for at in unfilled if at not in just_filled]
    if not sum_of_weights:
        return shares
    return [
        share + rest * weight / sum_of_weights
        for share, weight in zip(shares, weights, strict=True)
    ]


def round_to_calls(
    total: int, ideal: Sequence[float], members: Sequence[MemberDemand]
) -> list[int]:
    """Rounds shares of one call or more to whole calls, by error diffusion.

    Over some allocations each member has its exact share. A member keeps what it has until the
    hysteresis is passed: each change costs the time in which one has given a call back and the
    other has not yet taken it.

    Args:
        total: Millicalls; the most that the rounded shares sum to.
        ideal: The exact share of each.
        members: Their last targets; their carries are brought up to date.

    Returns:
        The share of each, in millicalls.
    """
    owed = [0.0] * len(members)
    rounded = [0] * len(members)
    floors = [int(share // MILLICALLS_PER_CALL) * MILLICALLS_PER_CALL for share in ideal]
    large = [at for at, floor in enumerate(floors) if floor]
    for at, (share, member) in enumerate(zip(ideal, members, strict=True)):
        if not floors[at]:
            member.rounding_carry = 0.0
            rounded[at] = int(share)
            continue
        owed[at] = share + member.rounding_carry
        stays = (
            member.target in (floors[at], floors[at] + MILLICALLS_PER_CALL)
            and abs(owed[at] - member.target) < _ROUNDING_HYSTERESIS_MILLICALLS
        )
        rounded[at] = member.target if stays else floors[at]
    _settle_sum(total, rounded, owed, floors, large)
    most = 2.0 * _ROUNDING_HYSTERESIS_MILLICALLS
    for at in large:
        members[at].rounding_carry = max(-most, min(most, owed[at] - rounded[at]))
    return rounded


def _settle_sum(
    total: int, rounded: list[int], owed: list[float], floors: list[int], large: list[int]
) -> None:
    """Gives out or takes back whole calls until the sum fits; none is ever a call off its ideal."""
    rest = total - sum(rounded)
    for at in sorted(large, key=lambda at: rounded[at] - owed[at]):
        if rest >= MILLICALLS_PER_CALL and rounded[at] == floors[at]:
            rounded[at] += MILLICALLS_PER_CALL
            rest -= MILLICALLS_PER_CALL
    for at in sorted(large, key=lambda at: owed[at] - rounded[at]):
        if rest < 0 and rounded[at] > floors[at]:
            rounded[at] -= MILLICALLS_PER_CALL
            rest += MILLICALLS_PER_CALL
