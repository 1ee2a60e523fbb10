//! Warnings about resources that are valid but risky.

use crate::chain::{find_cycles, heaviest_chain};
use crate::kinds::{ClaimGroup, DrainTarget, RequestKind, ResourceId, ResourceKind, RetryBudget};
use crate::problem::{Finding, ProblemCode};
use crate::snapshot::{CLAIM_GROUP_NAME, Snapshot};

/// Returns every warning about the resources of a snapshot.
pub(super) fn find_warnings(snapshot: &Snapshot) -> Vec<Finding> {
    let mut findings = Vec::new();
    findings.extend(warn_of_cycles(snapshot));
    for kind in snapshot.request_kinds.values() {
        findings.extend(warn_of_request_kind(snapshot, kind));
    }
    for budget in snapshot.retry_budgets.values() {
        findings.extend(warn_of_budget_depth(snapshot, budget));
    }
    findings.extend(warn_of_drained_services(snapshot));
    for group in snapshot.claim_groups.values() {
        findings.extend(warn_of_claim_group(snapshot, group));
    }
    findings
}

fn warn_of_cycles(snapshot: &Snapshot) -> Vec<Finding> {
    let warn = |services: &[String]| {
        let last = services.last()?;
        let first = services.first()?;
        let message = format!("cycle {} -> {first}", services.join(" -> "));
        let allowed = "calls without a cycle";
        let finding = Finding::new(ProblemCode::CallCycle, "calls", message, allowed);
        Some(finding.about(&ResourceId::new(ResourceKind::Service, last)))
    };
    let cycles = find_cycles(snapshot);
    let warnings = cycles.iter().filter_map(|cycle| warn(&cycle.services));
    warnings.collect()
}

fn warn_of_request_kind(snapshot: &Snapshot, kind: &RequestKind) -> Vec<Finding> {
    let owner = ResourceId::new(ResourceKind::RequestKind, &kind.name);
    let findings = [
        warn_of_queue_wait(snapshot, kind),
        warn_of_backoff(snapshot, kind),
        warn_of_missing_budget(snapshot, kind),
        warn_of_key_without_effect(kind),
        warn_of_unrecognised_repeats(snapshot, kind),
    ];
    let findings = findings.into_iter().flatten();
    findings.map(|finding| finding.about(&owner)).collect()
}

fn warn_of_queue_wait(snapshot: &Snapshot, kind: &RequestKind) -> Option<Finding> {
    let wait_of = |name: &str| {
        let service = snapshot.services.get(name);
        service.map_or(0, |service| u64::from(service.queue_wait_ms))
    };
    let chain = heaviest_chain(snapshot, &kind.service, wait_of)?;
    let total: u64 = chain.iter().map(|name| wait_of(name)).sum();
    if total < u64::from(kind.deadline_ms) {
        return None;
    }
    let message = format!(
        "{} ms, and the queues of {} may add up to {total} ms",
        kind.deadline_ms,
        chain.join(" -> ")
    );
    Some(Finding::new(
        ProblemCode::DeadlineBelowQueueWait,
        "deadline_ms",
        message,
        format!("more than {total}, or a shorter queue_wait_ms"),
    ))
}

fn warn_of_backoff(snapshot: &Snapshot, kind: &RequestKind) -> Option<Finding> {
    let budget = snapshot.retry_budget_for(kind)?;
    if budget.retries_per_request == 0 || budget.backoff_base_ms < kind.deadline_ms {
        return None;
    }
    let message = format!(
        "{} ms, and retry_budget \"{}\" waits {} ms before the first retry",
        kind.deadline_ms, budget.name, budget.backoff_base_ms
    );
    Some(Finding::new(
        ProblemCode::DeadlineBelowBackoff,
        "deadline_ms",
        message,
        format!("more than {}", budget.backoff_base_ms),
    ))
}

fn warn_of_missing_budget(snapshot: &Snapshot, kind: &RequestKind) -> Option<Finding> {
    if kind.retry_budget.is_some() || snapshot.retry_budget_for(kind).is_some() {
        return None;
    }
    Some(Finding::new(
        ProblemCode::NoRetryBudget,
        "retry_budget",
        "absent, and there is no retry_budget \"default\": no request is retried",
        "the name of a retry_budget",
    ))
}

fn warn_of_key_without_effect(kind: &RequestKind) -> Option<Finding> {
    (kind.repeatable && kind.idempotency_key_required).then(|| {
        Finding::new(
            ProblemCode::KeyWithoutEffect,
            "idempotency_key_required",
            "true has no effect on a repeatable request kind",
            "false, or repeatable = false",
        )
    })
}

