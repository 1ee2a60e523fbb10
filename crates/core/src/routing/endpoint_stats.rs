//! Statistics of an endpoint's behaviour, compared with the load that it reports.

use std::time::Duration;

use crate::outcome::OutcomeClass;
use crate::time::Timestamp;

use super::observation::Observation;
use super::reference::Reference;

/// Weight of one observation in the moving averages.
const OBSERVATION_WEIGHT: f64 = 0.1;
/// Reported utilisation below which an endpoint claims to have free capacity.
const CLAIMS_CAPACITY_BELOW: f64 = 0.8;
/// Latency, as a multiple of the siblings', that contradicts a claim of free capacity.
const SLOW_RATIO: f64 = 2.0;
/// Bounds of the latency ratio in the cost.
const LATENCY_RATIO_BOUNDS: (f64, f64) = (0.5, 16.0);
/// Additional cost of an endpoint that always refuses as overloaded, as a multiple of the cost of
/// one that never does.
const OVERLOAD_PENALTY: f64 = 4.0;
/// Additional cost of an endpoint that always fails, as a multiple of the cost of one that never
/// does.
const FAILURE_PENALTY: f64 = 16.0;
/// Additional cost of an endpoint that always responds with an error, as a multiple of the cost of
/// one that never does. Such a response may be caused by a service further down, which is why it
/// never ejects the endpoint.
const ERROR_PENALTY: f64 = 4.0;
/// Time after which the observations of an endpoint that gets no calls have no influence.
const FORGET_AFTER: Duration = Duration::from_secs(5);
/// Observations required before an endpoint can be ejected.
const MIN_EJECTION_OBSERVATIONS: u32 = 5;
/// Share of failures from which an endpoint is ejected.
const EJECTION_FAILURE_SHARE: f64 = 0.5;
/// Observations required before earlier ejections are forgotten.
const RELIABLE_OBSERVATIONS: u32 = 50;
/// Share of failures below which earlier ejections are forgotten.
const RELIABLE_FAILURE_SHARE: f64 = 0.05;

/// Moving averages over the attempts at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EndpointStats {
    latency_micros: Option<f64>,
    contradicted: f64,
    overloaded: f64,
    errors: f64,
    failed: f64,
    observations: u32,
    observed_at: Timestamp,
}

