//! Priority inversions: refusals of important requests while less important ones were served.

use std::collections::BTreeSet;

use super::recovery::Buckets;
use crate::scenario::RequestModel;

/// Counts the refused requests of one kind that can each be paired with a less important request
/// which arrived in the same bucket, needs a common service and got a complete response in time.
///
/// The count is an upper bound of the violations of priority, because a refusal may be due to a
/// service that the other request doesn't need.
pub(super) fn count(
    model: &RequestModel,
    buckets: &Buckets,
    others: &[(&RequestModel, &Buckets)],
) -> u64 {
    let mut served = Buckets::default();
    for (other, other_buckets) in others {
        if other.priority > model.priority && share_a_service(model, other) {
            served.add(other_buckets);
        }
    }
    let pairs = buckets.refused_counts().zip(served.complete_counts());
    pairs.map(|(refused, complete)| refused.min(complete)).sum()
}

fn share_a_service(one: &RequestModel, other: &RequestModel) -> bool {
    let services = |model: &RequestModel| -> BTreeSet<String> {
        let steps = model.steps.iter();
        steps.map(|step| step.service.clone()).collect()
    };
    !services(one).is_disjoint(&services(other))
}
