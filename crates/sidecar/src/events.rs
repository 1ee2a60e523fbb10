//! Log events of the sidecar, one line of key=value pairs each, with `event=` first.
//!
//! Request events are logged for every request that was not successful, and for a fixed share of
//! the others. The share is selected by the origin, which keeps all lines of one call chain.

use log::Level;
use wharfquay_core::call::OriginId;

macro_rules! events {
    ($( $variant:ident = $name:literal, $level:ident, [$($field:literal),*], $meaning:literal; )+) => {
        /// A kind of log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $( #[doc = $meaning] $variant, )+
        }

        impl Event {
            /// Every event, in the order of the generated page.
            pub const ALL: &'static [Self] = &[$( Self::$variant, )+];

            /// Returns the value of `event=`.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $( Self::$variant => $name, )+ }
            }

            /// Returns the severity.
            #[must_use]
            pub const fn level(self) -> Level {
                match self { $( Self::$variant => Level::$level, )+ }
            }

            /// Returns the log target of the event's lines.
            #[must_use]
            pub const fn target(self) -> &'static str {
                if self.is_reserved() { RESERVED_TARGET } else { TARGET }
            }

            /// Returns the keys of the event's fields, without `time` and `level`.
            #[must_use]
            pub const fn fields(self) -> &'static [&'static str] {
                match self { $( Self::$variant => &[$($field),*], )+ }
            }

            /// Returns the description for operators.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self { $( Self::$variant => $meaning, )+ }
            }
        }
    };
}

