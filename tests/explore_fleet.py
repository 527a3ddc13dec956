"""Model checker for the sum of the shares that one allocator and its members hold.

It explores histories in which messages are delayed, lost, duplicated and reordered and members are
restarted. Allocator and lease holder are those of burlloom.fleet. The model itself counts the
millicalls that all members may use downstream at the same time.
"""

import copy
import random
from collections import deque
from typing import Any

from burlloom.fleet.accounts import MemberPresence, ShareReport
from burlloom.fleet.allocator import Allocator, AllocatorPhase
from burlloom.fleet.lease_holder import LeaseHolder
from burlloom.fleet.settings import MILLICALLS_PER_CALL, QuotaSettings

NOW_NS = 10**15


class ModelMember:
    """A member with its lease, its calls and its messages in flight."""

    def __init__(self, quota_settings: QuotaSettings) -> None:
        (
            self.lease_holder,
            self.incarnation,
            self.last_report_number,
            self.calls_in_progress,
            self.sent_report_count,
        ) = (
            LeaseHolder(quota_settings, NOW_NS),
            1,
            0,
            0,
            0,
        )
        self.pending_report_number = -1  # report whose grant is accepted; negative if there is none
        self.reports_in_flight: list[
            tuple[int, int, ShareReport]
        ] = []  # incarnation, report number, report
        self.grants_in_flight: list[tuple[int, int, int]] = []  # incarnation, report number, share

    def copy(self, quota_settings: QuotaSettings) -> "ModelMember":
        other = ModelMember(quota_settings)
        other.lease_holder.share, other.lease_holder.state, other.lease_holder.granted_share = (
            self.lease_holder.share,
            self.lease_holder.state,
            self.lease_holder.granted_share,
        )
        (
            other.incarnation,
            other.last_report_number,
            other.calls_in_progress,
            other.pending_report_number,
        ) = (
            self.incarnation,
            self.last_report_number,
            self.calls_in_progress,
            self.pending_report_number,
        )
        other.sent_report_count = self.sent_report_count
        other.reports_in_flight, other.grants_in_flight = (
            self.reports_in_flight[:],
            self.grants_in_flight[:],
        )
        return other

    @property
    def held(self) -> int:
        return max(self.lease_holder.share, self.calls_in_progress)

    def state_key(self) -> Any:
        return (
            self.lease_holder.share,
            self.lease_holder.state,
            self.incarnation,
            self.sent_report_count,
            self.pending_report_number - self.last_report_number,
            self.calls_in_progress,
            tuple(
                (incarnation, report_number - self.last_report_number, report)
                for incarnation, report_number, report in self.reports_in_flight
            ),
            tuple(
                (incarnation, report_number - self.last_report_number, share)
                for incarnation, report_number, share in self.grants_in_flight
            ),
        )


class ModelState:
    """State of the model: one allocator and its members."""

    def __init__(self, quota_settings: QuotaSettings, members: int) -> None:
        self.allocator = Allocator(quota_settings, NOW_NS)
        self.allocator.phase = AllocatorPhase.ALLOCATING
        self.members = [ModelMember(quota_settings) for _ in range(members)]
        self.update_members()

    def copy(self) -> "ModelState":
        other = ModelState.__new__(ModelState)
        other.allocator = copy.copy(self.allocator)
        other.allocator.accounts = {
            name: copy.copy(account) for name, account in self.allocator.accounts.items()
        }
        other.members = [member.copy(self.allocator.settings) for member in self.members]
        return other

    def update_members(self) -> None:
        self.allocator.members = {
            str(index): MemberPresence(member.incarnation, True, NOW_NS)
            for index, member in enumerate(self.members)
        }

    def state_key(self) -> Any:
        accounts = tuple(
            (
                name,
                account.incarnation,
                account.report_number - self.members[int(name)].last_report_number,
                account.report,
                account.max_held,
                account.target,
            )
            for name, account in sorted(self.allocator.accounts.items())
        )
        return accounts, tuple(member.state_key() for member in self.members)

    def total_held(self) -> int:
        """Returns the millicalls that all members may use at the same time."""
        return sum(member.held for member in self.members)