fn warn_of_unrecognised_repeats(snapshot: &Snapshot, kind: &RequestKind) -> Option<Finding> {
    let has_group = snapshot.claim_groups.contains_key(CLAIM_GROUP_NAME);
    if kind.repeatable || kind.idempotency_key_required || has_group {
        return None;
    }
    let message = format!(
        "false, and without claim group \"{CLAIM_GROUP_NAME}\" a repeat by the caller is not recognised"
    );
    Some(Finding::new(
        ProblemCode::RepeatsNotRecognised,
        "repeatable",
        message,
        format!("false with a claim_group named \"{CLAIM_GROUP_NAME}\""),
    ))
}

/// Warns when a budget allows more retries than the longest call chain of its request kinds has
/// services.
fn warn_of_budget_depth(snapshot: &Snapshot, budget: &RetryBudget) -> Option<Finding> {
    let uses_budget = |kind: &&RequestKind| {
        let applied = snapshot.retry_budget_for(kind);
        applied.is_some_and(|applied| applied.name == budget.name)
    };
    let mut deepest = Vec::new();
    for kind in snapshot.request_kinds.values().filter(uses_budget) {
        let chain = heaviest_chain(snapshot, &kind.service, |_| 1)?;
        if chain.len() > deepest.len() {
            deepest = chain;
        }
    }
    let depth = deepest.len();
    if depth == 0 || usize::from(budget.retries_per_request) <= depth {
        return None;
    }
    let message = format!(
        "{} retries for a chain of {depth} services ({})",
        budget.retries_per_request,
        deepest.join(" -> ")
    );
    let finding = Finding::new(
        ProblemCode::RetryBudgetAboveDepth,
        "retries_per_request",
        message,
        format!("0 to {depth}"),
    );
    Some(finding.about(&ResourceId::new(ResourceKind::RetryBudget, &budget.name)))
}

fn warn_of_drained_services(snapshot: &Snapshot) -> Vec<Finding> {
    let mut findings = Vec::new();
    for drain in snapshot.drains.values() {
        let DrainTarget::Service(service) = &drain.target else {
            continue;
        };
        let finding = Finding::new(
            ProblemCode::DrainLeavesNoCapacity,
            "target",
            format!(
                "no backend of \"{service}\" is left{}",
                dependents_of(snapshot, service)
            ),
            "a drain of some backends or of a zone",
        );
        findings.push(finding.about(&ResourceId::new(ResourceKind::Drain, &drain.name)));
    }
    findings
}

/// Returns the callers and request kinds that depend on a service as a clause of a message; empty
/// when there are none.
fn dependents_of(snapshot: &Snapshot, service: &str) -> String {
    let callers = snapshot.services.values();
    let callers = callers.filter(|caller| caller.calls.iter().any(|called| called == service));
    let kinds = snapshot.request_kinds.values();
    let kinds = kinds.filter(|kind| kind.service == service);
    let dependents: Vec<&str> = callers
        .map(|caller| caller.name.as_str())
        .chain(kinds.map(|kind| kind.name.as_str()))
        .collect();
    if dependents.is_empty() {
        return String::new();
    }
    format!(", which {} need", dependents.join(", "))
}

fn warn_of_claim_group(snapshot: &Snapshot, group: &ClaimGroup) -> Vec<Finding> {
    let owner = ResourceId::new(ResourceKind::ClaimGroup, &group.name);
    let mut findings = Vec::new();
    if group.name != CLAIM_GROUP_NAME {
        findings.push(Finding::new(
            ProblemCode::ClaimGroupUnused,
            "name",
            format!("\"{}\" is not in use", group.name),
            CLAIM_GROUP_NAME,
        ));
    }
    findings.extend(warn_of_lost_majority(snapshot, group));
    let findings = findings.into_iter();
    findings.map(|finding| finding.about(&owner)).collect()
}

fn warn_of_lost_majority(snapshot: &Snapshot, group: &ClaimGroup) -> Option<Finding> {
    let is_drained = |replica: &&String| {
        let mut targets = snapshot.drains.values().map(|drain| &drain.target);
        targets.any(|target| matches!(target, DrainTarget::Backend(id) if id == *replica))
    };
    let drained: Vec<&str> = group
        .replicas
        .iter()
        .filter(is_drained)
        .map(String::as_str)
        .collect();
    let majority = group.replicas.len() / 2 + 1;
    if drained.len() < majority {
        return None;
    }
    let message = format!(
        "drains cover {} of {} replicas ({})",
        drained.len(),
        group.replicas.len(),
        drained.join(", ")
    );
    Some(Finding::new(
        ProblemCode::ClaimGroupLosesMajority,
        "replicas",
        message,
        format!("at most {} leaving", majority - 1),
    ))
}
