//! Errors between resources: unknown references, ambiguous matches and a missing claim group.

use crate::kinds::{DrainTarget, RequestKind, ResourceId, ResourceKind};
use crate::nearest::suggestion;
use crate::problem::{Finding, ProblemCode};
use crate::snapshot::{CLAIM_GROUP_NAME, Snapshot};
use crate::validate::KnownResources;

/// Returns every error between the resources of a snapshot.
pub(super) fn find_errors(snapshot: &Snapshot, known: &KnownResources) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_services(snapshot, known, &mut findings);
    check_request_kinds(snapshot, known, &mut findings);
    check_drains(snapshot, known, &mut findings);
    check_matches(snapshot, &mut findings);
    findings
}

fn check_services(snapshot: &Snapshot, known: &KnownResources, findings: &mut Vec<Finding>) {
    for service in snapshot.services.values() {
        let owner = ResourceId::new(ResourceKind::Service, &service.name);
        let references = service.calls.iter();
        findings.extend(references.filter_map(|called| {
            check_reference(known, &owner, "calls", ResourceKind::Service, called)
        }));
    }
}

fn check_request_kinds(snapshot: &Snapshot, known: &KnownResources, findings: &mut Vec<Finding>) {
    for kind in snapshot.request_kinds.values() {
        let owner = ResourceId::new(ResourceKind::RequestKind, &kind.name);
        findings.extend(check_reference(
            known,
            &owner,
            "service",
            ResourceKind::Service,
            &kind.service,
        ));
        if let Some(budget) = &kind.retry_budget {
            findings.extend(check_reference(
                known,
                &owner,
                "retry_budget",
                ResourceKind::RetryBudget,
                budget,
            ));
        }
        findings.extend(check_claim_group(known, &owner, kind));
    }
}

fn check_claim_group(
    known: &KnownResources,
    owner: &ResourceId,
    kind: &RequestKind,
) -> Option<Finding> {
    let needs_group = kind.idempotency_key_required && !kind.repeatable;
    if !needs_group || known.contains(ResourceKind::ClaimGroup, CLAIM_GROUP_NAME) {
        return None;
    }
    let message = format!("true, and there is no claim group \"{CLAIM_GROUP_NAME}\"");
    let allowed = format!("false, or true with a claim_group named \"{CLAIM_GROUP_NAME}\"");
    let finding = Finding::new(
        ProblemCode::ClaimGroupMissing,
        "idempotency_key_required",
        message,
        allowed,
    );
    Some(finding.about(owner))
}

fn check_drains(snapshot: &Snapshot, known: &KnownResources, findings: &mut Vec<Finding>) {
    for drain in snapshot.drains.values() {
        let DrainTarget::Service(service) = &drain.target else {
            continue;
        };
        let owner = ResourceId::new(ResourceKind::Drain, &drain.name);
        findings.extend(check_reference(
            known,
            &owner,
            "target.service",
            ResourceKind::Service,
            service,
        ));
    }
}

fn check_reference(
    known: &KnownResources,
    owner: &ResourceId,
    field: &str,
    kind: ResourceKind,
    name: &str,
) -> Option<Finding> {
    if known.contains(kind, name) {
        return None;
    }
    let hint = suggestion(name, known.names(kind));
    let message = format!("unknown {kind} \"{name}\"{hint}");
    let allowed = describe_known(known, kind);
    let finding = Finding::new(ProblemCode::UnknownReference, field, message, allowed);
    Some(finding.about(owner))
}

/// Maximum number of names that a message lists.
const MAX_LISTED_NAMES: usize = 12;

fn describe_known(known: &KnownResources, kind: ResourceKind) -> String {
    let names: Vec<&str> = known.names(kind).collect();
    if names.is_empty() {
        return format!("the name of a {kind}; there is none");
    }
    let listed = names[..names.len().min(MAX_LISTED_NAMES)].join(", ");
    if names.len() > MAX_LISTED_NAMES {
        return format!("{listed} and {} more", names.len() - MAX_LISTED_NAMES);
    }
    listed
}

/// Reports request kinds of one service with the same path prefix and method: which of them a
/// request matches would be ambiguous.
fn check_matches(snapshot: &Snapshot, findings: &mut Vec<Finding>) {
    let mut kinds: Vec<&RequestKind> = snapshot.request_kinds.values().collect();
    kinds.sort_by_key(|kind| (kind.match_key(), &kind.name));
    for pair in kinds.windows(2) {
        if !pair[0].matches_same_as(pair[1]) {
            continue;
        }
        findings.push(ambiguous_match(pair[1], pair[0]));
    }
}

/// Creates the finding that `kind` matches the same requests as `other`.
pub(crate) fn ambiguous_match(kind: &RequestKind, other: &RequestKind) -> Finding {
    let owner = ResourceId::new(ResourceKind::RequestKind, &kind.name);
    let message = format!(
        "{} {} to \"{}\" is matched by request_kind \"{}\" too",
        kind.method.as_deref().unwrap_or("every method on"),
        kind.path_prefix,
        kind.service,
        other.name,
    );
    let finding = Finding::new(
        ProblemCode::AmbiguousMatch,
        "path_prefix",
        message,
        "a combination of service, method and path_prefix that is used once",
    );
    finding.about(&owner)
}
