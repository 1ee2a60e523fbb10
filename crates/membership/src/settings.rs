//! Timing, fan-out and budget of the control traffic.

use std::time::Duration;

/// Settings of a [`crate::node::Node`]; the same at every daemon of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of the deployment; messages of another one are dropped.
    pub deployment: u32,
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Wait for a direct answer before other members are asked to probe.
    pub probe_timeout: Duration,
    /// Members asked to probe indirectly.
    pub indirect_probes: usize,
    /// Time that a suspect has to refute.
    pub suspicion_timeout: Duration,
    /// Time that a dead member is remembered, so that a late report does not revive it.
    pub tombstone_retention: Duration,
    /// Time between two gossip rounds while an urgent update waits.
    pub urgent_round: Duration,
    /// Time between two gossip rounds while only routine updates wait.
    pub routine_round: Duration,
    /// Members that one round reaches.
    pub fanout: usize,
    /// Time between two anti-entropy exchanges inside the zone.
    pub table_sync_interval: Duration,
    /// Time between two exchanges of a delegate with another zone.
    pub zone_sync_interval: Duration,
    /// Delegates in each zone.
    pub delegates: usize,
    /// Shortest silence after which another zone counts as unreachable.
    pub zone_silence: Duration,
    /// Bound on the readers of the store in the whole deployment.
    pub readers: usize,
    /// Bound on the readers of the store in one zone.
    pub readers_per_zone: usize,
    /// Zones to which a delegate pushes a configuration change.
    pub change_zone_fanout: usize,
    /// Members of the own zone to which a daemon pushes a configuration change.
    pub change_fanout: usize,
    /// Members to which a daemon names its revision after a change.
    pub announcements: usize,
    /// Wait between a change's push and the announcements.
    pub announce_after: Duration,
    /// Shortest time for which a starting daemon listens to its peers before it is ready.
    pub settle_time: Duration,
    /// Longest time for which a starting daemon waits for a majority of the peers it asked.
    pub readiness_limit: Duration,
    /// Peers that a starting daemon asks.
    pub readiness_peers: usize,
    /// Members of a zone that report to its delegates in a second; sets the time between reports.
    pub reports_per_second: usize,
    /// Shortest time between two reports of a member to its delegate.
    pub report_interval: Duration,
    /// Sent control bytes a second, headers of the network layers included.
    pub bytes_per_second: u32,
    /// Bytes that may be sent at once after a quiet time.
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
            urgent_round: Duration::from_millis(50),
            routine_round: Duration::from_millis(500),
            fanout: 3,
            table_sync_interval: Duration::from_secs(10),
            zone_sync_interval: Duration::from_secs(1),
            delegates: 3,
            zone_silence: Duration::from_secs(15),
            readers: 6,
            readers_per_zone: 2,
            change_zone_fanout: 3,
            change_fanout: 3,
            announcements: 6,
            announce_after: Duration::from_millis(150),
            settle_time: Duration::from_millis(500),
            readiness_limit: Duration::from_secs(5),
            readiness_peers: 9,
            reports_per_second: 32,
            report_interval: Duration::from_millis(500),
            bytes_per_second: 3_500,
            burst_bytes: 48_000,
        }
    }
}

impl Settings {
    /// Timing for a deployment of machines that come and go within seconds.
    #[must_use]
    pub fn for_short_lived_members() -> Self {
        Self {
            probe_interval: Duration::from_millis(400),
            probe_timeout: Duration::from_millis(200),
            suspicion_timeout: Duration::from_secs(2),
            routine_round: Duration::from_millis(200),
            table_sync_interval: Duration::from_secs(3),
            settle_time: Duration::from_millis(300),
            readiness_limit: Duration::from_millis(2_000),
            // Those that can read the platform in place of readers that it refuses.
            delegates: 8,
            readers: 8,
            readers_per_zone: 2,
            announce_after: Duration::from_millis(50),
            bytes_per_second: 24_000,
            burst_bytes: 96_000,
            ..Self::default()
        }
    }
}
