//! Running estimates of durations, and a hash used for jitter.

use std::time::Duration;

/// Exponentially weighted mean of durations.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MeanDuration {
    micros: Option<f64>,
}

impl MeanDuration {
    /// Adds a sample with the specified weight, 0 to 1.
    pub(crate) fn observe(&mut self, sample: Duration, weight: f64) {
        let value = sample.as_secs_f64() * 1e6;
        self.micros = Some(match self.micros {
            Some(mean) => mean + (value - mean) * weight,
            None => value,
        });
    }

    /// Returns the mean, or `None` before the first sample.
    pub(crate) fn get(self) -> Option<Duration> {
        self.micros
            .map(|micros| Duration::from_secs_f64(micros.max(0.0) / 1e6))
    }
}

/// Minimum of the recent durations: falls to a smaller sample immediately, rises slowly.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FloorDuration {
    micros: Option<f64>,
}

impl FloorDuration {
    /// Fraction of the distance to a larger sample by which the floor rises.
    const RISE: f64 = 0.01;

    pub(crate) fn observe(&mut self, sample: Duration) {
        let value = sample.as_secs_f64() * 1e6;
        self.micros = Some(match self.micros {
            Some(floor) if value > floor => floor + (value - floor) * Self::RISE,
            _ => value,
        });
    }

    /// Returns the floor, or zero before the first sample.
    pub(crate) fn get(self) -> Duration {
        Duration::from_secs_f64(self.micros.unwrap_or(0.0) / 1e6)
    }
}

/// Returns a pseudorandom number in [0, 1) derived from a seed with the SplitMix64 finalizer.
pub(crate) fn unit_hash(seed: u64) -> f64 {
    let value = seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    let value = value ^ (value >> 31);
    (value >> 11) as f64 / (1_u64 << 53) as f64
}
