//! The names of all log events, in one table; `docs/OPERATIONS.md` lists the same.

use log::Level;

macro_rules! events {
    ($( $variant:ident = $name:literal, $level:ident, [$($field:literal),*], $meaning:literal; )+) => {
        /// A kind of log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $( #[doc = $meaning] $variant, )+
        }

        impl Event {
            /// Every event, in the order of the page.
            pub const ALL: &'static [Self] = &[$( Self::$variant, )+];

            /// The name that stands after `event=`.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $( Self::$variant => $name, )+ }
            }

            /// How severe it is.
            #[must_use]
            pub const fn level(self) -> Level {
                match self { $( Self::$variant => Level::$level, )+ }
            }

            /// Keys of its fields, besides `time` and `level`.
            #[must_use]
            pub const fn fields(self) -> &'static [&'static str] {
                match self { $( Self::$variant => &[$($field),*], )+ }
            }

            /// What it tells an operator.
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
    Stopping = "stopping", Info, ["calls_in_flight"], "A stop was asked for; new work is refused.";
    Stopped = "stopped", Info, ["calls_cut"], "The daemon ends; calls cut had not ended at the drain limit.";
    DrainStarted = "drain_started", Info, ["calls_in_flight"],
        "The own back end is marked as leaving by a drain, the machine list or its health endpoint; new work is refused.";
    DrainFinished = "drain_finished", Info, ["after_ms"], "The last call in flight of the leaving back end has ended.";
    DrainWithdrawn = "drain_withdrawn", Info, ["after_ms"], "The own back end is no longer marked as leaving.";
    ConfigurationAdopted = "configuration_adopted", Info, ["revision", "previous"],
        "Another revision is in force.";
    ResourceRejected = "resource_rejected", Warn, ["resource", "version", "last_good_in_force", "reason"],
        "A resource is not valid; its last good version, if this daemon has one, stays in force.";
    ObjectOfUnknownKindIgnored = "object_of_unknown_kind_ignored", Warn, ["object"],
        "The platform holds an object of a kind that this program doesn't know.";
    ConfigurationOlderIgnored = "configuration_older_ignored", Warn, ["found", "in_force"],
        "The platform answered with a revision older than the one in force.";
    ConfigurationReadFailed = "configuration_read_failed", Warn, ["error"],
        "Reading the configuration failed; it is tried again with growing pauses.";
    ConfigurationWatchEnded = "configuration_watch_ended", Debug, [],
        "The watch for changes ended; a new list is read.";
    ConfigurationWatchGap = "configuration_watch_gap", Warn, [],
        "A change is missing from the watch; a new list is read.";
    ConfigurationReaderStopped = "configuration_reader_stopped", Info, ["reason"],
        "A reader whose lease lapsed stopped publishing.";
    StoreReader = "store_reader", Info, ["reading"],
        "This daemon began or ceased to read the configuration from the platform for its zone.";
    StoreDiverged = "store_diverged", Warn, ["revision"],
        "The platform's content differs from what was read under the same revision.";
    ConfigurationNotEncoded = "configuration_not_encoded", Error, ["error"],
        "The configuration can't be encoded for other daemons.";
    ConfigurationUndecodable = "configuration_undecodable", Error, ["revision", "error"],
        "The configuration that another daemon passed on can't be decoded.";
    MemberDead = "member_dead", Warn, ["id"], "Another daemon no longer answers gossip.";
    ControlMessageDropped = "control_message_dropped", Warn, ["source", "reason", "suppressed"],
        "A control message can't be used.";
    ControlReceiveFailed = "control_receive_failed", Debug, ["error"], "The control socket can't be read.";
    ControlSendFailed = "control_send_failed", Debug, ["to", "error"], "A control message can't be sent.";
    ControlStreamFailed = "control_stream_failed", Debug, ["to"], "A large control message did not arrive.";
    PlatformUnavailable = "platform_unavailable", Warn, ["error"],
        "No address of the platform answered; what was read last stays in use.";
    PlatformAvailable = "platform_available", Info, ["after_ms"], "The platform answers again.";
    MachineListOlderIgnored = "machine_list_older_ignored", Warn, ["found", "in_force"],
        "The platform answered with a machine list older than the one in use.";
    EndpointAdded = "endpoint_added", Info, ["service", "id", "zone"], "A back end is new in the endpoint table.";
    EndpointRemoved = "endpoint_removed", Info, ["service", "id", "zone"], "A back end is no longer in the endpoint table.";
    EndpointLeaving = "endpoint_leaving", Info, ["service", "id", "zone"], "A back end gets no new work from here.";
    EndpointReturned = "endpoint_returned", Info, ["service", "id", "zone"], "A back end that was leaving gets new work again.";
    EndpointsChanged = "endpoints_changed", Info, ["added", "removed", "leaving", "returned"],
        "More than 32 such changes at a time, as numbers instead of the four events above.";
    LevelClosed = "level_closed", Warn, ["level", "limit", "in_flight", "queued"],
        "The admission level of the own back end fell below open; looked at once a second.";
    LevelOpened = "level_opened", Info, ["after_ms"], "The admission level is fully open again.";
    ProcessPaused = "process_paused", Warn, ["length_ms"],
        "The process was not scheduled for this long; calls that arrived meanwhile get less time.";
    OutcomeUnknown = "outcome_unknown", Warn, ["origin", "request_kind", "result", "suppressed"],
        "A request that must take effect at most once ended without a conclusive answer.";
    CallEnded = "call_ended", Debug, ["side", "result", "name", "outcome"],
        "A call ended, one line each.";
    RequestMalformed = "request_malformed", Warn, ["side", "result", "suppressed"], "A request can't be understood.";
    RequestOversized = "request_oversized", Warn, ["side", "result", "suppressed"], "A request is larger than a limit.";
    ContextInvalid = "context_invalid", Warn, ["side", "result", "suppressed"],
        "A call carries no valid context, or names a scope that is not open.";
    PeerConnected = "peer_connected", Info, ["peer"], "A connection to another daemon is open.";
    PeerLost = "peer_lost", Info, ["peer", "error"], "The connection to another daemon ended; the next call opens a new one.";
    PeerConnectFailed = "peer_connect_failed", Warn, ["peer", "error"],
        "No connection to another daemon could be opened; tries are spaced by up to 500 ms.";
    BackendHealthChanged = "backend_health_changed", Info, ["leaving"],
        "The health endpoint of the own back end says otherwise than before whether it is leaving.";
    HealthReadFailed = "health_read_failed", Debug, ["error"],
        "The health endpoint of the own back end could not be read; that changes nothing.";
    BackendConnectFailed = "backend_connect_failed", Warn, ["address", "error", "suppressed"],
        "No connection to the own back end could be opened.";
    BackendConnectionClosed = "backend_connection_closed", Debug, ["error"], "A connection to the own back end broke.";
    ConnectionEnded = "connection_ended", Debug, ["error"], "A connection that was accepted broke.";
    AcceptFailed = "accept_failed", Warn, ["listener", "error"], "A connection could not be accepted.";
    AdminFailed = "admin_failed", Error, ["error"], "The admin side can't serve.";
    ClaimReplica = "claim_replica", Info, ["epoch", "voting", "records"],
        "The claim replica of this daemon joined another group, or began or ceased to vote.";
    ClaimMessageRejected = "claim_message_rejected", Warn, ["error"], "A claim message can't be decoded.";
    ClaimReplyRejected = "claim_reply_rejected", Warn, ["error"], "The reply to a claim message can't be decoded.";
    LibraryMessage = "library_message", Info, ["target", "message"],
        "A library's message, at the level that the library gave it.";
}
