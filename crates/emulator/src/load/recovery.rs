//! Recovery time: from the end of a surge until goodput has recovered.

use std::time::Duration;

use super::arrivals::Surge;

/// Length of the interval of arrival times that one bucket counts.
pub const BUCKET: Duration = Duration::from_millis(250);
/// Ratio of the goodput to that before the surge from which goodput counts as recovered.
pub const RECOVERED_RATIO: f64 = 0.98;
/// Number of consecutive buckets, one second in total, over which goodput must have recovered.
const CONSECUTIVE_BUCKETS: usize = 4;

/// Counts of arrivals, complete responses in time and refusals, per bucket of arrival time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Buckets {
    counts: Vec<BucketCount>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct BucketCount {
    arrived: u64,
    complete: u64,
    refused: u64,
}

impl Buckets {
    /// Counts a request that arrived `at` after the start of the load.
    pub fn record_arrival(&mut self, at: Duration) {
        self.bucket(at).arrived += 1;
    }

    /// Counts a complete response in time to a request that arrived at `at`.
    pub fn record_complete(&mut self, at: Duration) {
        self.bucket(at).complete += 1;
    }

    /// Counts a refusal of a request that arrived at `at`.
    pub fn record_refusal(&mut self, at: Duration) {
        self.bucket(at).refused += 1;
    }

    /// Returns the number of complete responses in time per bucket.
    pub fn complete_counts(&self) -> impl Iterator<Item = u64> {
        self.counts.iter().map(|count| count.complete)
    }

    /// Returns the number of refusals per bucket.
    pub fn refused_counts(&self) -> impl Iterator<Item = u64> {
        self.counts.iter().map(|count| count.refused)
    }

    /// Adds the counts of `other`, bucket by bucket.
    pub fn add(&mut self, other: &Self) {
        if self.counts.len() < other.counts.len() {
            self.counts
                .resize(other.counts.len(), BucketCount::default());
        }
        for (count, added) in self.counts.iter_mut().zip(&other.counts) {
            count.arrived += added.arrived;
            count.complete += added.complete;
            count.refused += added.refused;
        }
    }

    /// Returns the share of the requests that arrived between `from` and `to` that got a complete
    /// response in time; `None` if none arrived.
    #[must_use]
    pub fn ratio(&self, from: Duration, to: Duration) -> Option<f64> {
        let first = index(from).min(self.counts.len());
        let last = index(to).clamp(first, self.counts.len());
        ratio_of(&self.counts[first..last])
    }

    /// Returns the time from the end of the surge until the goodput per arrival is at least 98% of
    /// that in the second half of the time before the surge, averaged over one second. Dividing by
    /// the arrivals removes the randomness of the arrivals themselves. `None` if nothing arrived
    /// before the surge or goodput did not recover.
    #[must_use]
    pub fn recovery(&self, surge: &Surge) -> Option<Duration> {
        let before = self.ratio(surge.start / 2, surge.start)?;
        let after = self.counts.get(index(surge.end())..)?;
        let required = before * RECOVERED_RATIO;
        let position = after
            .windows(CONSECUTIVE_BUCKETS)
            .position(|window| ratio_of(window).is_some_and(|ratio| ratio >= required))?;
        let buckets = u32::try_from(position).unwrap_or(u32::MAX);
        Some(BUCKET * buckets)
    }

    fn bucket(&mut self, at: Duration) -> &mut BucketCount {
        let index = index(at);
        if index >= self.counts.len() {
            self.counts.resize(index + 1, BucketCount::default());
        }
        &mut self.counts[index]
    }
}

fn index(at: Duration) -> usize {
    (at.as_nanos() / BUCKET.as_nanos()) as usize
}

fn ratio_of(counts: &[BucketCount]) -> Option<f64> {
    let arrived: u64 = counts.iter().map(|count| count.arrived).sum();
    let complete: u64 = counts.iter().map(|count| count.complete).sum();
    (arrived > 0).then(|| complete as f64 / arrived as f64)
}
