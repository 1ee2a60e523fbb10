//! Time from the end of a surge until goodput is back.

use std::time::Duration;

use super::arrivals::Surge;

/// Width of a bucket of arrivals.
pub const BUCKET: Duration = Duration::from_millis(250);
/// Part of the rate before the surge that counts as recovered.
pub const RECOVERED_RATIO: f64 = 0.98;
/// Buckets in a row that must have recovered.
const BUCKETS_IN_A_ROW: usize = 4;

/// Arrivals and whole answers in time, per bucket of arrival time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Buckets {
    counts: Vec<BucketCount>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct BucketCount {
    arrived: u64,
    whole: u64,
    refused: u64,
}

impl Buckets {
    /// Counts a request that arrived at `at`.
    pub fn arrived(&mut self, at: Duration) {
        self.bucket(at).arrived += 1;
    }

    /// Counts the whole answer in time of a request that arrived at `at`.
    pub fn whole(&mut self, at: Duration) {
        self.bucket(at).whole += 1;
    }

    /// Counts the refusal of a request that arrived at `at`.
    pub fn refused(&mut self, at: Duration) {
        self.bucket(at).refused += 1;
    }

    /// Whole answers in time per bucket.
    pub fn whole_counts(&self) -> impl Iterator<Item = u64> {
        self.counts.iter().map(|count| count.whole)
    }

    /// Refusals per bucket.
    pub fn refused_counts(&self) -> impl Iterator<Item = u64> {
        self.counts.iter().map(|count| count.refused)
    }

    /// Adds the counts of other requests.
    pub fn add(&mut self, other: &Self) {
        if self.counts.len() < other.counts.len() {
            self.counts
                .resize(other.counts.len(), BucketCount::default());
        }
        for (count, added) in self.counts.iter_mut().zip(&other.counts) {
            count.arrived += added.arrived;
            count.whole += added.whole;
            count.refused += added.refused;
        }
    }

    /// Share of the requests that arrived from `from` to `to` that were answered whole in time.
    #[must_use]
    pub fn ratio(&self, from: Duration, to: Duration) -> Option<f64> {
        let first = index(from).min(self.counts.len());
        let last = index(to).clamp(first, self.counts.len());
        ratio_of(&self.counts[first..last])
    }

    /// Seconds from the end of the surge until the goodput per arrival is back within two percent
    /// of what it was before the surge and stays there for a second. Goodput is taken per arrival
    /// so that the randomness of the arrivals themselves doesn't count. `None` when there was
    /// nothing before the surge or goodput did not come back.
    #[must_use]
    pub fn recovery(&self, surge: &Surge) -> Option<Duration> {
        let before = self.ratio(surge.start / 2, surge.start)?;
        let after = self.counts.get(index(surge.end())..)?;
        let wanted = before * RECOVERED_RATIO;
        let position = after
            .windows(BUCKETS_IN_A_ROW)
            .position(|window| ratio_of(window).is_some_and(|ratio| ratio >= wanted))?;
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
    let whole: u64 = counts.iter().map(|count| count.whole).sum();
    (arrived > 0).then(|| whole as f64 / arrived as f64)
}
