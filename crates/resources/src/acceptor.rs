//! Acceptance that goes on from change to change.

use std::collections::BTreeMap;

use crate::acceptance::{Acceptance, Candidate, StoredObject, accept_candidates};
use crate::kinds::ResourceId;
use crate::snapshot::{Revision, Snapshot};

/// Keeps the platform's objects and what was accepted last, and judges each change.
///
/// A change whose revision is not above the last one is ignored, so that a store that answers from
/// an older state takes nothing back.
#[derive(Clone, Debug, Default)]
pub struct Acceptor {
    candidates: BTreeMap<ResourceId, Candidate>,
    acceptance: Acceptance,
}

impl Acceptor {
    /// Goes on from a snapshot that is in force, such as one from a peer. The objects come with the
    /// first [`Self::replace`].
    #[must_use]
    pub fn new(in_force: Snapshot) -> Self {
        Self {
            candidates: BTreeMap::new(),
            acceptance: Acceptance {
                snapshot: in_force,
                ..Acceptance::default()
            },
        }
    }

    /// What was decided last.
    #[must_use]
    pub const fn acceptance(&self) -> &Acceptance {
        &self.acceptance
    }

    /// The resources in force.
    #[must_use]
    pub const fn snapshot(&self) -> &Snapshot {
        &self.acceptance.snapshot
    }

    /// Judges all objects of the store at `revision`; false when the list is older than what is in
    /// force and was ignored. A list of the revision in force is judged, since a new acceptor does
    /// not have its objects yet.
    pub fn replace(
        &mut self,
        revision: Revision,
        objects: impl IntoIterator<Item = StoredObject>,
    ) -> bool {
        if revision < self.snapshot().revision {
            return false;
        }
        let objects = objects.into_iter();
        self.candidates = objects
            .map(|object| (object.id.clone(), Candidate::read(&object)))
            .collect();
        self.judge(revision);
        true
    }

    /// Judges a write; false when it is not newer than what is in force and was ignored.
    pub fn put(&mut self, revision: Revision, object: &StoredObject) -> bool {
        if revision <= self.snapshot().revision {
            return false;
        }
        let candidate = Candidate::read(object);
        self.candidates.insert(object.id.clone(), candidate);
        self.judge(revision);
        true
    }

    /// Judges a deletion; false when it is not newer than what is in force and was ignored.
    pub fn delete(&mut self, revision: Revision, id: &ResourceId) -> bool {
        if revision <= self.snapshot().revision {
            return false;
        }
        self.candidates.remove(id);
        self.judge(revision);
        true
    }

    fn judge(&mut self, revision: Revision) {
        self.acceptance = accept_candidates(self.snapshot(), revision, &self.candidates);
    }
}
