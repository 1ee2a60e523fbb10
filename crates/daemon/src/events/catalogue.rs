//! The catalogue of all log events. `docs/OPERATIONS.md` lists the same table.

use log::Level;

macro_rules! events {
    ($( $variant:ident = $name:literal, $level:ident, [$($field:literal),*], $meaning:literal; )+) => {
        /// A kind of log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $( #[doc = $meaning] $variant, )+
        }

        impl Event {
            /// All events, in the order of `docs/OPERATIONS.md`.
            pub const ALL: &'static [Self] = &[$( Self::$variant, )+];

            /// Returns the value of the key `event` in the log line.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $( Self::$variant => $name, )+ }
            }

            /// Returns the log level.
            #[must_use]
            pub const fn level(self) -> Level {
                match self { $( Self::$variant => Level::$level, )+ }
            }

            /// Returns the keys of the fields, besides `time` and `level`.
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
    Started = "started", Info, ["id", "zone", "edge", "inbound", "outbound", "control", "admin"],
        "The listeners are bound.";
    Ready = "ready", Info, ["revision"], "The first configuration is in force.";
    Stopping = "stopping", Info, ["calls_in_flight"], "A stop was requested; new calls are refused.";
    Stopped = "stopped", Info, ["calls_cut"], "The daemon has stopped; `calls_cut` is the number of calls that had not completed at the drain limit.";
    CallCut = "call_cut", Warn, ["side", "path", "age_ms"],
        "This request of a caller (`edge`) or call of another daemon (`inbound`) had not completed at the drain limit of a stop.";
    DrainStarted = "drain_started", Info, ["calls_in_flight"],
        "The local backend is marked as leaving by a drain, the machine list, its health endpoint or its responses; new calls are refused.";
    DrainFinished = "drain_finished", Info, ["after_ms"], "The last call in flight of the leaving backend has completed.";
    DrainWithdrawn = "drain_withdrawn", Info, ["after_ms"], "The local backend is no longer marked as leaving.";
    ConfigurationAdopted = "configuration_adopted", Info, ["revision", "previous"],
        "A new revision of the configuration is in force.";
    ResourceRejected = "resource_rejected", Warn, ["resource", "version", "last_good_in_force", "reason"],
        "A resource is invalid; its last valid version, if this daemon has one, stays in force.";
    ObjectOfUnknownKindIgnored = "object_of_unknown_kind_ignored", Warn, ["object"],
        "The platform holds an object of a kind that this version of the program does not support.";
    ConfigurationOlderIgnored = "configuration_older_ignored", Warn, ["found", "in_force"],
        "The platform returned a revision older than the one in force; it is ignored.";
    ConfigurationReadFailed = "configuration_read_failed", Warn, ["error"],
        "Reading the configuration failed; it is retried with exponential backoff.";
    ConfigurationWatchEnded = "configuration_watch_ended", Debug, [],
        "The platform closed the watch for changes; the configuration is listed again.";
    ConfigurationWatchGap = "configuration_watch_gap", Warn, [],
        "A change is missing from the watch; the configuration is listed again.";
    ConfigurationReaderStopped = "configuration_reader_stopped", Info, ["reason"],
        "A configuration reader whose lease expired stopped publishing.";
    StoreReader = "store_reader", Info, ["reading"],
        "This daemon started or stopped reading the configuration from the platform for its zone.";
    StoreDiverged = "store_diverged", Warn, ["revision"],
        "The platform returned different content for a revision that was read before.";
    ConfigurationNotEncoded = "configuration_not_encoded", Error, ["error"],
        "The configuration can't be encoded for relaying to other daemons.";
    ConfigurationUndecodable = "configuration_undecodable", Error, ["revision", "error"],
        "The configuration that another daemon relayed can't be decoded.";
    MemberDead = "member_dead", Warn, ["id"], "Gossip declared another daemon dead.";
    ControlMessageDropped = "control_message_dropped", Warn, ["source", "reason", "suppressed"],
        "A control message was dropped; `reason` is the cause.";
    ControlReceiveFailed = "control_receive_failed", Debug, ["error"], "Receiving from the control socket failed.";
    ControlSendFailed = "control_send_failed", Debug, ["to", "error"], "Sending a control datagram failed.";
    ControlStreamFailed = "control_stream_failed", Debug, ["to"], "Sending a control message over a stream failed.";
    PlatformUnavailable = "platform_unavailable", Warn, ["error"],
        "No address of the platform responded; the data that was read last stays in use.";
    PlatformAvailable = "platform_available", Info, ["after_ms"], "The platform responds again.";
    MachineListOlderIgnored = "machine_list_older_ignored", Warn, ["found", "in_force"],
        "The platform returned a machine list older than the one in use; it is ignored.";
    EndpointAdded = "endpoint_added", Info, ["service", "id", "zone"], "A backend was added to the endpoint table.";
    EndpointRemoved = "endpoint_removed", Info, ["service", "id", "zone"], "A backend was removed from the endpoint table.";
    EndpointLeaving = "endpoint_leaving", Info, ["service", "id", "zone"], "A backend is leaving and gets no new calls from this daemon.";
    EndpointReturned = "endpoint_returned", Info, ["service", "id", "zone"], "A backend that was leaving gets new calls again.";
    EndpointsChanged = "endpoints_changed", Info, ["added", "removed", "leaving", "returned"],
        "More than 32 endpoint changes occurred together; this event has their numbers and replaces the four events above.";
    LevelClosed = "level_closed", Warn, ["level", "limit", "in_flight", "queued"],
        "The admission level of the local backend fell below fully open; checked every second.";
    LevelOpened = "level_opened", Info, ["after_ms"], "The admission level is fully open again.";
    ProcessPaused = "process_paused", Warn, ["length_ms"],
        "The process was not scheduled for this long; the deadlines of calls that arrived meanwhile are shortened by it.";
    OutcomeUnknown = "outcome_unknown", Warn, ["origin", "request_kind", "result", "suppressed"],
        "A request that must take effect at most once completed with an unknown outcome: it may have been executed.";
    CallEnded = "call_ended", Debug, ["side", "result", "name", "outcome"],
        "A call completed; one line for each call.";
    RequestMalformed = "request_malformed", Warn, ["side", "result", "suppressed"], "A request is malformed.";
    RequestOversized = "request_oversized", Warn, ["side", "result", "suppressed"], "A request exceeds a size limit.";
    ContextInvalid = "context_invalid", Warn, ["side", "result", "suppressed"],
        "A call has no valid context, or its scope is not open.";
    PeerConnected = "peer_connected", Info, ["peer"], "A connection to another daemon was opened.";
    PeerLost = "peer_lost", Info, ["peer", "error"], "The connection to another daemon closed; the next call opens a new one.";
    PeerConnectFailed = "peer_connect_failed", Warn, ["peer", "error"],
        "Connecting to another daemon failed; further attempts are delayed by up to 500 ms.";
    BackendRateLimited = "backend_rate_limited", Warn, ["per_second"],
        "The local backend announced a rate limit for the requests of all daemons together or, with `per_second=none`, lifted it.";
    BackendLeavingAnnounced = "backend_leaving_announced", Info, ["leaving"],
        "The local backend announced in a response that it is leaving or, with `leaving=false`, no longer announces it.";
    BackendAnnouncementMalformed = "backend_announcement_malformed", Warn, ["value"],
        "The local backend announced something that can't be used; the last valid rate limit stays in force. Logged once until the next valid one.";
    BackendHealthChanged = "backend_health_changed", Info, ["leaving"],
        "The health endpoint of the local backend changed its report on whether the backend is leaving.";
    HealthReadFailed = "health_read_failed", Debug, ["error"],
        "Reading the health endpoint of the local backend failed; the last report stays in use.";
    BackendConnectFailed = "backend_connect_failed", Warn, ["address", "error", "suppressed"],
        "Connecting to the local backend failed.";
    BackendConnectionClosed = "backend_connection_closed", Debug, ["error"], "A connection to the local backend closed with an error.";
    ConnectionEnded = "connection_ended", Debug, ["error"], "An accepted connection closed with an error.";
    AcceptFailed = "accept_failed", Warn, ["listener", "error"], "Accepting a connection failed.";
    AdminFailed = "admin_failed", Error, ["error"], "The admin listener can't serve.";
    ClaimReplica = "claim_replica", Info, ["epoch", "voting", "records"],
        "The claim replica of this daemon joined another claim group, or started or stopped voting.";
    ClaimMessageRejected = "claim_message_rejected", Warn, ["error"], "A claim message can't be decoded.";
    ClaimReplyRejected = "claim_reply_rejected", Warn, ["error"], "The reply to a claim message can't be decoded.";
    LibraryMessage = "library_message", Info, ["target", "message"],
        "A log message of a library, at the level that the library assigned.";
}
