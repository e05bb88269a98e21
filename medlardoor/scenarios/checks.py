"""Checkers of the guarantees.

They read only what the stand-in upstreams, the load clients and the runner
recorded, nothing that the system says about its own decisions.
"""

import collections
import dataclasses
import itertools

import result

from medlardoor import errors
from medlardoor.scenarios import evidence as evidence_module

__all__ = [
    "Violation",
    "answers_match",
    "no_new_work",
    "recovered",
    "not_run_is_true",
    "orders_run_once",
    "share",
    "refused_by_rank",
    "retries_bounded",
    "runs_completed",
    "versions_in_force",
]

SHOWN_EXAMPLES = 5
NOT_RUN = "refused_not_run"
WHOLE = "whole"


@dataclasses.dataclass(frozen=True)
class Violation(errors.Failure):
    """A guarantee that the records contradict.

    Attributes:
        check: Name of the checker.
        count: Number of contradictions.
        examples: The first of them.
    """

    check: str
    count: int
    examples: tuple[str, ...]

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        shown = "; ".join(self.examples)
        return f"{self.check}: {self.count} violations: {shown}"


Checked = result.Result[str, Violation]


def _judge(check: str, found: list[str], looked_at: int) -> Checked:
    """Result of a checker; one that saw nothing has proved nothing."""
    if looked_at == 0:
        found = ["no record to check"]
    if found:
        examples = tuple(found[:SHOWN_EXAMPLES])
        return result.Err(Violation(check, len(found), examples))
    return result.Ok(f"{check}: {looked_at} records")


def orders_run_once(evidence: evidence_module.Evidence) -> Checked:
    """G5: no key runs twice on the upstreams of its service."""
    runs = collections.Counter(
        (run.service, run.key) for run in evidence.runs if run.key
    )
    found = [
        f"{key} ran {count} times on {service}"
        for (service, key), count in runs.items()
        if count > 1
    ]
    return _judge("orders-run-once", found, len(runs))


def answers_match(evidence: evidence_module.Evidence) -> Checked:
    """G3: no answer is incomplete or belongs to another request.

    The load client compares the bytes of each answer with its request.
    """
    found = [
        f"{attempt.request_id} got a wrong answer"
        for attempt in evidence.attempts
        if attempt.outcome == "wrong_answer"
    ]
    whole = [a for a in evidence.attempts if a.outcome == WHOLE]
    return _judge("answers-match", found, len(whole) + len(found))


def not_run_is_true(evidence: evidence_module.Evidence) -> Checked:
    """G4: what a caller was told was not run is on no upstream's record.

    An answer to an attempt with a key covers all attempts with this key up to
    then; the final outcome of a request covers all its attempts.
    """
    runs = collections.defaultdict(list)
    by_key = collections.defaultdict(list)
    for run in evidence.runs:
        runs[run.root_id].append(run)
        by_key[run.key].append(run)
    refused = [a for a in evidence.attempts if a.outcome == NOT_RUN and a.key]
    found = [
        f"{attempt.request_id} ran on {run.instance} before its refusal"
        for attempt in refused
        for run in by_key.get(attempt.key, [])
        if run.began_at <= attempt.ended_at
    ]
    final = [r for r in evidence.requests if r.outcome == NOT_RUN]
    found += [
        f"{request.request_id} was refused and ran on {run.instance}"
        for request in final
        for run in runs.get(request.request_id, [])
    ]
    return _judge("not-run-is-true", found, len(refused) + len(final))


def retries_bounded(evidence: evidence_module.Evidence, most: int) -> Checked:
    """G1: the repeated calls of one chain stay within the budget.

    A call that an upstream refuses is an attempt like one that it runs.

    Args:
        evidence: Records.
        most: Largest number of retries over all services.
    """
    runs = collections.Counter(
        (run.root_id, run.service, run.request_id)
        for run in evidence.runs + evidence.sheds
    )
    retries: collections.Counter[str] = collections.Counter()
    for (root_id, _, _), count in runs.items():
        retries[root_id] += count - 1
    found = [
        f"{root_id} was retried {count} times"
        for root_id, count in retries.items()
        if count > most
    ]
    return _judge("retries-bounded", found, len(retries))


