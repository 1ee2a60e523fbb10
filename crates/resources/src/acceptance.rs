//! Acceptance of the platform's objects: which resources come into force and which are rejected.
//!
//! When a version of a resource is rejected, the last good version stays in force: one bad write
//! can't remove configuration that serves traffic. The result depends only on the arguments: two
//! daemons with the same previous snapshot and the same objects accept the same versions.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use crate::kinds::{DrainTarget, RequestKind, Resource, ResourceId, ResourceKind};
use crate::problem::{Finding, ProblemCode};
use crate::snapshot::{CLAIM_GROUP_NAME, Revision, Snapshot};
use crate::spec::read_object;
use crate::validate::{KnownResources, ambiguous_match, find_errors};

/// An object as stored on the platform, not yet validated.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredObject {
    /// Identity of the object, taken from its path in the object API.
    pub id: ResourceId,
    /// Store revision of the last write to the object.
    pub version: Revision,
    /// The spec, not yet validated.
    pub spec: Value,
}

/// The result of reading an object: a resource, or the errors in its spec.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Store revision of the last write to the object.
    pub version: Revision,
    /// The resource, or every finding when the spec is not valid.
    pub content: Result<Resource, Vec<Finding>>,
}

impl Candidate {
    /// Reads and validates the spec of an object.
    #[must_use]
    pub fn read(object: &StoredObject) -> Self {
        Self {
            version: object.version,
            content: read_object(&object.id, &object.spec),
        }
    }
}

/// A resource whose latest version or deletion was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Identity of the resource.
    pub id: ResourceId,
    /// The rejected version; `None` when the deletion of the resource was rejected.
    pub version: Option<Revision>,
    /// Every error that led to the rejection.
    pub findings: Vec<Finding>,
    /// True if an earlier version stays in force.
    pub is_last_good_in_force: bool,
}

/// The result of accepting a set of objects: the snapshot in force and the rejections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Acceptance {
    /// The resources in force, at the revision of the objects.
    pub snapshot: Snapshot,
    /// Accepted version of each resource that was accepted as written.
    pub accepted: BTreeMap<ResourceId, Revision>,
    /// Rejected resources, in order of identity.
    pub rejections: Vec<Rejection>,
}

/// Decides which of the platform's objects at `revision` come into force, given the snapshot
/// `last_accepted` that was in force before.
#[must_use]
pub fn accept(
    last_accepted: &Snapshot,
    revision: Revision,
    objects: &[StoredObject],
) -> Acceptance {
    let objects = objects.iter();
    let candidates = objects
        .map(|object| (object.id.clone(), Candidate::read(object)))
        .collect();
    accept_candidates(last_accepted, revision, &candidates)
}

/// Like [`accept`], for objects that were already read.
#[must_use]
pub fn accept_candidates(
    last_accepted: &Snapshot,
    revision: Revision,
    candidates: &BTreeMap<ResourceId, Candidate>,
) -> Acceptance {
    let mut selection = Selection::new(last_accepted);
    for (id, candidate) in candidates {
        selection.add_candidate(id, candidate);
    }
    selection.resolve_errors();
    selection.finish(revision, candidates)
}

/// Working state of one acceptance run.
struct Selection<'a> {
    /// The snapshot in force before, whose versions are restored in place of rejected ones.
    last_accepted: &'a Snapshot,
    /// The resources chosen so far. Once all errors are resolved, they are those of the resulting
    /// snapshot.
    chosen: Snapshot,
    rejected: BTreeMap<ResourceId, Vec<Finding>>,
    /// Resources that were already reset to their last good version.
    restored: BTreeSet<ResourceId>,
}

impl<'a> Selection<'a> {
    fn new(last_accepted: &'a Snapshot) -> Self {
        Self {
            last_accepted,
            chosen: Snapshot::default(),
            rejected: BTreeMap::new(),
            restored: BTreeSet::new(),
        }
    }

    fn add_candidate(&mut self, id: &ResourceId, candidate: &Candidate) {
        match &candidate.content {
            Ok(resource) => self.chosen.insert(resource.clone()),
            Err(findings) => {
                for finding in findings {
                    self.reject(id, finding.clone());
                }
                self.restore(id);
            }
        }
    }

    /// Resolves the errors between the chosen resources in rounds, since restoring or removing a
    /// resource in one round may cause errors in the next. The loop terminates because each step
    /// restores or removes a resource and none is restored twice.
    fn resolve_errors(&mut self) {
        loop {
            let known = KnownResources::of(&self.chosen);
            let findings = find_errors(&self.chosen, &known);
            if findings.is_empty() {
                return;
            }
            let mut handled = BTreeSet::new();
            for finding in &findings {
                self.resolve(finding, &mut handled);
            }
        }
    }

    /// Resolves one error, unless an earlier step of the round has already resolved it.
    fn resolve(&mut self, finding: &Finding, handled: &mut BTreeSet<ResourceId>) {
        let Some(id) = &finding.resource else {
            return;
        };
        if handled.contains(id) {
            self.reject(id, finding.clone());
            return;
        }
        if !self.is_still_present(finding) {
            return;
        }
        if self.is_changed(id) {
            handled.insert(id.clone());
            self.reject(id, finding.clone());
            self.restore(id);
            return;
        }
        if let Some((conflicting, finding)) = self.changed_conflicting_kind(id) {
            self.reject(&conflicting, finding);
            self.restore(&conflicting);
            return;
        }
        match self.missing_target(id) {
            Some(target) if self.can_restore(&target) => {
                self.reject(&target, still_referenced(&target, id));
                self.restore(&target);
            }
            _ => {
                handled.insert(id.clone());
                self.reject(id, finding.clone());
                self.chosen.remove(id);
            }
        }
    }

