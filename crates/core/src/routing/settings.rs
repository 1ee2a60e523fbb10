//! Settings of a router.

use std::time::Duration;

use super::subset::SubsetSettings;

/// Tuning of a [`super::Router`].
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// Time over which the share of a cold endpoint grows to its full size.
    pub warm_up: Duration,
    /// Share of a cold endpoint at its start, above 0.0 and up to 1.0.
    pub warm_up_floor: f64,
    /// Cost of the picked endpoint in the local zone from which other zones are considered. A cost
    /// of 1.0 is an endpoint that is filled up to its limit and responds as fast as its siblings.
    pub spill_threshold: f64,
    /// Cost difference by which an endpoint of another zone must be cheaper to be picked.
    pub spill_margin: f64,
    /// Time after which a received level that is not received again counts as open.
    pub level_reopen: Duration,
    /// Age from which a reported load is not used.
    pub report_lifetime: Duration,
    /// Share of contradicted reports from which an endpoint's reports are ignored. A value above
    /// 1.0 trusts every report.
    pub distrust_threshold: f64,
    /// Maximum share of the endpoints that may be ejected at a time.
    pub maximum_ejected_share: f64,
    /// Duration of the first ejection; the n-th ejection lasts n times as long.
    pub ejection_base: Duration,
    /// Maximum duration of an ejection.
    pub ejection_maximum: Duration,
    /// Duration of the hold on an endpoint that refused a call as leaving.
    pub leaving_hold: Duration,
    /// Duration of the hold on an endpoint that refused a connection.
    pub connection_hold: Duration,
    /// Retry-After when no estimate is available.
    pub default_retry_after: Duration,
    /// Restriction to a part of the endpoints; `None` uses them all.
    pub subset: Option<SubsetSettings>,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            warm_up: Duration::from_secs(5),
            warm_up_floor: 0.1,
            spill_threshold: 0.8,
            spill_margin: 0.2,
            level_reopen: Duration::from_millis(500),
            report_lifetime: Duration::from_secs(1),
            distrust_threshold: 0.3,
            maximum_ejected_share: 0.3,
            ejection_base: Duration::from_secs(1),
            ejection_maximum: Duration::from_secs(30),
            leaving_hold: Duration::from_secs(5),
            connection_hold: Duration::from_millis(200),
            default_retry_after: Duration::from_secs(1),
            subset: None,
        }
    }
}
