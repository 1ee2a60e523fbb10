//! Tuning of a router.

use std::time::Duration;

use super::subset::SubsetSettings;

/// Tuning of a [`super::Router`].
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// Time over which a cold endpoint's share grows to its full size.
    pub warm_up: Duration,
    /// Share of a cold endpoint at its start, above 0.0 and up to 1.0.
    pub warm_up_floor: f64,
    /// Cost of the best endpoint of the own zone from which other zones are considered. A cost of
    /// 1.0 is an endpoint that is filled up to its limit and answers as fast as its siblings.
    pub spill_threshold: f64,
    /// How much cheaper an endpoint of another zone must be to be taken.
    pub spill_margin: f64,
    /// Time after which a level that was heard once counts as open again.
    pub level_reopen: Duration,
    /// Age from which a reported load is no longer used.
    pub report_lifetime: Duration,
    /// Share of contradicted reports from which an endpoint's reports carry no weight. A value
    /// above 1.0 trusts every report.
    pub distrust_threshold: f64,
    /// Largest share of the endpoints that may be ejected at a time.
    pub maximum_ejected_share: f64,
    /// Time of a first ejection; each further one takes as much longer.
    pub ejection_base: Duration,
    /// Longest time of an ejection.
    pub ejection_maximum: Duration,
    /// Time for which an endpoint that refused as leaving gets nothing.
    pub leaving_hold: Duration,
    /// Time for which an endpoint that refused a connection gets nothing.
    pub connection_hold: Duration,
    /// Retry-After when nothing better is known.
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