impl EndpointStats {
    /// Records one attempt; `claimed` is the utilisation that the endpoint had reported before.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        observation: &Observation,
        claimed: Option<f64>,
        reference: &Reference,
    ) {
        let influence = self.influence(now);
        self.decay(now);
        let contradicted = claimed.is_some_and(|claimed| claimed < CLAIMS_CAPACITY_BELOW)
            && contradicts_capacity(observation, reference);
        blend(&mut self.contradicted, contradicted);
        blend(&mut self.overloaded, observation.overloaded);
        blend(&mut self.errors, observation.error_response);
        if !observation.overloaded {
            self.blend_failure(observation.is_failure());
        }
        self.blend_latency(observation, influence);
        self.observations = self.observations.saturating_add(1);
    }

    /// Returns the mean latency of the responses, in microseconds.
    pub(super) const fn latency_micros(&self) -> Option<f64> {
        self.latency_micros
    }

    /// Returns how much the endpoint's reports are discounted: 0.0 not at all, 1.0 entirely.
    pub(super) fn distrust(&self, now: Timestamp, threshold: f64) -> f64 {
        if threshold > 1.0 {
            return 0.0;
        }
        let share = self.contradicted * self.influence(now);
        (share / threshold.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
    }

    /// Returns the factor by which observed slowness, refusals, errors and failures raise the
    /// endpoint's cost.
    pub(super) fn cost_factor(&self, now: Timestamp, reference: &Reference) -> f64 {
        let ratio = self.latency_ratio(reference);
        let slowness = 1.0 + (ratio - 1.0) * self.influence(now);
        slowness * self.failure_factor(now)
    }

    /// Returns the factor by which refusals, errors and failures raise the endpoint's cost.
    pub(super) fn failure_factor(&self, now: Timestamp) -> f64 {
        let influence = self.influence(now);
        let refusals = 1.0 + OVERLOAD_PENALTY * self.overloaded * influence;
        let errors = 1.0 + ERROR_PENALTY * self.errors * influence;
        let failures = 1.0 + FAILURE_PENALTY * self.failed * influence;
        refusals * errors * failures
    }

    /// Returns true if enough attempts failed to eject the endpoint.
    pub(super) fn should_eject(&self) -> bool {
        self.observations >= MIN_EJECTION_OBSERVATIONS && self.failed >= EJECTION_FAILURE_SHARE
    }

    /// Returns true if a long run of attempts contained almost no failure.
    pub(super) fn is_reliable(&self) -> bool {
        self.observations >= RELIABLE_OBSERVATIONS && self.failed < RELIABLE_FAILURE_SHARE
    }

    /// Restarts the failure count after an ejection.
    pub(super) fn reset_failures(&mut self) {
        self.failed = 0.0;
        self.observations = 0;
    }

    fn latency_ratio(&self, reference: &Reference) -> f64 {
        let (Some(own), Some(siblings)) = (self.latency_micros, reference.latency_micros()) else {
            return 1.0;
        };
        let (least, most) = LATENCY_RATIO_BOUNDS;
        (own / siblings.max(1.0)).clamp(least, most)
    }

    fn blend_failure(&mut self, failed: bool) {
        blend(&mut self.failed, failed);
        if failed {
            // A failure counts twice, so the share rises faster than it falls: five failures in a
            // row reach the ejection share.
            blend(&mut self.failed, true);
        }
    }

    /// Adds a latency to the average; the older the average, the larger the weight of the new
    /// value.
    fn blend_latency(&mut self, observation: &Observation, influence: f64) {
        let latency = observation.latency.as_micros() as f64;
        let mean = self.latency_micros.unwrap_or(latency);
        let weight = OBSERVATION_WEIGHT.max(1.0 - influence);
        let sample = match observation.outcome {
            OutcomeClass::NotRun => return,
            OutcomeClass::Run if observation.error_response && self.latency_micros.is_none() => {
                return;
            }
            OutcomeClass::Run if !observation.error_response => latency,
            // The attempt was cut short or gave up early, so its latency is a lower bound.
            OutcomeClass::Run | OutcomeClass::Unknown => latency.max(mean),
        };
        self.latency_micros = Some(lerp(mean, sample, weight));
    }

    fn decay(&mut self, now: Timestamp) {
        let influence = self.influence(now);
        self.contradicted *= influence;
        self.overloaded *= influence;
        self.errors *= influence;
        self.failed *= influence;
        self.observed_at = now;
    }

    /// Returns the weight of the averages at `now`: 1.0 just after an observation, 0.0 when
    /// forgotten.
    fn influence(&self, now: Timestamp) -> f64 {
        let age = now.saturating_since(self.observed_at).as_secs_f64();
        (1.0 - age / FORGET_AFTER.as_secs_f64()).max(0.0)
    }
}

fn contradicts_capacity(observation: &Observation, reference: &Reference) -> bool {
    let is_lost = observation.outcome == OutcomeClass::Unknown;
    if observation.overloaded || observation.error_response || is_lost {
        return true;
    }
    let latency = observation.latency.as_micros() as f64;
    // An execution that the endpoint itself reports to take long contradicts nothing.
    let execution = observation.load.and_then(|load| load.execution);
    let reported = execution.map_or(0.0, |execution| execution.expected.as_micros() as f64);
    reference
        .latency_micros()
        .is_some_and(|siblings| latency > siblings.max(reported) * SLOW_RATIO)
}

fn blend(average: &mut f64, happened: bool) {
    let value = if happened { 1.0 } else { 0.0 };
    *average = lerp(*average, value, OBSERVATION_WEIGHT);
}

fn lerp(average: f64, value: f64, weight: f64) -> f64 {
    average + (value - average) * weight
}
