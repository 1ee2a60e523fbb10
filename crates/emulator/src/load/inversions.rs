//! Refusals of important requests beside answers to less important ones.

use std::collections::BTreeSet;

use super::recovery::Buckets;
use crate::scenario::RequestModel;

/// Refused requests of one kind, for each of which a less important request that arrived in the
/// same bucket was answered whole in time though it needs a service that the refused one needs.
///
/// This is an upper bound of what priority promises: the refusal may be due to a service that the
/// other request doesn't need.
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
    let pairs = buckets.refused_counts().zip(served.whole_counts());
    pairs.map(|(refused, whole)| refused.min(whole)).sum()
}

fn share_a_service(one: &RequestModel, other: &RequestModel) -> bool {
    let services = |model: &RequestModel| -> BTreeSet<String> {
        let steps = model.steps.iter();
        steps.map(|step| step.service.clone()).collect()
    };
    !services(one).is_disjoint(&services(other))
}