events! {
    Started = "started", Info,
        ["id", "zone", "service", "outbound", "inbound", "control", "backend", "first_start"],
        "The sidecar has started and its listeners are bound.";
    Ready = "ready", Info, ["version"], "The first configuration is in force and confirmed by peers.";
    Stopping = "stopping", Info, ["calls_in_flight"],
        "The sidecar is stopping; new work is directed elsewhere.";
    Stopped = "stopped", Info, ["calls_cut", "responses_cut"],
        "The sidecar has stopped. `calls_cut` calls at the local backend did not complete within the grace period (`call_cut`). `responses_cut` requests of callers got no complete response since the stop began, for a reason other than the caller (`request_cut`).";
    CallCut = "call_cut", Warn, ["request"],
        "The grace period ended during this call at the local backend.";
    RequestCut = "request_cut", Warn, ["request", "reason", "sent", "took_ms"],
        "The connection of a caller ended before the response to this request was completely written, because of the stop (`stopped`), a response that broke off after its head was sent (`response_broken`), or a caller that accepted no byte in time (`caller_stalled`). `sent` is the part of the response that was written: `none` or `partial`.";
    RequestFailed = "request_failed", Error, ["request", "error"],
        "The task that handled a request ended without a response, which is a fault of the sidecar; the caller received a failure (4008).";
    MachineSuspended = "machine_suspended", Warn, ["length_ms"],
        "The machine was suspended for this long: its monotonic clock and its timers stopped, leases and deadlines did not.";
    SettingsRead = "settings_read", Info, [], "The settings were reloaded without an error.";
    SettingsRejected = "settings_rejected", Warn, ["error"],
        "The settings were reloaded and are invalid; those read at the start stay in force.";
    ConfigurationInForce = "configuration_in_force", Info, ["version", "routes", "previous"],
        "A new configuration is in force.";
    ConfigurationRejected = "configuration_rejected", Error, ["version", "error"],
        "The platform holds an invalid configuration; the last valid one stays in force.";
    ConfigurationUndecodable = "configuration_undecodable", Error, ["version", "error"],
        "A configuration forwarded by another sidecar can't be decoded.";
    ConfigurationNotEncoded = "configuration_not_encoded", Error, ["error"],
        "A configuration can't be encoded for other sidecars.";
    ConfigurationOlderIgnored = "configuration_older_ignored", Debug, ["found", "in_force"],
        "The platform returned a configuration that is older than the one in force.";
    StoreReader = "store_reader", Info, ["reading", "isolated"],
        "The mode in which this sidecar reads the configuration from the platform changed: `once` (until it has one, in its first 1.5 s), `follow` or `none`.";
    StoreLost = "store_lost", Warn, ["error"],
        "The platform can't be read; reads are retried with increasing pauses.";
    StoreRestored = "store_restored", Warn, ["era", "previous"],
        "The platform's store was restored from a backup: data written there in the last seconds may be lost and is written again.";
    StoreAnswerOutdated = "store_answer_outdated", Warn, ["era", "newest"],
        "A reply of the platform's store is of an earlier era and is ignored.";
    RecordIgnored = "record_ignored", Warn, ["kind", "name", "reason"],
        "A record that another writer stored at the platform can't be decoded and is ignored; the others are used.";
    RecordsWrittenAgain = "records_written_again", Info, ["kind", "count"],
        "This sidecar wrote its records to the platform again after the store was restored.";
    StoreRegained = "store_regained", Info, ["after_ms"], "The platform can be read again.";
    Isolated = "isolated", Warn, ["isolated", "members"],
        "The sidecar lost contact with all other sidecars (`isolated=true`) or regained it; while isolated it reports that it is not ready.";
    MemberDead = "member_dead", Warn, ["id"], "Another sidecar no longer responds to gossip.";
    ControlMessageDropped = "control_message_dropped", Debug, ["source", "reason"],
        "A control message was invalid or not addressed to this sidecar and was dropped.";
    ControlSendFailed = "control_send_failed", Debug, ["to", "error"],
        "A control message could not be sent.";
    InstanceServing = "instance_serving", Info, ["instance", "slots"],
        "The backend's instance receives work: no earlier process acknowledged its departure.";
    InstanceConfirmed = "instance_confirmed_by_heartbeats", Info, ["instance"],
        "The departure records can't be read; heartbeats and health show that the instance is not departing.";
    InstanceDeparted = "instance_departed_earlier", Info, ["instance"],
        "An earlier process acknowledged the departure of this instance; it receives no work.";
    InstanceReplaced = "instance_replaced", Warn, ["instance"],
        "Another instance responds at the backend's address.";
    InstanceRestarted = "instance_restarted", Warn, ["instance", "earlier"],
        "The backend started again under the same name; its earlier instance has terminated.";
    InstanceEnded = "instance_ended", Warn, ["instance", "in_execution", "requests"],
        "The backend's process terminated without announcing it: its connections were lost and it accepts none. The fingerprints are those of the requests in execution, 16 at most.";
    RateLimitAnnounced = "rate_limit_announced", Warn, ["instance", "per_second", "previous"],
        "The backend announced a rate limit for the requests of all senders together, changed it or, with `per_second=none`, lifted it. Changes are logged once a second at most.";
    LeavingAnnounced = "leaving_announced", Info, ["instance"],
        "The backend announced in a response that it is leaving.";
    AnnouncementMalformed = "announcement_malformed", Warn, ["instance", "header", "value"],
        "A response of the backend has a header with an unusable announcement, which is ignored: the last valid one stays in force. Logged once until a valid one arrives.";
    LoadReportIgnored = "load_report_ignored", Warn, ["instance", "reason", "value", "count"],
        "A load report of the backend is malformed (`reason=malformed`) or names another instance (`reason=other_instance`) and is ignored. Logged once a second at most; `count` is the number since the last such line.";
    ResponseHeaderUnread = "response_header_unread", Info, ["name"],
        "Responses of the backend have a header that the sidecar relays without reading it. Logged once for each name, 32 names at most.";
    RequestSuspected = "request_suspected", Info, ["fingerprint"],
        "Two backend instances terminated under this request: a backend executes one such request at a time until one receives a response.";
    RequestQuarantined = "request_quarantined", Warn, ["fingerprint", "age_ms"],
        "Three backend instances terminated under this request: it is refused everywhere for an hour (3020).";
    RequestCleared = "request_cleared", Info, ["fingerprint"],
        "A request under which backends had terminated received a response and is no longer suspected.";
    QuarantineNotKept = "quarantine_not_kept", Warn, ["action", "error"],
        "The platform failed to read, write or remove the record of a quarantined request; the call is retried. The sidecars know the request independently of its record.";
    DepartureAcknowledged = "departure_acknowledged", Info, ["instance"],
        "The departure of an instance is durable and was acknowledged.";
    DepartureNotDurable = "departure_not_durable", Warn, ["instance", "error"],
        "The departure of an instance could not be made durable and was not acknowledged; the instance receives no new work.";
    HeartbeatMalformed = "heartbeat_malformed", Warn, ["error"],
        "A heartbeat or departure message is malformed or not from the backend beside this sidecar.";
    AcceptFailed = "accept_failed", Warn, ["listener", "error"], "A connection could not be accepted.";
    KeyRefused = "key_refused", Info, ["request", "route", "key", "result", "name"],
        "A request was refused because of its API key, shown by its fingerprint: the key is unknown (2008), or the configuration was not confirmed recently enough to decide (3017).";
    RequestEnded = "request_ended", Info,
        ["request", "origin", "fingerprint", "tenant", "route", "service", "version", "depth", "key", "result", "name",
         "status", "retry_after_ms", "took_ms", "left_ms", "attempts", "gave_up", "rank", "caller_per_s", "caller_part",
         "caller_share"],
        "A request of a caller or of the local backend received its final response.";
    CompletionLimitChanged = "completion_limit_changed", Warn, ["service", "kind", "limited", "share"],
        "Requests of this kind fail after work was done for them, so only a share of them is started (`limited=true`), or all are started again. Logged at most once a second and kind.";
    CallEnded = "call_ended", Info,
        ["request", "origin", "fingerprint", "kind", "instance", "key", "result", "name", "status", "queued_ms",
         "took_ms", "in_flight", "limit", "waiting", "level", "below"],
        "A call for the local backend completed at this sidecar.";
    SendingEnded = "sending_ended", Warn,
        ["request", "instance", "sending", "connection", "exchange", "status", "mark", "echoed", "conclusion", "took_ms"],
        "The local backend was sent a call that must be executed at most once, and it was not the first sending or did not bring the backend's own response. `exchange` is the number of the sending on its connection, `mark` what the response claims (`not_executed`, `misdirected`, `none`), `echoed` whether it names the request (`matching`, `missing`, `other`), and `conclusion` what follows from it: `response`, `not_executed`, `not_sent` or `unknown`. A call is sent again only after `not_executed` or `not_sent`. Reserved line.";
    RequestSentAgain = "request_sent_again", Warn,
        ["request", "service", "attempt", "target", "result", "name", "took_ms"],
        "A request that must be executed at most once is sent to a further sidecar, because of this result of its last attempt. Reserved line.";
    LogDropped = "log_dropped", Warn, ["lines", "reserved"],
        "This many lines were dropped since the last such event, because of the limit on lines or a slow reader. `reserved` counts those among them that have a limit of their own, which other lines can't use up.";
}

impl Event {
    /// Returns true for events that show why a request which must be executed at most once was sent
    /// again. Their lines are written while lines of other events are dropped.
    #[must_use]
    pub const fn is_reserved(self) -> bool {
        matches!(self, Self::SendingEnded | Self::RequestSentAgain)
    }
}

/// One in this many origins is sampled for lines about successful requests.
const SUCCESS_SAMPLE_INTERVAL: u128 = 64;

/// True if successful requests of this origin are logged.
#[must_use]
pub const fn is_sampled(origin: OriginId) -> bool {
    origin.as_u128().is_multiple_of(SUCCESS_SAMPLE_INTERVAL)
}

/// Logs an event. Fields are specified as a format string of `key=value` pairs.
#[macro_export]
macro_rules! log_event {
    ($event:expr) => {
        log::log!(target: $event.target(), $event.level(), "event={}", $event.name())
    };
    ($event:expr, $($fields:tt)+) => {
        log::log!(target: $event.target(), $event.level(), "event={} {}", $event.name(), format_args!($($fields)+))
    };
}

/// Log target of the events.
pub const TARGET: &str = "wharfquay";
/// Log target of the reserved events.
pub const RESERVED_TARGET: &str = "wharfquay::reserved";
