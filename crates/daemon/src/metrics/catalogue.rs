//! The catalogue of all metrics. `docs/OPERATIONS.md` lists the same table.

/// The Prometheus type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A value that only increases.
    Counter,
    /// A value that increases and decreases.
    Gauge,
}

impl Kind {
    /// Returns the name of the type in the Prometheus text format.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
        }
    }
}

/// The daemons that export a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// All daemons.
    Always,
    /// Only daemons beside a backend.
    BesideBackend,
}

macro_rules! metrics {
    ($( $variant:ident = $name:literal, $kind:ident, $unit:literal, $labels:literal, $presence:ident, $help:literal; )+) => {
        /// A metric of the daemon.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Metric {
            $( #[doc = $help] $variant, )+
        }

        impl Metric {
            /// All metrics, in the order of the `/metrics` page.
            pub const ALL: &'static [Self] = &[$( Self::$variant, )+];

            /// Returns the exported name.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $( Self::$variant => $name, )+ }
            }

            /// Returns the Prometheus type.
            #[must_use]
            pub const fn kind(self) -> Kind {
                match self { $( Self::$variant => Kind::$kind, )+ }
            }

            /// Returns the unit of the value.
            #[must_use]
            pub const fn unit(self) -> &'static str {
                match self { $( Self::$variant => $unit, )+ }
            }

            /// Returns the names of the labels, separated by spaces.
            #[must_use]
            pub const fn labels(self) -> &'static str {
                match self { $( Self::$variant => $labels, )+ }
            }

            /// Returns which daemons export the metric.
            #[must_use]
            pub const fn presence(self) -> Presence {
                match self { $( Self::$variant => Presence::$presence, )+ }
            }

            /// Returns the help text.
            #[must_use]
            pub const fn help(self) -> &'static str {
                match self { $( Self::$variant => $help, )+ }
            }
        }
    };
}

metrics! {
    Calls = "wharfquay_calls_total", Counter, "calls", "side result name outcome", Always,
        "Calls that ended, by side, result code and outcome class.";
    CallsCancelled = "wharfquay_calls_cancelled_total", Counter, "calls", "side", Always,
        "Calls whose caller went away before the answer.";
    Admissions = "wharfquay_admissions_total", Counter, "calls", "side priority decision", Always,
        "Calls by priority: at the edge refused means not run; at the inbound side, refused by admission.";
    Retries = "wharfquay_retries_total", Counter, "retries", "", Always,
        "Retries sent.";
    Claims = "wharfquay_claims_total", Counter, "claims", "verdict", Always,
        "Claims on idempotency keys that this edge asked for, by verdict.";
    TruncatedBodies = "wharfquay_answer_bodies_cut_total", Counter, "answers", "", Always,
        "Answers whose body broke off.";
    AcceptErrors = "wharfquay_accept_errors_total", Counter, "connections", "", Always,
        "Connections that could not be accepted.";
    ControlMessages = "wharfquay_control_messages_total", Counter, "messages", "transport direction", Always,
        "Control messages: datagrams, and requests and answers on streams that other daemons opened.";
    ControlBytes = "wharfquay_control_bytes_total", Counter, "bytes", "transport direction", Always,
        "Length of these messages, without headers; on streams, as far as it was stated.";
    Ready = "wharfquay_ready", Gauge, "0 or 1", "", Always,
        "Whether the daemon can serve.";
    Leaving = "wharfquay_leaving", Gauge, "0 or 1", "", Always,
        "Whether the own back end is marked as leaving.";
    ConfigurationRevision = "wharfquay_configuration_revision", Gauge, "revision", "", Always,
        "Revision in force; 0 before the first one.";
    PlatformAvailable = "wharfquay_platform_available", Gauge, "0 or 1", "", Always,
        "Whether the platform answered the last read of the machine list.";
    Endpoints = "wharfquay_endpoints", Gauge, "back ends", "state", Always,
        "Back ends in the endpoint table, by state.";
    CallsInFlight = "wharfquay_calls_in_flight", Gauge, "calls", "", Always,
        "Calls that have not ended.";
    PeersConnected = "wharfquay_peers_connected", Gauge, "daemons", "", Always,
        "Daemons with an open connection for calls.";
    MembersLive = "wharfquay_members_live", Gauge, "daemons", "", Always,
        "Daemons that gossip takes for alive, this one included; 0 without a control listener.";
    ClaimEpoch = "wharfquay_claim_epoch", Gauge, "epoch", "", Always,
        "Epoch of the claim group in force; 0 without one.";
    ClaimVoting = "wharfquay_claim_voting", Gauge, "0 or 1", "", Always,
        "Whether this daemon's replica votes.";
    ClaimRecords = "wharfquay_claim_records", Gauge, "keys", "", Always,
        "Idempotency keys that the replica remembers.";
    ClaimContentBytes = "wharfquay_claim_content_bytes", Gauge, "bytes", "", Always,
        "Bytes of answers that the replica keeps for repeats.";
    AdmissionLevel = "wharfquay_admission_level", Gauge, "keys", "", BesideBackend,
        "Admission level, 0 (closed) to 32768 (open).";
    AdmissionInFlight = "wharfquay_admission_in_flight", Gauge, "calls", "", BesideBackend,
        "Calls in execution at the back end.";
    AdmissionLimit = "wharfquay_admission_limit", Gauge, "calls", "", BesideBackend,
        "Concurrency limit in force.";
    AdmissionQueued = "wharfquay_admission_queued", Gauge, "calls", "", BesideBackend,
        "Calls that wait.";
    BackendConnections = "wharfquay_backend_connections", Gauge, "connections", "", BesideBackend,
        "Open connections to the back end.";
}
