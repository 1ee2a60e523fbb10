//! Reports about members that wait to be passed on, each a bounded number of times.

use std::collections::BTreeMap;

use ciborium::into_writer;

use crate::member::MemberId;
use crate::message::Update;

/// Most reports that wait; beyond it routine reports that were sent most are left to anti-entropy.
const CAPACITY: usize = 2_048;

#[derive(Clone, Debug)]
struct Waiting {
    update: Update,
    length: usize,
    transmissions_left: u32,
    urgent: bool,
}

/// The reports that wait, at most one for each member.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateQueue {
    waiting: BTreeMap<MemberId, Waiting>,
}

impl UpdateQueue {
    /// Puts a report in place of an earlier one about the same member.
    pub(crate) fn push(&mut self, update: Update, transmissions: u32, urgent: bool) {
        let length = encoded_length(&update);
        let waiting = Waiting {
            update,
            length,
            transmissions_left: transmissions,
            urgent,
        };
        self.waiting.insert(waiting.update.id.clone(), waiting);
        if self.waiting.len() > CAPACITY {
            self.drop_most_sent();
        }
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether an urgent report waits.
    pub(crate) fn has_urgent(&self) -> bool {
        self.waiting.values().any(|waiting| waiting.urgent)
    }

    /// Takes reports of at most `bytes` bytes in total for `copies` messages: urgent ones first,
    /// then those sent least.
    pub(crate) fn take(&mut self, bytes: usize, copies: u32, urgent_only: bool) -> Vec<Update> {
        let mut order: Vec<(bool, u32, MemberId)> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.urgent || !urgent_only)
            .map(|(id, waiting)| {
                (
                    !waiting.urgent,
                    u32::MAX - waiting.transmissions_left,
                    id.clone(),
                )
            })
            .collect();
        order.sort_unstable();
        let mut left = bytes;
        let mut taken = Vec::new();
        for (_, _, id) in order {
            let Some(update) = self.take_one(&id, &mut left, copies) else {
                break;
            };
            taken.push(update);
        }
        taken
    }

    fn take_one(&mut self, id: &MemberId, left: &mut usize, copies: u32) -> Option<Update> {
        let waiting = self.waiting.get_mut(id)?;
        *left = left.checked_sub(waiting.length)?;
        let update = waiting.update.clone();
        waiting.transmissions_left = waiting.transmissions_left.saturating_sub(copies);
        if waiting.transmissions_left == 0 {
            self.waiting.remove(id);
        }
        Some(update)
    }

    fn drop_most_sent(&mut self) {
        let most_sent = self
            .waiting
            .iter()
            .min_by_key(|(_, waiting)| (waiting.urgent, waiting.transmissions_left))
            .map(|(id, _)| id.clone());
        if let Some(id) = most_sent {
            self.waiting.remove(&id);
        }
    }
}

/// Bytes that a report takes inside a message.
pub(crate) fn encoded_length(update: &Update) -> usize {
    let mut bytes = Vec::with_capacity(160);
    // Writing to a Vec can't fail, and a report holds no type that CBOR lacks.
    match into_writer(update, &mut bytes) {
        Ok(()) => bytes.len(),
        Err(_) => usize::MAX,
    }
}
