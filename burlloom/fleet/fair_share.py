"""Max-min fair division of the downstream call capacity, rounded to whole calls."""

from collections.abc import Sequence
from typing import Protocol

from .settings import MILLICALLS_PER_CALL

__all__ = ["MemberDemand", "max_min_fair", "round_down_to_calls", "round_to_calls"]

# Factor on the demand of a member, so that its next peak finds free calls.
_HEADROOM = 1.25
# A rounded share changes only once the exact share plus carry differs from it by this much.
_ROUNDING_HYSTERESIS_MILLICALLS = 1500
# A remainder up to this size ends the division; it is left over by floating-point rounding.
_NEGLIGIBLE_MILLICALLS = 1e-6


class MemberDemand(Protocol):
    """State of a member that rounding carries from one allocation to the next.

    Attributes:
        target: Millicalls assigned to the member by the last allocation.
        rounding_carry: Millicalls that rounding still owes to the member; negative if the member
            received too much.
    """

    target: int
    rounding_carry: float


def round_down_to_calls(share: int) -> int:
    """Returns `share`, in millicalls, rounded down to whole calls if it is at least one call."""
    return share if share < MILLICALLS_PER_CALL else share - share % MILLICALLS_PER_CALL


def max_min_fair(total: int, demands: Sequence[int], weights: Sequence[int]) -> list[float]:
    """Divides `total` by weighted max-min fairness.

    No member gets less than its demand while another member gets more per weight. Capacity beyond
    all demands is distributed by weight on top.

    Args:
        total: Millicalls to divide.
        demands: Millicalls that each member could use.
        weights: Relative weight of each member, at least 0.

    Returns:
        The share of each member in millicalls. The shares sum to `total` unless all weights are 0.
    """
    shares = [0.0] * len(demands)
    remaining = float(total)
    unfilled = [index for index, weight in enumerate(weights) if weight > 0]
    sum_of_weights = sum(weights)
    while unfilled and remaining > _NEGLIGIBLE_MILLICALLS:
        per_weight = remaining / sum(weights[index] for index in unfilled)
        filled = [
            index for index in unfilled if _HEADROOM * demands[index] <= weights[index] * per_weight
        ]
        if not filled:
            for index in unfilled:
                shares[index] = weights[index] * per_weight
            return shares
        for index in filled:
            shares[index] = _HEADROOM * demands[index]
            remaining -= shares[index]
        just_filled = set(filled)
        unfilled = [index for index in unfilled if index not in just_filled]
    if not sum_of_weights:
        return shares
    return [
        share + remaining * weight / sum_of_weights
        for share, weight in zip(shares, weights, strict=True)
    ]


def round_to_calls(
    total: int, exact_shares: Sequence[float], members: Sequence[MemberDemand]
) -> list[int]:
    """Rounds shares of one call or more to whole calls, by error diffusion.

    On average over several allocations each member gets its exact share. A member keeps its target
    until the error exceeds the hysteresis, because each change leaves a call unused between the
    moment at which one member returns it and the moment at which another member receives it.

    Args:
        total: Maximum sum of the rounded shares, in millicalls.
        exact_shares: The exact share of each member, in millicalls.
        members: Last targets and carries of the members; the carries are updated.

    Returns:
        The rounded share of each member, in millicalls.
    """
    owed = [0.0] * len(members)
    rounded = [0] * len(members)
    floor_shares = [
        int(share // MILLICALLS_PER_CALL) * MILLICALLS_PER_CALL for share in exact_shares
    ]
    whole_call_indexes = [index for index, floor_share in enumerate(floor_shares) if floor_share]
    for index, (share, member) in enumerate(zip(exact_shares, members, strict=True)):
        if not floor_shares[index]:
            member.rounding_carry = 0.0
            rounded[index] = int(share)
            continue
        owed[index] = share + member.rounding_carry
        keeps_target = (
            member.target in (floor_shares[index], floor_shares[index] + MILLICALLS_PER_CALL)
            and abs(owed[index] - member.target) < _ROUNDING_HYSTERESIS_MILLICALLS
        )
        rounded[index] = member.target if keeps_target else floor_shares[index]
    _adjust_to_total(total, rounded, owed, floor_shares, whole_call_indexes)
    max_carry = 2.0 * _ROUNDING_HYSTERESIS_MILLICALLS
    for index in whole_call_indexes:
        members[index].rounding_carry = max(
            -max_carry, min(max_carry, owed[index] - rounded[index])
        )
    return rounded


def _adjust_to_total(
    total: int,
    rounded: list[int],
    owed: list[float],
    floor_shares: list[int],
    whole_call_indexes: list[int],
) -> None:
    """Adds or removes whole calls until the rounded shares fit `total`.

    Each share in `whole_call_indexes` stays at its floor or one call above, so its distance from
    the exact share stays below one call.
    """
    remaining = total - sum(rounded)
    for index in sorted(whole_call_indexes, key=lambda index: rounded[index] - owed[index]):
        if remaining >= MILLICALLS_PER_CALL and rounded[index] == floor_shares[index]:
            rounded[index] += MILLICALLS_PER_CALL
            remaining -= MILLICALLS_PER_CALL
    for index in sorted(whole_call_indexes, key=lambda index: owed[index] - rounded[index]):
        if remaining < 0 and rounded[index] > floor_shares[index]:
            rounded[index] -= MILLICALLS_PER_CALL
            remaining += MILLICALLS_PER_CALL
