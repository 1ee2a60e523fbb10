//! What other sidecars ask of this one and tell it, handed to who knows.

use std::sync::Arc;
use std::time::Duration;

use wharfquay_core::idempotency::clock::UnixMillis;
use wharfquay_core::quarantine::{RequestEnd, RequestFingerprint};

use crate::confirmation::Confirmation;
use crate::exchange::{Answer, Notice, Question, Reply};
use crate::instance::{DepartureIndex, InstanceId};
use crate::quarantine::Quarantine;
use crate::quota::QuotaOwner;

/// Answers the questions of other sidecars.
pub(crate) struct Answerer {
    pub(crate) confirmation: Arc<Confirmation>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) owner: QuotaOwner,
    pub(crate) departures: Arc<DepartureIndex>,
}

impl Answer for Answerer {
    fn answer(&self, question: &Question) -> Reply {
        match question {
            Question::Confirmation => self.confirmation.reply(),
            Question::Tokens { tenant, wanted } => self.owner.grant(tenant, *wanted),
            Question::Ends { instance, requests } => {
                let end = |(fingerprint, was_isolated): &(RequestFingerprint, bool)| RequestEnd {
                    fingerprint: *fingerprint,
                    instance: *instance,
                    was_isolated: *was_isolated,
                };
                let ends: Vec<RequestEnd> = requests.iter().map(end).collect();
                self.quarantine.count_ends(&ends);
                Reply::Noted
            }
            Question::Answered(fingerprint) => {
                self.quarantine.forget_ends(*fingerprint);
                Reply::Noted
            }
            Question::Quarantined { digest } => self.quarantine.reply(*digest),
            Question::Departed {
                name,
                born_ms,
                lived_ms,
                is_to_read,
            } => {
                let instance = InstanceId::new(name, born_ms.map(UnixMillis::new));
                let lived = Duration::from_millis(*lived_ms);
                self.departures.reply(&instance, lived, *is_to_read)
            }
        }
    }

    fn take(&self, notice: &Notice) {
        match notice {
            Notice::Quarantine(reports) => self.quarantine.learn(reports),
            Notice::Departed { name, born_ms } => {
                let instance = InstanceId::new(name, born_ms.map(UnixMillis::new));
                self.departures.told(&instance);
            }
            // The exchange has taken in the era.
            Notice::StoreRestored => {}
        }
    }
}
