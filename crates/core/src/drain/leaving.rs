//! Which endpoints are leaving, merged from sources that lag behind each other.

use std::collections::BTreeMap;

use crate::routing::EndpointId;

/// Who says that an endpoint is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeavingSource {
    /// A drain resource covers the endpoint.
    Resource,
    /// The platform's machine list shows it as leaving.
    MachineList,
    /// The back end's health endpoint says so.
    HealthEndpoint,
    /// Its daemon was told to stop. This can't be withdrawn.
    Shutdown,
}

impl LeavingSource {
    /// Every source.
    pub const ALL: [Self; 4] = [
        Self::Resource,
        Self::MachineList,
        Self::HealthEndpoint,
        Self::Shutdown,
    ];

    /// Whether the source may take its mark back for the same incarnation.
    #[must_use]
    pub const fn is_withdrawable(self) -> bool {
        !matches!(self, Self::Shutdown)
    }

    const fn index(self) -> usize {
        match self {
            Self::Resource => 0,
            Self::MachineList => 1,
            Self::HealthEndpoint => 2,
            Self::Shutdown => 3,
        }
    }
}

/// Highest incarnation that each source marked as leaving.
type Marks = [Option<u64>; LeavingSource::ALL.len()];

/// The endpoints that are leaving.
///
/// A mark covers its incarnation and every earlier one, so late news of an old incarnation never
/// brings an endpoint back. Leaving wins: one source is enough, and silence or an older view of
/// another source changes nothing.
#[derive(Clone, Debug, Default)]
pub struct LeavingSet {
    marks: BTreeMap<EndpointId, Marks>,
}

impl LeavingSet {
    /// A set in which nothing is leaving.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a source says that an incarnation is leaving; true when that is news.
    pub fn mark(&mut self, endpoint: &EndpointId, incarnation: u64, source: LeavingSource) -> bool {
        let was_leaving = self.is_leaving(endpoint, incarnation);
        let marks = self.marks.entry(endpoint.clone()).or_default();
        let mark = &mut marks[source.index()];
        *mark = (*mark).max(Some(incarnation));
        !was_leaving
    }

    /// Notes that a source takes its mark back; other sources' marks stay. Ignored for a source
    /// that can't withdraw.
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

    /// Whether this incarnation of the endpoint must get no new work.
    #[must_use]
    pub fn is_leaving(&self, endpoint: &EndpointId, incarnation: u64) -> bool {
        self.sources(endpoint, incarnation).next().is_some()
    }

    /// The sources that say that this incarnation is leaving.
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

    /// Drops what is known of an endpoint that no source lists any more. The driver keeps entries for
    /// as long as a lagging source may still name the endpoint as live.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.marks.remove(endpoint);
    }

    /// Every endpoint that has a mark, with the highest incarnation that is leaving.
    pub fn endpoints(&self) -> impl Iterator<Item = (&EndpointId, u64)> {
        self.marks.iter().filter_map(|(endpoint, marks)| {
            let highest = marks.iter().flatten().max()?;
            Some((endpoint, *highest))
        })
    }
}