class Explorer:
    """Explores the histories that start with the first member using the whole total.

    `omitted_rule` names a rule of the protocol to leave out, to show that the exploration detects
    its absence.
    """

    def __init__(
        self,
        total_calls: int = 2,
        members: int = 2,
        max_incarnation: int = 1,
        max_reports: int = 2,
        max_in_flight: int = 2,
        demands: tuple[int, ...] = (2 * MILLICALLS_PER_CALL,),
        omitted_rule: str = "",
    ) -> None:
        self.quota_settings, self.member_count, self.max_incarnation, self.max_reports = (
            QuotaSettings(total_calls * MILLICALLS_PER_CALL, idle_share=0.0),
            members,
            max_incarnation,
            max_reports,
        )
        self.omitted_rule, self.max_in_flight, self.demands = omitted_rule, max_in_flight, demands

    def possible_steps(self, state: ModelState) -> list[Any]:
        """Returns the possible next steps: action, index of the member, further arguments."""
        steps: list[Any] = [(self.run_allocation, 0)]
        for index, member in enumerate(state.members):
            if (
                member.sent_report_count < self.max_reports
                and len(member.reports_in_flight) < self.max_in_flight
            ):
                steps += [(self.send_report, index, demand) for demand in self.demands]
            # Each report may be delivered again later.
            steps += [
                (self.deliver_report, index, message_index, is_duplicated)
                for message_index in range(len(member.reports_in_flight))
                for is_duplicated in (False, True)
            ]
            steps += [
                (action, index, message_index)
                for message_index in range(len(member.grants_in_flight))
                for action in (self.deliver_grant, self.lose_grant)
            ]
            if member.calls_in_progress > member.lease_holder.share:
                steps.append((self.finish_excess_calls, index))
            if member.incarnation < self.max_incarnation:
                steps.append((self.restart, index))
        return steps

    def apply_step(self, state: ModelState, action: Any, index: int, *arguments: Any) -> ModelState:
        action(state, state.members[index], index, *arguments)
        return state

    def send_report(self, state: ModelState, member: ModelMember, index: int, demand: int) -> None:
        member.last_report_number += 1
        member.sent_report_count += 1
        member.pending_report_number = member.last_report_number
        held = (
            member.lease_holder.share
            if self.omitted_rule == "report-calls-in-progress"
            else member.held
        )
        member.reports_in_flight.append(
            (
                member.incarnation,
                member.last_report_number,
                ShareReport(held, member.lease_holder.share, demand, 1),
            )
        )

    def deliver_report(
        self,
        state: ModelState,
        member: ModelMember,
        index: int,
        message_index: int,
        is_duplicated: bool,
    ) -> None:
        incarnation, report_number, report = member.reports_in_flight[message_index]
        if not is_duplicated:
            del member.reports_in_flight[message_index]
        if self.omitted_rule == "reject-old-reports" and str(index) in state.allocator.accounts:
            state.allocator.accounts[str(index)].report_number = report_number - 1
        grant = state.allocator.process_report(
            NOW_NS, str(index), incarnation, report_number, report
        )
        if grant is not None and len(member.grants_in_flight) < self.max_in_flight:
            member.grants_in_flight.append((incarnation, report_number, grant))

    def deliver_grant(
        self, state: ModelState, member: ModelMember, index: int, message_index: int
    ) -> None:
        incarnation, report_number, share = member.grants_in_flight.pop(message_index)
        if incarnation == member.incarnation and (
            report_number == member.pending_report_number
            or self.omitted_rule == "reject-old-grants"
        ):
            member.pending_report_number = -1
            member.lease_holder.process_grant(NOW_NS, share, NOW_NS, True)
            member.calls_in_progress = max(
                member.calls_in_progress, member.lease_holder.share
            )  # the member uses its whole share

    def lose_grant(
        self, state: ModelState, member: ModelMember, index: int, message_index: int
    ) -> None:
        del member.grants_in_flight[message_index]

    def finish_excess_calls(self, state: ModelState, member: ModelMember, index: int) -> None:
        member.calls_in_progress = member.lease_holder.share

    def restart(self, state: ModelState, member: ModelMember, index: int) -> None:
        """Restarts a member; its calls in progress end with the old process."""
        member.incarnation += 1
        member.calls_in_progress, member.pending_report_number = 0, -1
        member.lease_holder = LeaseHolder(self.quota_settings, NOW_NS)
        state.update_members()
        state.allocator.run_round(NOW_NS, state.allocator.members, True)

    def run_allocation(self, state: ModelState, member: ModelMember, index: int) -> None:
        state.allocator.allocated_at_ns = NOW_NS - self.quota_settings.allocation_interval_ns
        state.allocator.allocate(NOW_NS)

    def explore_exhaustively(self, max_states: int) -> tuple[int, int]:
        """Explores all histories breadth first, up to `max_states` distinct states.

        Returns:
            The number of distinct states, and the largest total held in any of them in millicalls.
        """
        initial = self.initial_state()
        known, queue, max_held = {initial.state_key()}, deque([initial]), 0
        while queue and len(known) < max_states:
            before = queue.popleft()
            for step in self.possible_steps(before):
                state = self.apply_step(before.copy(), *step)
                state_key = state.state_key()
                if state_key not in known:
                    known.add(state_key)
                    max_held = max(max_held, state.total_held())
                    queue.append(state)
        return len(known), max_held

    def explore_randomly(self, histories: int, steps: int, seed: int) -> int:
        """Runs random histories.

        Returns:
            The largest total held in any state, in millicalls.
        """
        random_generator, max_held = random.Random(seed), 0
        for _ in range(histories):
            state = self.initial_state()
            for _ in range(steps):
                self.apply_step(state, *random_generator.choice(self.possible_steps(state)))
                max_held = max(max_held, state.total_held())
        return max_held

    def initial_state(self) -> ModelState:
        state = ModelState(self.quota_settings, self.member_count)
        holder = state.members[0]
        for index, other in enumerate(state.members[1:], 1):
            self.send_report(state, other, index, 0)
            self.deliver_report(state, other, index, 0, False)
            self.deliver_grant(state, other, index, 0)
        for _ in range(2):  # the first member joins and is granted the total
            self.send_report(state, holder, 0, self.quota_settings.total_millicalls)
            self.deliver_report(state, holder, 0, 0, False)
            self.run_allocation(state, holder, 0)
            self.deliver_grant(state, holder, 0, 0)
        assert holder.calls_in_progress == self.quota_settings.total_millicalls
        for member in state.members:
            member.sent_report_count = 0
        return state
