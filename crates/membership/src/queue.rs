//! Queue of member updates to gossip, each transmitted a bounded number of times.

use std::collections::BTreeMap;

use ciborium::into_writer;

use crate::member::MemberId;
use crate::message::Update;

/// Maximum number of queued updates. Above it the routine updates sent most often are dropped;
/// anti-entropy distributes them instead.
const MAX_QUEUED: usize = 2_048;

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: Update,
    length: usize,
    transmissions_left: u32,
    urgent: bool,
}

/// Queued updates, at most one per member.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateQueue {
    queued: BTreeMap<MemberId, QueuedUpdate>,
}

impl UpdateQueue {
    /// Adds an update, replacing an earlier one about the same member.
    pub(crate) fn push(&mut self, update: Update, transmissions: u32, urgent: bool) {
        let length = encoded_length(&update);
        let queued = QueuedUpdate {
            update,
            length,
            transmissions_left: transmissions,
            urgent,
        };
        self.queued.insert(queued.update.id.clone(), queued);
        if self.queued.len() > MAX_QUEUED {
            self.drop_most_transmitted();
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Returns true if an urgent update is queued.
    pub(crate) fn has_urgent(&self) -> bool {
        self.queued.values().any(|queued| queued.urgent)
    }

    /// Takes updates of at most `bytes` bytes in total for `copies` messages. Urgent updates come
    /// first, then those transmitted least often.
    pub(crate) fn take(&mut self, bytes: usize, copies: u32, urgent_only: bool) -> Vec<Update> {
        let mut order: Vec<(bool, u32, MemberId)> = self
            .queued
            .iter()
            .filter(|(_, queued)| queued.urgent || !urgent_only)
            .map(|(id, queued)| {
                (
                    !queued.urgent,
                    u32::MAX - queued.transmissions_left,
                    id.clone(),
                )
            })
            .collect();
        order.sort_unstable();
        let mut remaining = bytes;
        let mut taken = Vec::new();
        for (_, _, id) in order {
            let Some(update) = self.take_one(&id, &mut remaining, copies) else {
                break;
            };
            taken.push(update);
        }
        taken
    }

    fn take_one(&mut self, id: &MemberId, remaining: &mut usize, copies: u32) -> Option<Update> {
        let queued = self.queued.get_mut(id)?;
        *remaining = remaining.checked_sub(queued.length)?;
        let update = queued.update.clone();
        queued.transmissions_left = queued.transmissions_left.saturating_sub(copies);
        if queued.transmissions_left == 0 {
            self.queued.remove(id);
        }
        Some(update)
    }

    fn drop_most_transmitted(&mut self) {
        let most_transmitted = self
            .queued
            .iter()
            .min_by_key(|(_, queued)| (queued.urgent, queued.transmissions_left))
            .map(|(id, _)| id.clone());
        if let Some(id) = most_transmitted {
            self.queued.remove(&id);
        }
    }
}

/// Returns the encoded length of an update within a message, in bytes.
pub(crate) fn encoded_length(update: &Update) -> usize {
    let mut bytes = Vec::with_capacity(160);
    // Writing to a Vec can't fail, and CBOR can express every type in an update.
    match into_writer(update, &mut bytes) {
        Ok(()) => bytes.len(),
        Err(_) => usize::MAX,
    }
}