    /// Returns true if the error is still present after the earlier steps of the round.
    fn is_still_present(&self, finding: &Finding) -> bool {
        let Some(id) = &finding.resource else {
            return false;
        };
        match finding.code {
            ProblemCode::AmbiguousMatch => self.conflicting_kinds(id).next().is_some(),
            _ => self.missing_target(id).is_some(),
        }
    }

    /// Returns true if the chosen resource differs from the last accepted one and was not restored
    /// before.
    fn is_changed(&self, id: &ResourceId) -> bool {
        !self.restored.contains(id) && self.chosen.get(id) != self.last_accepted.get(id)
    }

    fn can_restore(&self, id: &ResourceId) -> bool {
        !self.restored.contains(id) && self.last_accepted.get(id).is_some()
    }

    /// Returns the other request kinds that match the same requests as this one.
    fn conflicting_kinds(&self, id: &ResourceId) -> impl Iterator<Item = &RequestKind> {
        let is_kind = id.kind == ResourceKind::RequestKind;
        let kind = self.chosen.request_kinds.get(&id.name).filter(|_| is_kind);
        let others = self.chosen.request_kinds.values();
        others.filter(move |other| {
            kind.is_some_and(|kind| other.name != kind.name && other.matches_same_as(kind))
        })
    }

    /// Returns a changed request kind that matches the same requests as this one, and the finding
    /// about it.
    fn changed_conflicting_kind(&self, id: &ResourceId) -> Option<(ResourceId, Finding)> {
        let kind = self.chosen.request_kinds.get(&id.name)?;
        self.conflicting_kinds(id)
            .map(|conflicting| {
                (
                    conflicting,
                    ResourceId::new(ResourceKind::RequestKind, &conflicting.name),
                )
            })
            .find(|(_, conflicting_id)| self.is_changed(conflicting_id))
            .map(|(conflicting, conflicting_id)| {
                (conflicting_id, ambiguous_match(conflicting, kind))
            })
    }

    /// Returns the first resource that this one refers to and that does not exist.
    fn missing_target(&self, id: &ResourceId) -> Option<ResourceId> {
        let owner = self.chosen.get(id)?;
        let references = references_of(&owner);
        references
            .into_iter()
            .find(|target| self.chosen.get(target).is_none())
    }

    /// Replaces the chosen version by the last good one, or removes the resource when there is none.
    fn restore(&mut self, id: &ResourceId) {
        self.restored.insert(id.clone());
        self.chosen.remove(id);
        if let Some(resource) = self.last_accepted.get(id) {
            self.chosen.insert(resource);
        }
    }

    fn reject(&mut self, id: &ResourceId, finding: Finding) {
        let findings = self.rejected.entry(id.clone()).or_default();
        if !findings.contains(&finding) {
            findings.push(finding);
        }
    }

    fn finish(
        mut self,
        revision: Revision,
        candidates: &BTreeMap<ResourceId, Candidate>,
    ) -> Acceptance {
        self.chosen.revision = revision;
        let accepted = candidates
            .iter()
            .filter(|(id, _)| !self.rejected.contains_key(id))
            .map(|(id, candidate)| (id.clone(), candidate.version))
            .collect();
        let rejections = self
            .rejected
            .into_iter()
            .map(|(id, findings)| Rejection {
                version: candidates.get(&id).map(|candidate| candidate.version),
                is_last_good_in_force: self.chosen.get(&id).is_some(),
                id,
                findings,
            })
            .collect();
        Acceptance {
            snapshot: self.chosen,
            accepted,
            rejections,
        }
    }
}

fn still_referenced(target: &ResourceId, referrer: &ResourceId) -> Finding {
    let message = format!("deleted while {referrer} refers to it");
    let allowed = "deletion after the last reference";
    Finding::new(ProblemCode::StillReferenced, "", message, allowed).about(target)
}

/// Returns the resources that must exist for this one to be accepted.
fn references_of(resource: &Resource) -> Vec<ResourceId> {
    match resource {
        Resource::Service(service) => {
            let calls = service.calls.iter();
            calls
                .map(|called| ResourceId::new(ResourceKind::Service, called))
                .collect()
        }
        Resource::RequestKind(kind) => {
            let mut targets = vec![ResourceId::new(ResourceKind::Service, &kind.service)];
            if let Some(budget) = &kind.retry_budget {
                targets.push(ResourceId::new(ResourceKind::RetryBudget, budget));
            }
            if kind.idempotency_key_required && !kind.repeatable {
                let group = ResourceId::new(ResourceKind::ClaimGroup, CLAIM_GROUP_NAME);
                targets.push(group);
            }
            targets
        }
        Resource::Drain(drain) => match &drain.target {
            DrainTarget::Service(service) => {
                vec![ResourceId::new(ResourceKind::Service, service)]
            }
            DrainTarget::Backend(_) | DrainTarget::Zone(_) => Vec::new(),
        },
        Resource::RetryBudget(_) | Resource::ClaimGroup(_) => Vec::new(),
    }
}
