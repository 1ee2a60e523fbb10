//! Incremental acceptance of changes to the platform's objects.

use std::collections::BTreeMap;

use crate::acceptance::{Acceptance, Candidate, StoredObject, accept_candidates};
use crate::kinds::ResourceId;
use crate::snapshot::{Revision, Snapshot};

/// Holds the platform's objects and the latest acceptance, and evaluates each change.
///
/// A change whose revision is not above the one in force is ignored: a store that serves an older
/// state reverts nothing.
#[derive(Clone, Debug, Default)]
pub struct Acceptor {
    candidates: BTreeMap<ResourceId, Candidate>,
    acceptance: Acceptance,
}

impl Acceptor {
    /// Creates an acceptor from the snapshot in force, such as one received from a peer. It has no
    /// objects until the first [`Self::replace`].
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

    /// Returns the latest acceptance.
    #[must_use]
    pub const fn acceptance(&self) -> &Acceptance {
        &self.acceptance
    }

    /// Returns the resources in force.
    #[must_use]
    pub const fn snapshot(&self) -> &Snapshot {
        &self.acceptance.snapshot
    }

    /// Replaces all objects by those of the store at `revision` and evaluates them. Returns false
    /// when the list is older than the snapshot in force and was ignored. A list at the revision in
    /// force is evaluated, since a new acceptor does not have its objects yet.
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
        self.evaluate(revision);
        true
    }

    /// Applies a write. Returns false when it is not newer than the snapshot in force and was
    /// ignored.
    pub fn put(&mut self, revision: Revision, object: &StoredObject) -> bool {
        if revision <= self.snapshot().revision {
            return false;
        }
        let candidate = Candidate::read(object);
        self.candidates.insert(object.id.clone(), candidate);
        self.evaluate(revision);
        true
    }

    /// Applies a deletion. Returns false when it is not newer than the snapshot in force and was
    /// ignored.
    pub fn delete(&mut self, revision: Revision, id: &ResourceId) -> bool {
        if revision <= self.snapshot().revision {
            return false;
        }
        self.candidates.remove(id);
        self.evaluate(revision);
        true
    }

    fn evaluate(&mut self, revision: Revision) {
        self.acceptance = accept_candidates(self.snapshot(), revision, &self.candidates);
    }
}
