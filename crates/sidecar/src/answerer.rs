//! What other sidecars ask of this one and tell it, handed to who knows.

use std::sync::Arc;

use wharfquay_core::quarantine::{RequestEnd, RequestFingerprint};

use crate::confirmation::Confirmation;
use crate::exchange::{Answer, Notice, Question, Reply};
use crate::quarantine::Quarantine;
use crate::quota::QuotaOwner;

/// Answers the questions of other sidecars.
pub(crate) struct Answerer {
    pub(crate) confirmation: Arc<Confirmation>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) owner: QuotaOwner,
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
        }
    }

    fn take(&self, notice: &Notice) {
        match notice {
            Notice::Quarantine(reports) => self.quarantine.learn(reports),
            // The exchange has taken in the era.
            Notice::StoreRestored => {}
        }
    }
}
