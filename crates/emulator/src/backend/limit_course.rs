//! Courses of a rate limit that a backend announces in its responses.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time between two values of a course that changes.
const STEP: Duration = Duration::from_millis(300);
/// Values that can't be used.
const GARBLED: [&str; 6] = ["", "-1", "NaN", "0", "1e400", "9,9"];
/// Number of steps after which a course that is lifted in between begins again.
const LIFTED_PERIOD: usize = 4;

/// How an announced rate limit develops.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitCourse {
    /// Four requests a second.
    Low,
    /// One request in two seconds.
    Fraction,
    /// From twenty a second downwards.
    Falling,
    /// From two a second upwards.
    Rising,
    /// Six a second, with pauses in which nothing is announced.
    Lifted,
    /// Five a second; every second value can't be used.
    Garbled,
}

impl LimitCourse {
    /// All courses.
    pub const ALL: [Self; 6] = [
        Self::Low,
        Self::Fraction,
        Self::Falling,
        Self::Rising,
        Self::Lifted,
        Self::Garbled,
    ];
    /// Names of all courses, for messages.
    pub const ALLOWED: &str = "low, fraction, falling, rising, lifted, garbled";

    /// Returns the course that a number selects.
    #[must_use]
    pub const fn from_number(number: usize) -> Self {
        Self::ALL[number % Self::ALL.len()]
    }

    /// Returns the name that the command line uses.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Low => "low",
            Self::Fraction => "fraction",
            Self::Falling => "falling",
            Self::Rising => "rising",
            Self::Lifted => "lifted",
            Self::Garbled => "garbled",
        }
    }

    /// Returns the text that a backend announces this long after the begin of the course; `None` if it
    /// announces nothing.
    #[must_use]
    pub fn value(self, elapsed: Duration) -> Option<String> {
        let step = step_at(elapsed);
        match self {
            Self::Garbled if step % 2 == 1 => Some(GARBLED[step / 2 % GARBLED.len()].to_owned()),
            _ => self.rate(elapsed).map(|rate| rate.to_string()),
        }
    }

    /// Returns the rate that applies this long after the begin of the course, in requests per second;
    /// `None` if none does. A value that can't be used changes nothing.
    #[must_use]
    pub fn rate(self, elapsed: Duration) -> Option<f64> {
        let step = step_at(elapsed);
        match self {
            Self::Low => Some(4.0),
            Self::Fraction => Some(0.5),
            Self::Falling => Some(20.0 / (1.0 + step as f64)),
            Self::Rising => Some(2.0 + step as f64),
            Self::Lifted => (step % LIFTED_PERIOD != LIFTED_PERIOD - 1).then_some(6.0),
            Self::Garbled => Some(5.0),
        }
    }
}

impl fmt::Display for LimitCourse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl FromStr for LimitCourse {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|course| course.name() == name);
        found.ok_or_else(|| format!("unknown (allowed: {})", Self::ALLOWED))
    }
}

fn step_at(elapsed: Duration) -> usize {
    (elapsed.as_millis() / STEP.as_millis()) as usize
}
