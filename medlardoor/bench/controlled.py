"""The decision classes of medlardoor in front of a fake upstream."""

import copy
import dataclasses
import functools

from medlardoor import errors
from medlardoor.admission import controller as admission_module
from medlardoor.admission import levels
from medlardoor.bench import crashes, fakes, workload
from medlardoor.blackboard import board as board_module
from medlardoor.blackboard import topics
from medlardoor.calls import context
from medlardoor.config import settings as settings_module
from medlardoor.retries import budget as budget_module
from medlardoor.retries import policy as retry_module
from medlardoor.retries import throttle as throttle_module
from medlardoor.routing import path as path_module
from medlardoor.routing import picker as picker_module

__all__ = ["ControlledInstance"]

NOT_RUN = errors.Outcome.NOT_RUN
ANSWERED = errors.Outcome.ANSWERED

_MAX_HANDOFFS = 2


class ControlledInstance(fakes.Instance):
    """One node of medlardoor with its upstream."""

    def __init__(self, world, spec, index):
        super().__init__(world, spec, index)
        self.name = f"{spec.name}-{index}"
        self.incarnation = 0
        self.report_slots = spec.slots
        self._identifier = 0
        self._start()

    def _start(self) -> None:
        generator = self._world.generator
        self.incarnation += 1
        self.board = board_module.Blackboard(
            self.name, self.spec.name, f"domain-{self.index}"
        )
        self.board.policy.policy = workload.policy_of(self._world.company)
        self.board.membership.state = topics.MemberState.SERVING
        self.admission = admission_module.AdmissionController(
            settings_module.AdmissionSettings(), self.board, generator
        )
        self._picker = picker_module.PowerOfTwoPicker(
            settings_module.GossipSettings(), self.board, generator
        )
        self._paths = path_module.PathController(self.board)
        self._throttle = throttle_module.RetryThrottle()
        self._retries = retry_module.RetryPolicy(self._throttle, generator)
        self._gate = crashes.SuspectGate()
        self._outgoing: dict[fakes.Call, topics.Member] = {}
        self._calls: dict[int, fakes.Call] = {}
        self._budgets: dict[int, budget_module.RetryBudget] = {}
        self.report()

    def report(self) -> None:
        """Receives a load report of the upstream."""
        load = self.board.load
        load.reported_slots = self.report_slots
        load.reported_in_use = len(self.upstream.running)
        load.report_at = self._world.simulator.now
        load.upstream_state = topics.UpstreamState.SERVING

    def tick(self) -> None:
        """Adapts, and tells the peers when the level changes by a rank."""
        if not self.is_up:
            return
        before = self._announced()
        self._act(self.admission.tick(self._world.simulator.now))
        if self._announced() != before:
            self.publish()

    def _announced(self) -> tuple[int, int]:
        limits = self.board.limits
        return limits.level // levels.LEVELS_PER_RANK, limits.refused_rank

    def publish(self) -> None:
        """Sends the own record to all other instances."""
        if not self.is_up:
            return
        limits = self.board.limits
        member = topics.Member(
            self.name,
            self.spec.name,
            self.incarnation,
            state=topics.MemberState.SERVING,
            failure_domain=self.board.failure_domain,
            slots=limits.limit,
            in_flight=limits.in_flight,
            queued=limits.queued,
            level=limits.effective_level,
            warmth_percent=limits.warmth_percent,
            refused_rank=limits.refused_rank,
        )
        for instances in self._world.instances.values():
            for other in instances:
                if other is not self:
                    self._world.simulator.after(
                        self._world.company.hop_s, other.hear, member
                    )

    def hear(self, member: topics.Member) -> None:
        """Receives the record of another instance."""
        heard = copy.copy(member)
        heard.heard_at = self._world.simulator.now
        membership = self.board.membership
        if heard.service == self.spec.name:
            membership.members[heard.instance] = heard
        else:
            known = membership.services.setdefault(heard.service, {})
            known[heard.instance] = heard

    def admit(self, call: fakes.Call) -> None:
        """Runs, queues, forwards or refuses a call."""
        now = self._world.simulator.now
        if call.context is None:
            call.context = self._root(call)
        facts = call.context
        self._identifier += 1
        facts.call_id = self._identifier
        self._calls[facts.call_id] = call
        self._budgets[facts.call_id] = budget_module.RetryBudget(facts.budget)
        if call.hop == 0 and not facts.handed_over:
            path_level = self._paths.level_for(facts.kind, now)
            if facts.level < path_level:
                self._refuse(call, self.admission.refusal(facts))
                return
        self._check_suspect(call)

    def _check_suspect(self, call: fakes.Call) -> None:
        rule = self._crash_rule()
        if rule.is_quarantined(call.request):
            reason = errors.Reason.QUARANTINED
            self._refuse(call, self.admission.refusal(call.context, reason))
        elif not rule.is_suspect(call.request) or self._gate.enter(call):
            self._offer(call)

    def _offer(self, call: fakes.Call) -> None:
        decision = self.admission.offer(call.context, self._world.simulator.now)
        if isinstance(decision, admission_module.Admitted):
            self._run(call)
        elif isinstance(decision, admission_module.Refused):
            self._hand_over(call, decision.refusal)

    def call_next(self, call: fakes.Call) -> None:
        """Sends the outgoing call to a member of the next service."""
        self._throttle.record_first_attempt()
        self._try(call, ())

    def ended(self, call: fakes.Call, reply: fakes.Reply) -> None:
        """Frees the slot of a call and answers it."""
        now = self._world.simulator.now
        facts = call.context
        if reply.outcome is ANSWERED:
            self._crash_rule().succeeded(call.request)
        self._leave_gate(call)
        self._calls.pop(facts.call_id, None)
        for child in call.children:
            member = self._outgoing.pop(child, None)
            if member is not None:
                self._picker.finished(member, True, now)
        budget = self._budgets.pop(facts.call_id, None)
        unspent = budget.remaining if budget else 0
        level = self._path_level(call)
        reply = dataclasses.replace(reply, unspent=unspent, path_level=level)
        self.answer(call, reply)
        if reply.reason is errors.Reason.UPSTREAM_UNAVAILABLE:
            completion = admission_module.Completion(0.0, NOT_RUN, True)
        elif call.started_at is None:
            self._act(self.admission.cancel(facts.call_id, now))
            return
        else:
            latency_s = now - call.dispatched_at
            child_wait_s = max(0.0, now - call.started_at - call.own_s)
            completion = admission_module.Completion(
                latency_s, reply.outcome, child_wait_s=child_wait_s
            )
        self._act(self.admission.finish(facts.call_id, completion, now))

    def answer(self, call: fakes.Call, reply: fakes.Reply) -> None:
        """Sends the reply and lets the next suspect through."""
        super().answer(call, reply)
        self._leave_gate(call)

    def _leave_gate(self, call) -> None:
        waiting = self._gate.leave(call)
        if waiting is not None and waiting in self.active:
            self._world.simulator.after(0.0, self._admit_again, waiting)

    def _admit_again(self, call) -> None:
        if call in self.active:
            self._check_suspect(call)

    def _crash_rule(self) -> crashes.CrashRule:
        return self._world.crash_rules.setdefault(
            self.spec.name, crashes.CrashRule()
        )

    def fail(self) -> None:
        """Ends node and upstream."""
        super().fail()
        self._calls.clear()
        self._budgets.clear()

    def restart(self) -> None:
        """Restarts the upstream; a node that is down starts too."""
        now = self._world.simulator.now
        if not self.is_up:
            super().restart()
            self._start()
            self.publish()
        self.upstream.restarted_at = now
        self._crash_rule().crashed(list(self.upstream.running))
        self.admission.restart_upstream(now)
        for call in [*self.upstream.waiting, *self.upstream.running]:
            for child in call.children:
                self._world.cancel(child)
            failure = fakes.Reply(
                errors.Outcome.UNKNOWN, errors.Reason.UPSTREAM_FAILED
            )
            self.complete(call, failure)

    def _path_level(self, call) -> int:
        now = self._world.simulator.now
        below = self._paths.level_for(call.request.kind.name, now)
        return max(self.admission.path_level(now), below)

    def _root(self, call) -> context.CallContext:
        kind = call.request.kind
        chain_id = self._world.generator.randbytes(16)
        return context.CallContext(
            chain_id,
            0,
            self._world.company.name,
            kind.name,
            kind.rank,
            levels.level_of(kind.rank, chain_id),
            call.deadline,
            kind.retry_budget,
            kind.idempotent,
            kind.max_wait_s,
        )

    def _run(self, call) -> None:
        self._world.recorder.admitted(call)
        call.dispatched_at = self._world.simulator.now
        self.dispatch(call)

    def _act(self, actions) -> None:
        for action in actions:
            call = self._calls.get(action.call_id)
            if call is None:
                continue
            if isinstance(action, admission_module.Start):
                self._run(call)
            else:
                self._hand_over(call, action.refusal)

    def _refuse(self, call, refusal) -> None:
        self._calls.pop(call.context.call_id, None)
        budget = self._budgets.pop(call.context.call_id, None)
        overload = refusal.reason is errors.Reason.OVERLOAD
        if overload and not call.context.handed_over:
            self._world.recorder.refused(call)
        level = self._path_level(call)
        reply = fakes.Reply(
            refusal.outcome,
            refusal.reason,
            budget.remaining if budget else 0,
            level,
            refusal.retry_after_ms / 1000.0,
        )
        self.answer(call, reply)

    def _hand_over(self, call, refusal, tried=()) -> None:
        """Forwards a call before it is refused for overload (section 2.6)."""
        facts = call.context
        now = self._world.simulator.now
        forwards = (
            refusal.reason is errors.Reason.OVERLOAD
            and facts.rank > 0
            and not facts.handed_over
        )
        if not forwards:
            self._refuse(call, refusal)
            return
        member = None
        if len(tried) < _MAX_HANDOFFS:
            picked = self._picker.pick(self.spec.name, facts, tried, now)
            member = picked.ok()
        if member is None:
            self.admission.record_failed_forwarding(facts.rank, now)
            self._refuse(call, refusal)
            return
        on_reply = functools.partial(
            self._handed_over, call, refusal, (*tried, member.instance), member
        )
        handed = copy.copy(facts)
        handed.handed_over = True
        handed.budget = self._budgets[facts.call_id].reserve()
        self._send(call, member, handed, call.hop, on_reply)

    def _handed_over(self, call, refusal, tried, member, reply) -> None:
        if call not in self.active:
            return
        self._settle(call, member, reply)
        if reply.reason in (
            errors.Reason.OVERLOAD,
            errors.Reason.NODE_UNREACHABLE,
        ):
            self._hand_over(call, refusal, tried)
            return
        self._calls.pop(call.context.call_id, None)
        budget = self._budgets.pop(call.context.call_id)
        self.answer(call, dataclasses.replace(reply, unspent=budget.remaining))

    def _try(self, call, tried) -> None:
        if call not in self.active:
            return
        now = self._world.simulator.now
        service = call.request.kind.path[call.hop + 1]
        picked = self._picker.pick(service, call.context, tried, now)
        if picked.is_err():
            refusal = picked.err()
            self._observe_refusal(call, service, refusal, now)
            self.complete(call, fakes.Reply(refusal.outcome, refusal.reason))
            return
        member = picked.ok()
        facts = copy.copy(call.context)
        facts.handed_over = False
        facts.depth += 1
        facts.budget = self._budgets[facts.call_id].reserve()
        on_reply = functools.partial(
            self._child_replied, call, (*tried, member.instance), member
        )
        self._send(call, member, facts, call.hop + 1, on_reply)

    def _observe_refusal(self, call, service, refusal, now) -> None:
        """A service that is full everywhere gives its level by records."""
        if refusal.reason is not errors.Reason.OVERLOAD:
            return
        members = self._picker.usable(service, now)
        level = min((m.level for m in members), default=0)
        self._paths.observe(service, call.request.kind.name, level, now)

    def _send(self, call, member, facts, hop, on_reply) -> None:
        child = fakes.Call(
            call.request, hop, call.deadline, on_reply, context=facts
        )
        call.children = [child]
        self._outgoing[child] = member
        self._picker.started(member, self._world.simulator.now)
        index = int(member.instance.rpartition("-")[2])
        self._world.send(self._world.instances[member.service][index], child)

    def _child_replied(self, call, tried, member, reply) -> None:
        if call not in self.active:
            return
        now = self._world.simulator.now
        budget = self._settle(call, member, reply)
        self._paths.observe(
            member.service, call.request.kind.name, reply.path_level, now
        )
        if reply.outcome is ANSWERED:
            call.child_s = reply.work_s
            self.complete(call, fakes.Reply(ANSWERED))
            return
        refusal = errors.Refusal(reply.outcome, reply.reason)
        others = [
            m
            for m in self._picker.usable(member.service, now)
            if m.instance not in tried
        ]
        decision = self._retries.decide(
            call.context, refusal, budget, others, now
        )
        if isinstance(decision, retry_module.Retry):
            call.request.retries += 1
            self._world.simulator.after(
                decision.delay_s, self._try, call, tried
            )
            return
        self.complete(call, fakes.Reply(reply.outcome, reply.reason))

    def _settle(self, call, member, reply) -> budget_module.RetryBudget:
        refused = reply.reason is errors.Reason.NODE_UNREACHABLE
        self._outgoing.pop(call.children[0], None)
        self._picker.finished(member, not refused, self._world.simulator.now)
        budget = self._budgets[call.context.call_id]
        share = call.children[0].context.budget
        budget.return_unspent(share if refused else reply.unspent, share)
        return budget
