//! Timing, fanout and byte budget of the control traffic.

use std::time::Duration;

/// Settings of a [`crate::node::Node`]; the same at every daemon of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Deployment number. Messages of another deployment are dropped.
    pub deployment: u32,
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time to wait for a direct acknowledgement before indirect probes are sent.
    pub probe_timeout: Duration,
    /// Number of members requested to send an indirect probe.
    pub indirect_probes: usize,
    /// Time that a suspect has for refuting before it is declared dead.
    pub suspicion_timeout: Duration,
    /// Time that a dead member stays in the table, which keeps a late update from reviving it.
    pub tombstone_retention: Duration,
    /// Time between two gossip rounds while an urgent update is queued.
    pub urgent_gossip_interval: Duration,
    /// Time between two gossip rounds while only routine updates are queued.
    pub routine_gossip_interval: Duration,
    /// Number of members that receive each gossip round.
    pub gossip_fanout: usize,
    /// Mean time between two anti-entropy exchanges within the zone.
    pub table_sync_interval: Duration,
    /// Time between two exchanges of a delegate with another zone.
    pub zone_sync_interval: Duration,
    /// Number of delegates per zone.
    pub delegates: usize,
    /// Minimum time without contact after which another zone counts as unreachable.
    pub min_zone_timeout: Duration,
    /// Maximum number of readers of the store in the whole deployment.
    pub max_readers: usize,
    /// Maximum number of readers of the store in one zone.
    pub max_readers_per_zone: usize,
    /// Number of other zones to which a delegate pushes a configuration change.
    pub change_zone_fanout: usize,
    /// Number of members of the local zone to which a daemon pushes a configuration change.
    pub change_fanout: usize,
    /// Number of members of the local zone to which a daemon announces its revision after a change.
    pub announcement_fanout: usize,
    /// Delay between the push of a change and its announcements.
    pub announcement_delay: Duration,
    /// Minimum time for which a starting daemon collects replies before it becomes ready.
    pub min_readiness_wait: Duration,
    /// Maximum time for which a starting daemon waits for the replies of a majority of the queried
    /// peers.
    pub max_readiness_wait: Duration,
    /// Number of peers that a starting daemon queries.
    pub readiness_peers: usize,
    /// Target rate of revision reports from a zone's members to its delegates, in reports per
    /// second. In large zones it determines the time between a member's reports.
    pub reports_per_second: usize,
    /// Minimum time between two revision reports of a member to its delegate.
    pub report_interval: Duration,
    /// Control bytes that may be sent per second, including network headers.
    pub bytes_per_second: u32,
    /// Control bytes that may be sent in a burst after an idle time.
    pub burst_bytes: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            deployment: 0,
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(4),
            tombstone_retention: Duration::from_secs(600),
            urgent_gossip_interval: Duration::from_millis(50),
            routine_gossip_interval: Duration::from_millis(500),
            gossip_fanout: 3,
            table_sync_interval: Duration::from_secs(10),
            zone_sync_interval: Duration::from_secs(1),
            delegates: 3,
            min_zone_timeout: Duration::from_secs(15),
            max_readers: 6,
            max_readers_per_zone: 2,
            change_zone_fanout: 3,
            change_fanout: 3,
            announcement_fanout: 6,
            announcement_delay: Duration::from_millis(150),
            min_readiness_wait: Duration::from_millis(500),
            max_readiness_wait: Duration::from_secs(5),
            readiness_peers: 9,
            reports_per_second: 32,
            report_interval: Duration::from_millis(500),
            bytes_per_second: 3_500,
            burst_bytes: 48_000,
        }
    }
}

impl Settings {
    /// Returns settings for a deployment whose machines start and stop within seconds.
    #[must_use]
    pub fn for_short_lived_members() -> Self {
        Self {
            probe_interval: Duration::from_millis(400),
            probe_timeout: Duration::from_millis(200),
            suspicion_timeout: Duration::from_secs(2),
            routine_gossip_interval: Duration::from_millis(200),
            table_sync_interval: Duration::from_secs(3),
            min_readiness_wait: Duration::from_millis(300),
            max_readiness_wait: Duration::from_millis(2_000),
            // More delegates, which can read the platform if it refuses the readers.
            delegates: 8,
            max_readers: 8,
            max_readers_per_zone: 2,
            announcement_delay: Duration::from_millis(50),
            bytes_per_second: 24_000,
            burst_bytes: 96_000,
            ..Self::default()
        }
    }
}
