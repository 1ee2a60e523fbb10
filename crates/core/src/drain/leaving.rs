//! Endpoints that are leaving, merged from sources with different delays.

use std::collections::BTreeMap;

use crate::routing::EndpointId;

/// Source that marks an endpoint as leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeavingSource {
    /// A drain resource covers the endpoint.
    Resource,
    /// The platform's machine list reports it as leaving.
    MachineList,
    /// The backend's health endpoint reports it as leaving.
    HealthEndpoint,
    /// The backend announces it in its responses.
    Announcement,
    /// Its daemon was instructed to stop. This can't be withdrawn.
    Shutdown,
}

impl LeavingSource {
    /// All sources.
    pub const ALL: [Self; 5] = [
        Self::Resource,
        Self::MachineList,
        Self::HealthEndpoint,
        Self::Announcement,
        Self::Shutdown,
    ];

    /// Returns true if the source may withdraw its mark for the same incarnation.
    #[must_use]
    pub const fn is_withdrawable(self) -> bool {
        !matches!(self, Self::Shutdown)
    }

    const fn index(self) -> usize {
        match self {
            Self::Resource => 0,
            Self::MachineList => 1,
            Self::HealthEndpoint => 2,
            Self::Announcement => 3,
            Self::Shutdown => 4,
        }
    }
}

/// Highest incarnation that each source marked as leaving.
type Marks = [Option<u64>; LeavingSource::ALL.len()];

/// The endpoints that are leaving.
///
/// A mark covers its incarnation and every earlier one, so a delayed update about an old
/// incarnation never makes an endpoint live again. Leaving takes precedence: one source is
/// sufficient, and the absence of a mark or an older state at another source changes nothing.
#[derive(Clone, Debug, Default)]
pub struct LeavingSet {
    marks: BTreeMap<EndpointId, Marks>,
}

impl LeavingSet {
    /// Creates a set in which no endpoint is leaving.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a source marked an incarnation as leaving. Returns true if it was not leaving
    /// before.
    pub fn mark(&mut self, endpoint: &EndpointId, incarnation: u64, source: LeavingSource) -> bool {
        let was_leaving = self.is_leaving(endpoint, incarnation);
        let marks = self.marks.entry(endpoint.clone()).or_default();
        let mark = &mut marks[source.index()];
        *mark = (*mark).max(Some(incarnation));
        !was_leaving
    }

    /// Removes a source's mark; the marks of other sources stay. Ignored for a source that can't
    /// withdraw its mark.
    pub fn unmark(&mut self, endpoint: &EndpointId, source: LeavingSource) {
        if !source.is_withdrawable() {
            return;
        }
        let Some(marks) = self.marks.get_mut(endpoint) else {
            return;
        };
        marks[source.index()] = None;
        if marks.iter().all(Option::is_none) {
            self.marks.remove(endpoint);
        }
    }

    /// Returns true if this incarnation of the endpoint must get no new work.
    #[must_use]
    pub fn is_leaving(&self, endpoint: &EndpointId, incarnation: u64) -> bool {
        self.sources(endpoint, incarnation).next().is_some()
    }

    /// Returns the sources that marked this incarnation as leaving.
    pub fn sources(
        &self,
        endpoint: &EndpointId,
        incarnation: u64,
    ) -> impl Iterator<Item = LeavingSource> + use<'_> {
        let marks = self.marks.get(endpoint).copied().unwrap_or_default();
        LeavingSource::ALL
            .into_iter()
            .filter(move |source| marks[source.index()].is_some_and(|mark| mark >= incarnation))
    }

    /// Removes an endpoint that no source lists any more. The driver must keep entries for as long
    /// as a delayed source may still list the endpoint as live.
    pub fn remove(&mut self, endpoint: &EndpointId) {
        self.marks.remove(endpoint);
    }

    /// Returns every marked endpoint with the highest incarnation that is leaving.
    pub fn endpoints(&self) -> impl Iterator<Item = (&EndpointId, u64)> {
        self.marks.iter().filter_map(|(endpoint, marks)| {
            let highest = marks.iter().flatten().max()?;
            Some((endpoint, *highest))
        })
    }
}
