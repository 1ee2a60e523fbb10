//! Errors between a resource and its version stored on the platform.
//!
//! Only operators' tools check these. A daemon must not: it may have missed intermediate versions,
//! and a replica must accept other members under its own epoch, since it then stops voting.

use crate::kinds::{ClaimGroup, Resource, ResourceId, ResourceKind};
use crate::problem::{Finding, ProblemCode};
use crate::snapshot::Snapshot;

/// Returns the errors that prevent a resource from replacing its version on the platform.
#[must_use]
pub fn find_transition_errors(current: &Snapshot, resource: &Resource) -> Vec<Finding> {
    let Resource::ClaimGroup(group) = resource else {
        return Vec::new();
    };
    let previous = current.claim_groups.get(&group.name);
    let finding = previous.and_then(|previous| check_claim_group(previous, group));
    let id = ResourceId::new(ResourceKind::ClaimGroup, &group.name);
    let finding = finding.map(|finding| finding.about(&id));
    finding.into_iter().collect()
}

/// Checks that the replicas change only in the next epoch, which takes over the votes of the
/// previous replicas.
fn check_claim_group(previous: &ClaimGroup, group: &ClaimGroup) -> Option<Finding> {
    let next = previous.epoch.saturating_add(1);
    let is_same = sorted(&previous.replicas) == sorted(&group.replicas);
    if group.epoch == next {
        return check_votes_taken_over(previous, group);
    }
    if group.epoch == previous.epoch && is_same {
        return None;
    }
    let message = format!(
        "{} does not follow on epoch {} with replicas {}",
        group.epoch,
        previous.epoch,
        previous.replicas.join(", ")
    );
    let allowed = if is_same {
        format!("{} or {next}", previous.epoch)
    } else {
        next.to_string()
    };
    let code = ProblemCode::EpochOutOfOrder;
    Some(Finding::new(code, "epoch", message, allowed))
}

fn check_votes_taken_over(previous: &ClaimGroup, group: &ClaimGroup) -> Option<Finding> {
    let named = group.previous_replicas.as_deref().unwrap_or_default();
    if named.is_empty() || sorted(named) == sorted(&previous.replicas) {
        return None;
    }
    let message = format!(
        "{} are not the replicas of epoch {}",
        named.join(", "),
        previous.epoch
    );
    let allowed = format!(
        "{}, or [] when none of them runs any more",
        previous.replicas.join(", ")
    );
    let code = ProblemCode::EpochOutOfOrder;
    Some(Finding::new(code, "previous_replicas", message, allowed))
}

/// Returns the members in sorted order for comparison; their order in the resource has no meaning.
fn sorted(members: &[String]) -> Vec<&str> {
    let mut members: Vec<&str> = members.iter().map(String::as_str).collect();
    members.sort_unstable();
    members
}
