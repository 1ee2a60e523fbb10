//! Bounded store of a replica's votes and outcomes by key.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

use serde::{Deserialize, Serialize};

use crate::call::IdempotencyKey;
use crate::idempotency::claim::message::{ClaimId, Fingerprint, OutcomeRecord, RecordedOutcome};

/// Maximum number of abandoned claims that are kept per key. A claim dropped from this list can at
/// worst take a vote again, which blocks the key but never dispatches a request.
const MAX_ABANDONED_CLAIMS: usize = 8;

/// A vote that a replica has cast.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CastVote {
    /// The claim that holds the vote.
    #[serde(rename = "i")]
    pub claim: ClaimId,
    /// Fingerprint of the request for which the claim was made.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
}

/// State of a replica's vote on a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ballot {
    /// Not cast, or withdrawn by its coordinator.
    #[default]
    #[serde(rename = "o")]
    Open,
    /// Cast for a claim.
    #[serde(rename = "c")]
    Cast(CastVote),
    /// Taken over from an earlier group in which more than one claim may have won.
    #[serde(rename = "x")]
    Contested,
}

/// State of one key at a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// State of the vote on the key.
    #[serde(rename = "b")]
    pub ballot: Ballot,
    /// Abandoned claims, which a delayed message must not allow to take the vote again.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub abandoned: Vec<ClaimId>,
    /// Outcome of the request; `None` until it is known.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<OutcomeRecord>,
}

impl Record {
    /// Withdraws a claim and records it as abandoned.
    pub fn abandon(&mut self, claim: ClaimId) {
        if matches!(self.ballot, Ballot::Cast(vote) if vote.claim == claim) {
            self.ballot = Ballot::Open;
        }
        if self.abandoned.contains(&claim) {
            return;
        }
        if self.abandoned.len() >= MAX_ABANDONED_CLAIMS {
            self.abandoned.remove(0);
        }
        self.abandoned.push(claim);
    }

    /// Returns true if the record contains nothing but withdrawn claims. Such a record can be
    /// dropped safely at any time.
    const fn is_withdrawn(&self) -> bool {
        matches!(self.ballot, Ballot::Open) && self.outcome.is_none()
    }

    /// Returns the size of the recorded response content in bytes.
    fn content_length(&self) -> usize {
        match self.outcome.as_ref().map(|record| &record.outcome) {
            Some(RecordedOutcome::Responded(response)) => {
                response.content.as_ref().map_or(0, |content| content.len())
            }
            Some(RecordedOutcome::Lost) | None => 0,
        }
    }

    /// Drops the content of the recorded response; its status stays.
    fn drop_content(&mut self) {
        if let Some(record) = &mut self.outcome
            && let RecordedOutcome::Responded(response) = &mut record.outcome
        {
            response.content = None;
        }
    }
}

/// Records by key. Keys sort by their creation time, so the first one expires first.
#[derive(Clone, Debug)]
pub struct RecordStore {
    records: BTreeMap<IdempotencyKey, Record>,
    /// Keys whose claims were withdrawn, oldest withdrawal first; some may have been claimed again.
    withdrawn: VecDeque<IdempotencyKey>,
    content_bytes: usize,
    maximum_records: usize,
    maximum_content_bytes: usize,
}

impl RecordStore {
    /// Creates an empty store of at most `maximum_records` records, which together hold at most
    /// `maximum_content_bytes` bytes of response content.
    #[must_use]
    pub const fn new(maximum_records: usize, maximum_content_bytes: usize) -> Self {
        Self {
            records: BTreeMap::new(),
            withdrawn: VecDeque::new(),
            content_bytes: 0,
            maximum_records,
            maximum_content_bytes,
        }
    }

    /// Returns the record of a key.
    #[must_use]
    pub fn get(&self, key: IdempotencyKey) -> Option<&Record> {
        self.records.get(&key)
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the bytes of recorded response content.
    #[must_use]
    pub const fn content_bytes(&self) -> usize {
        self.content_bytes
    }

    /// Returns the record of a key, created if absent; `None` if the store is full of records that
    /// must be kept.
    pub fn entry(&mut self, key: IdempotencyKey) -> Option<&mut Record> {
        let full = self.records.len() >= self.maximum_records;
        if full && !self.records.contains_key(&key) && !self.drop_withdrawn() {
            return None;
        }
        Some(self.records.entry(key).or_default())
    }

    /// Drops the record whose claims were withdrawn first. Returns false if there is none.
    fn drop_withdrawn(&mut self) -> bool {
        while let Some(key) = self.withdrawn.pop_front() {
            if self.records.get(&key).is_some_and(Record::is_withdrawn) {
                self.records.remove(&key);
                return true;
            }
        }
        false
    }

    /// Withdraws a claim on a key.
    pub fn abandon(&mut self, key: IdempotencyKey, claim: ClaimId) {
        let Some(record) = self.entry(key) else {
            return;
        };
        record.abandon(claim);
        if record.is_withdrawn() {
            self.record_withdrawn(key);
        }
    }

    fn record_withdrawn(&mut self, key: IdempotencyKey) {
        if self.withdrawn.len() >= self.maximum_records {
            self.withdrawn.pop_front();
        }
        self.withdrawn.push_back(key);
    }

    /// Stores the first outcome of a key, without the response content if there is no room for it.
    /// Returns true if an outcome is stored.
    pub fn store_outcome(&mut self, key: IdempotencyKey, outcome: OutcomeRecord) -> bool {
        let room = self.maximum_content_bytes - self.content_bytes;
        let Some(record) = self.entry(key) else {
            return false;
        };
        if record.outcome.is_some() {
            return true;
        }
        record.outcome = Some(outcome);
        if record.content_length() > room {
            record.drop_content();
        }
        self.content_bytes += record.content_length();
        true
    }

    /// Returns the key that expires first.
    #[must_use]
    pub fn oldest(&self) -> Option<IdempotencyKey> {
        self.records.keys().next().copied()
    }

    /// Removes the record that expires first.
    pub fn remove_oldest(&mut self) -> Option<IdempotencyKey> {
        let (key, record) = self.records.pop_first()?;
        self.content_bytes -= record.content_length();
        Some(key)
    }

    /// Returns the records after `after`, or all, in ascending order of their keys.
    pub fn range_after(
        &self,
        after: Option<IdempotencyKey>,
    ) -> impl Iterator<Item = (IdempotencyKey, &Record)> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.records
            .range((start, Bound::Unbounded))
            .map(|(key, record)| (*key, record))
    }

    /// Replaces all records. Returns the keys for which there was no room, oldest first.
    pub fn replace(&mut self, records: BTreeMap<IdempotencyKey, Record>) -> Vec<IdempotencyKey> {
        let mut dropped = Vec::new();
        self.records = records;
        while self.records.len() > self.maximum_records {
            dropped.extend(self.records.pop_first().map(|(key, _)| key));
        }
        let withdrawn = self.records.iter().filter(|(_, one)| one.is_withdrawn());
        self.withdrawn = withdrawn.map(|(key, _)| *key).collect();
        self.content_bytes = 0;
        for record in self.records.values_mut().rev() {
            if self.content_bytes + record.content_length() > self.maximum_content_bytes {
                record.drop_content();
            }
            self.content_bytes += record.content_length();
        }
        dropped
    }
}
