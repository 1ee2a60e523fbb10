//! Faults of a backend, which can be changed while it runs.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use super::limit_course::LimitCourse;

/// State that the health endpoint reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthMode {
    /// Reports the actual state.
    #[default]
    Truthful,
    /// Reports live regardless of the actual state.
    AlwaysLive,
    /// Reports leaving regardless of the actual state.
    AlwaysLeaving,
}

/// The injected faults. Shares are probabilities per request, 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Factor on the service time; 1 is normal. 0.01 to 1000.
    pub slow: f64,
    /// Share of responses whose body is truncated in the middle.
    pub cut_answer: f64,
    /// Share of requests whose connection is closed before execution.
    pub close_before: f64,
    /// Share of requests whose connection is closed after execution, without a response.
    pub close_after: f64,
    /// Share of requests that are refused before execution.
    pub refuse: f64,
    /// Share of requests that are executed and get no response while the connection stays open.
    pub hang: f64,
    /// Share of responses that are sent a second time up to 10 ms later, over HTTP/1.1.
    pub twice: f64,
    /// Share of responses whose body does not end.
    pub endless: f64,
    /// Share of requests, selected by a hash of their token, that terminate every backend that
    /// starts to execute them. The backend listens on the same address again after a second.
    pub end: f64,
    /// Rate limit that every response announces, in requests per second; 0 announces none.
    pub rate_limit: f64,
    /// Course of the announced rate limit from the time at which the faults are set; replaces `rate_limit`.
    pub limit_course: Option<LimitCourse>,
    /// Share of responses in which the announced rate limit is garbled.
    pub garble_rate_limit: f64,
    /// State that the health endpoint reports.
    pub health: HealthMode,
    /// Age of the state that the health and load endpoints report, in milliseconds. 0 to 600000.
    pub report_lag_ms: u64,
    /// Factor on the reported load; 1 reports the actual load. 0 to 1000.
    pub load_factor: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow: 1.0,
            cut_answer: 0.0,
            close_before: 0.0,
            close_after: 0.0,
            refuse: 0.0,
            hang: 0.0,
            twice: 0.0,
            endless: 0.0,
            end: 0.0,
            rate_limit: 0.0,
            limit_course: None,
            garble_rate_limit: 0.0,
            health: HealthMode::Truthful,
            report_lag_ms: 0,
            load_factor: 1.0,
        }
    }
}

/// An error in a specification of faults.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum FaultError {
    /// {0}
    Malformed(String),
    /// {field}: {value} is out of range (allowed: {allowed})
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// The specified value.
        value: f64,
        /// Allowed range.
        allowed: &'static str,
    },
}

impl std::error::Error for FaultError {}

const MAX_LAG_MS: f64 = 600_000.0;

impl Faults {
    /// Parses faults from JSON; an absent field injects no fault.
    ///
    /// # Errors
    /// [`FaultError`] if the text is malformed or a value is out of range.
    pub fn from_json(text: &[u8]) -> Result<Self, FaultError> {
        let faults: Self = serde_json::from_slice(text)
            .map_err(|error| FaultError::Malformed(error.to_string()))?;
        faults.validate()?;
        Ok(faults)
    }

    /// Checks the range of every field.
    ///
    /// # Errors
    /// [`FaultError::OutOfRange`] names the first field that is out of range.
    pub fn validate(&self) -> Result<(), FaultError> {
        check("slow", self.slow, 0.01, 1_000.0, "0.01 to 1000")?;
        check("load_factor", self.load_factor, 0.0, 1_000.0, "0 to 1000")?;
        check("rate_limit", self.rate_limit, 0.0, 1e6, "0 to 1000000")?;
        let lag = self.report_lag_ms as f64;
        check("report_lag_ms", lag, 0.0, MAX_LAG_MS, "0 to 600000")?;
        let shares = [
            ("cut_answer", self.cut_answer),
            ("close_before", self.close_before),
            ("close_after", self.close_after),
            ("refuse", self.refuse),
            ("hang", self.hang),
            ("twice", self.twice),
            ("endless", self.endless),
            ("end", self.end),
            ("garble_rate_limit", self.garble_rate_limit),
        ];
        for (field, share) in shares {
            check(field, share, 0.0, 1.0, "0 to 1")?;
        }
        Ok(())
    }
}

fn check(
    field: &'static str,
    value: f64,
    lowest: f64,
    highest: f64,
    allowed: &'static str,
) -> Result<(), FaultError> {
    if (lowest..=highest).contains(&value) {
        return Ok(());
    }
    Err(FaultError::OutOfRange {
        field,
        value,
        allowed,
    })
}
