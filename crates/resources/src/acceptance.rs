//! Acceptance of the platform's objects: which resources come into force and which are rejected.
//!
//! A rejected resource keeps its last good version in force, so that one bad write can't take away
//! what serves traffic. The result depends only on the arguments, so that two daemons that see the
//! same objects after the same snapshot accept the same.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use crate::kinds::{DrainTarget, RequestKind, Resource, ResourceId, ResourceKind};
use crate::problem::{Finding, ProblemCode};
use crate::snapshot::{CLAIM_GROUP_IN_USE, Revision, Snapshot};
use crate::spec::read_object;
use crate::validate::{KnownResources, ambiguous_match, find_errors};

/// An object as the platform holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredObject {
    /// Identity, from the object's path.
    pub id: ResourceId,
    /// Revision of the store at which the object was last written.
    pub version: Revision,
    /// The spec, not yet checked.
    pub spec: Value,
}

/// An object that has been read: a resource, or what is wrong with it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Revision of the store at which the object was last written.
    pub version: Revision,
    /// The resource; every finding when the object is none.
    pub content: Result<Resource, Vec<Finding>>,
}

impl Candidate {
    /// Reads an object.
    #[must_use]
    pub fn read(object: &StoredObject) -> Self {
        Self {
            version: object.version,
            content: read_object(&object.id, &object.spec),
        }
    }
}

/// A resource that is not in force as written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The resource.
    pub id: ResourceId,
    /// Version that was rejected; `None` when the deletion of the resource was.
    pub version: Option<Revision>,
    /// Every reason.
    pub findings: Vec<Finding>,
    /// Whether an earlier version stays in force.
    pub is_last_good_in_force: bool,
}

/// What comes into force and what does not.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Acceptance {
    /// The resources in force, at the revision of the objects.
    pub snapshot: Snapshot,
    /// Versions that were accepted as written.
    pub accepted: BTreeMap<ResourceId, Revision>,
    /// What was rejected, in order of identity.
    pub rejections: Vec<Rejection>,
}

/// Decides which of the platform's objects at `revision` come into force after `last_accepted`.
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

/// As [`accept`], for objects that have been read before.
#[must_use]
pub fn accept_candidates(
    last_accepted: &Snapshot,
    revision: Revision,
    candidates: &BTreeMap<ResourceId, Candidate>,
) -> Acceptance {
    let mut selection = Selection::new(last_accepted);
    for (id, candidate) in candidates {
        selection.offer(id, candidate);
    }
    selection.resolve_errors();
    selection.finish(revision, candidates)
}

/// The resources chosen so far.
struct Selection<'a> {
    last: &'a Snapshot,
    chosen: Snapshot,
    rejected: BTreeMap<ResourceId, Vec<Finding>>,
    /// Resources that were already put back to their last good version.
    restored: BTreeSet<ResourceId>,
}

impl<'a> Selection<'a> {
    fn new(last: &'a Snapshot) -> Self {
        Self {
            last,
            chosen: Snapshot::default(),
            rejected: BTreeMap::new(),
            restored: BTreeSet::new(),
        }
    }

    fn offer(&mut self, id: &ResourceId, candidate: &Candidate) {
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

    /// Makes the errors between the chosen resources disappear, round by round: what is put back or
    /// dropped in one round may cause errors in the next. Each step restores or drops a resource,
    /// and none is restored twice, so that the rounds end.
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

    /// Makes one error disappear, unless an earlier step of the round has done so.
    fn resolve(&mut self, finding: &Finding, handled: &mut BTreeSet<ResourceId>) {
        let Some(id) = &finding.resource else {
            return;
        };
        if handled.contains(id) {
            self.reject(id, finding.clone());
            return;
        }
        if !self.still_holds(finding) {
            return;
        }
        if self.is_changed(id) {
            handled.insert(id.clone());
            self.reject(id, finding.clone());
            self.restore(id);
            return;
        }
        if let Some((rival, finding)) = self.changed_rival(id) {
            self.reject(&rival, finding);
            self.restore(&rival);
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

    /// Whether the error is still there after the earlier steps of the round.
    fn still_holds(&self, finding: &Finding) -> bool {
        let Some(id) = &finding.resource else {
            return false;
        };
        match finding.code {
            ProblemCode::AmbiguousMatch => self.rivals(id).next().is_some(),
            _ => self.missing_target(id).is_some(),
        }
    }

    /// Whether the chosen resource is a newer one than the last accepted and may be put back.
    fn is_changed(&self, id: &ResourceId) -> bool {
        !self.restored.contains(id) && self.chosen.get(id) != self.last.get(id)
    }

    fn can_restore(&self, id: &ResourceId) -> bool {
        !self.restored.contains(id) && self.last.get(id).is_some()
    }

    /// The other request kinds that match the same requests as this one.
    fn rivals(&self, id: &ResourceId) -> impl Iterator<Item = &RequestKind> {
        let is_kind = id.kind == ResourceKind::RequestKind;
        let kind = self.chosen.request_kinds.get(&id.name).filter(|_| is_kind);
        let others = self.chosen.request_kinds.values();
        others.filter(move |other| {
            kind.is_some_and(|kind| other.name != kind.name && other.matches_same_as(kind))
        })
    }

    /// A newer request kind that matches the same requests as this one, and the finding about it.
    fn changed_rival(&self, id: &ResourceId) -> Option<(ResourceId, Finding)> {
        let kind = self.chosen.request_kinds.get(&id.name)?;
        self.rivals(id)
            .map(|rival| {
                (
                    rival,
                    ResourceId::new(ResourceKind::RequestKind, &rival.name),
                )
            })
            .find(|(_, rival_id)| self.is_changed(rival_id))
            .map(|(rival, rival_id)| (rival_id, ambiguous_match(rival, kind)))
    }

    /// A resource that this one refers to and that is not there.
    fn missing_target(&self, id: &ResourceId) -> Option<ResourceId> {
        let owner = self.chosen.get(id)?;
        let references = references_of(&owner);
        references
            .into_iter()
            .find(|target| self.chosen.get(target).is_none())
    }

    /// Puts the last good version in place of the chosen one; drops it when there is none.
    fn restore(&mut self, id: &ResourceId) {
        self.restored.insert(id.clone());
        self.chosen.remove(id);
        if let Some(resource) = self.last.get(id) {
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

fn still_referenced(target: &ResourceId, user: &ResourceId) -> Finding {
    let message = format!("deleted while {user} refers to it");
    let allowed = "deletion after the last reference";
    Finding::new(ProblemCode::StillReferenced, "", message, allowed).about(target)
}

/// The resources that must exist for this one to be accepted.
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
                let group = ResourceId::new(ResourceKind::ClaimGroup, CLAIM_GROUP_IN_USE);
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