def refused_by_rank(
    evidence: evidence_module.Evidence, kinds: str, bound_s: float = 1.0
) -> Checked:
    """G2: nothing less important is accepted amid refusals of a kind.

    An attempt that was accepted contradicts the guarantee if a more important
    kind was refused for load both before the attempt, at least the
    propagation bound earlier, and within the bound after it was sent.

    Args:
        evidence: Records.
        kinds: Kinds, most important first, separated by commas.
        bound_s: Propagation bound of a change of level, in seconds.
    """
    names = kinds.split(",")
    ranks = {kind: len(names) - i for i, kind in enumerate(names)}
    reasons = (errors.Reason.OVERLOAD.value, errors.Reason.QUEUE_TIMEOUT.value)
    shed = [
        a
        for a in evidence.attempts
        if a.kind in ranks and a.outcome == NOT_RUN and a.reason in reasons
    ]
    accepted = [
        a for a in evidence.attempts if a.kind in ranks and a.outcome == WHOLE
    ]
    found = []
    for attempt in accepted:
        above = [a for a in shed if ranks[a.kind] > ranks[attempt.kind]]
        gaps = [a.ended_at - attempt.began_at for a in above]
        earlier = any(-2 * bound_s <= gap <= -bound_s for gap in gaps)
        if earlier and any(0 <= gap <= bound_s for gap in gaps):
            found.append(f"{attempt.request_id} was accepted")
    return _judge("refused-by-rank", found, len(shed))


def no_new_work(
    evidence: evidence_module.Evidence, instance: str, after_s: float
) -> Checked:
    """G6: an upstream that is leaving starts nothing after a few seconds.

    Args:
        evidence: Records.
        instance: Name of the upstream that was marked as leaving.
        after_s: Time limit, in seconds.
    """
    limit = evidence.marks.get(instance, 0.0) + after_s
    runs = [run for run in evidence.runs if run.instance == instance]
    found = [
        f"{run.request_id} started {run.began_at - limit:.2f} s too late"
        for run in runs
        if run.began_at > limit
    ]
    return _judge("no-new-work", found, len(runs))


def runs_completed(
    evidence: evidence_module.Evidence, instance: str
) -> Checked:
    """G7: a planned stop interrupts no run of an upstream."""
    runs = [run for run in evidence.runs if run.instance == instance]
    answered = {r.request_id for r in evidence.requests if r.outcome == WHOLE}
    found = [
        f"{run.request_id} ended as {run.end or 'interrupted'}"
        for run in runs
        if run.end != "answered"
    ]
    found += [
        f"{run.request_id} was not answered whole"
        for run in runs
        if run.request_id == run.root_id and run.root_id not in answered
    ]
    return _judge("runs-completed", found, len(runs))


def versions_in_force(
    evidence: evidence_module.Evidence, within_s: float
) -> Checked:
    """G8: versions reach all nodes in time and never go back.

    A node without a document reports version 0 and refuses requests; this is
    no return to an older version.
    """
    by_node = collections.defaultdict(list)
    for sample in evidence.versions:
        if sample.version:
            by_node[sample.node].append(sample)
    found = []
    for node, samples in by_node.items():
        for before, after in itertools.pairwise(samples):
            if after.version < before.version:
                found.append(f"{node} went back to {after.version}")
        for promotion in evidence.promotions:
            late = [
                sample
                for sample in samples
                if sample.at > promotion.at + within_s
                and sample.version < promotion.version
            ]
            if late:
                found.append(f"{node} was late for {promotion.version}")
    return _judge("versions-in-force", found, len(evidence.versions))


def recovered(
    evidence: evidence_module.Evidence,
    load: str,
    after_s: float,
    lowest: float,
) -> Checked:
    """Service is normal a stated time after the last fault of the platform.

    Args:
        evidence: Records.
        load: Load client whose attempts count.
        after_s: Time for the recovery, in seconds.
        lowest: Smallest share of the later attempts that are answered whole.
    """
    limit = evidence.marks.get("platform", 0.0) + after_s
    later = [
        a
        for a in evidence.attempts
        if f"-{load}-" in a.request_id and a.began_at > limit
    ]
    whole = [a for a in later if a.outcome == WHOLE]
    found = []
    if len(whole) < lowest * len(later):
        found.append(f"{len(whole)} of {len(later)} after {after_s} s")
    return _judge("recovered", found, len(later))


def share(
    evidence: evidence_module.Evidence,
    kind: str = "",
    outcome: str = WHOLE,
    reason: str = "",
    load: str = "",
    lowest: float = 0.0,
    highest: float = 1.0,
) -> Checked:
    """Share of the requests that ended with an outcome.

    Args:
        evidence: Records.
        kind: Kind of request; empty for all.
        outcome: Final outcome to count.
        reason: Reason to count; empty for all.
        load: Load client, which is part of the request id; empty for all.
        lowest: Smallest share allowed.
        highest: Largest share allowed.
    """
    requests = [
        r
        for r in evidence.requests
        if kind in ("", r.kind) and (not load or f"-{load}-" in r.request_id)
    ]
    counted = [
        r for r in requests if r.outcome == outcome and reason in ("", r.reason)
    ]
    found = []
    if not lowest <= len(counted) / max(len(requests), 1) <= highest:
        found.append(f"{len(counted)} of {len(requests)} {outcome}")
    return _judge("share", found, len(requests))
