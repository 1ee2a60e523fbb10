//! The field table: type, unit, range, default and meaning of each field of each kind.
//!
//! Validation uses this table, and the reference page `docs/CONFIGURATION.md` is generated from it.

use crate::kinds::ResourceKind;

/// HTTP methods that a request kind may match.
pub const METHODS: &[&str] = &["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
/// Keys of a drain's target; exactly one is set.
pub const DRAIN_TARGETS: &[&str] = &["backend", "service", "zone"];
/// Maximum length of a resource name, in bytes.
pub const MAX_NAME_LENGTH: usize = 64;
/// Maximum length of a daemon id or zone, in bytes.
pub const MAX_IDENTIFIER_LENGTH: usize = 128;
/// Maximum length of a path prefix, in bytes.
pub const MAX_PATH_LENGTH: usize = 1_024;
/// Largest integer that JSON readers with 64-bit floating-point numbers represent exactly.
const MAX_EXACT_INTEGER: u64 = (1 << 53) - 1;

/// Type and range of a field.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldType {
    /// Name of the resource itself.
    Name,
    /// Name of another resource, which is of this kind.
    Reference(ResourceKind),
    /// List of names of resources of this kind, without duplicates.
    References(ResourceKind),
    /// List of daemon ids, without duplicates.
    Identifiers {
        /// Minimum number of entries.
        minimum: usize,
        /// Maximum number of entries.
        maximum: usize,
    },
    /// Whole number.
    Integer {
        /// Smallest value.
        minimum: u64,
        /// Largest value.
        maximum: u64,
    },
    /// Number from 0.0 to 1.0.
    Fraction,
    /// `true` or `false`.
    Boolean,
    /// One of [`METHODS`].
    Method,
    /// Path that starts with a slash.
    PathPrefix,
    /// Table with exactly one of [`DRAIN_TARGETS`].
    DrainTarget,
}

impl FieldType {
    /// Returns the allowed values as text, for messages and the reference page.
    #[must_use]
    pub fn allowed(self) -> String {
        match self {
            Self::Name | Self::Reference(_) => name_form(),
            Self::References(kind) => format!("a list of {kind} names, each once"),
            Self::Identifiers { minimum, maximum } => {
                format!("a list of {minimum} to {maximum} daemon ids, each once")
            }
            Self::Integer { minimum, maximum } => format!("{minimum} to {maximum}"),
            Self::Fraction => "0.0 to 1.0".to_owned(),
            Self::Boolean => "true, false".to_owned(),
            Self::Method => METHODS.join(", "),
            Self::PathPrefix => {
                format!("\"/\" and at most {MAX_PATH_LENGTH} visible ASCII characters in all")
            }
            Self::DrainTarget => {
                "{ backend = \"…\" }, { service = \"…\" } or { zone = \"…\" }".to_owned()
            }
        }
    }

    /// Returns the name of the type, for messages and the reference page.
    #[must_use]
    pub const fn type_name(self) -> &'static str {
        match self {
            Self::Name | Self::Reference(_) | Self::Method | Self::PathPrefix => "string",
            Self::References(_) | Self::Identifiers { .. } => "list of strings",
            Self::Integer { .. } => "integer",
            Self::Fraction => "number",
            Self::Boolean => "boolean",
            Self::DrainTarget => "table",
        }
    }
}

/// Returns the syntax of a resource name as text, for messages.
pub(crate) fn name_form() -> String {
    format!("1 to {MAX_NAME_LENGTH} of a-z 0-9 _ -, starting with a letter or digit")
}

/// Returns the syntax of a daemon id or zone as text, for messages.
pub(crate) fn identifier_form() -> String {
    format!("1 to {MAX_IDENTIFIER_LENGTH} of A-Z a-z 0-9 _ - . :, starting with a letter or digit")
}

/// The default of a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldDefault {
    /// The field must be present.
    Required,
    /// The field defaults to this value, written as JSON.
    Value(&'static str),
    /// The field has no value by default, which has this effect.
    Absent(&'static str),
}

/// One field of a resource kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Field {
    /// Name in files and in the object API.
    pub name: &'static str,
    /// Type and range.
    pub field_type: FieldType,
    /// Unit of the value; empty when it has none.
    pub unit: &'static str,
    /// Default, or whether the field is required.
    pub default: FieldDefault,
    /// Meaning in one sentence, for the reference page.
    pub description: &'static str,
}

const fn field(
    name: &'static str,
    field_type: FieldType,
    unit: &'static str,
    default: FieldDefault,
    description: &'static str,
) -> Field {
    Field {
        name,
        field_type,
        unit,
        default,
        description,
    }
}

const fn integer(minimum: u64, maximum: u64) -> FieldType {
    FieldType::Integer { minimum, maximum }
}

const NAME: Field = field(
    "name",
    FieldType::Name,
    "",
    FieldDefault::Required,
    "Name, unique within the kind.",
);

const SERVICE: &[Field] = &[
    NAME,
    field(
        "slots",
        integer(1, 10_000),
        "requests",
        FieldDefault::Required,
        "Requests that one backend executes concurrently: the concurrency limit that its daemon enforces.",
    ),
    field(
        "connections",
        integer(1, 100_000),
        "connections",
        FieldDefault::Value("120"),
        "Maximum number of connections that one backend accepts.",
    ),
    field(
        "queue_wait_ms",
        integer(0, 60_000),
        "ms",
        FieldDefault::Value("50"),
        "Maximum time that a call may wait in a backend's queue.",
    ),
    field(
        "warm_up_ms",
        integer(0, 600_000),
        "ms",
        FieldDefault::Value("5000"),
        "Time over which the traffic share of a newly started (cold) backend grows to its full size.",
    ),
    field(
        "calls",
        FieldType::References(ResourceKind::Service),
        "",
        FieldDefault::Value("[]"),
        "Services that this one calls; used for validation and planning.",
    ),
];

const REQUEST_KIND: &[Field] = &[
    NAME,
    field(
        "service",
        FieldType::Reference(ResourceKind::Service),
        "",
        FieldDefault::Required,
        "Entry service to which the request is addressed.",
    ),
    field(
        "method",
        FieldType::Method,
        "",
        FieldDefault::Absent("every method"),
        "HTTP method that the request must have.",
    ),
    field(
        "path_prefix",
        FieldType::PathPrefix,
        "",
        FieldDefault::Value("\"/\""),
        "Prefix that the request's path must have; the longest matching prefix wins.",
    ),
    field(
        "priority",
        integer(0, 7),
        "",
        FieldDefault::Required,
        "Importance: 0 is refused last, 7 first.",
    ),
    field(
        "deadline_ms",
        integer(1, 600_000),
        "ms",
        FieldDefault::Required,
        "Time within which the caller needs the complete response.",
    ),
    field(
        "repeatable",
        FieldType::Boolean,
        "",
        FieldDefault::Value("true"),
        "Whether executing the request twice has the effect of executing it once.",
    ),
    field(
        "idempotency_key_required",
        FieldType::Boolean,
        "",
        FieldDefault::Value("false"),
        "Whether a request that is not repeatable must carry an idempotency key.",
    ),
    field(
        "retry_budget",
        FieldType::Reference(ResourceKind::RetryBudget),
        "",
        FieldDefault::Absent("the budget named `default`"),
        "Retry budget that applies.",
    ),
];

const RETRY_BUDGET: &[Field] = &[
    NAME,
    field(
        "retries_per_request",
        integer(0, 64),
        "retries",
        FieldDefault::Required,
        "Maximum number of retries in total for one originating request across its whole call chain.",
    ),
    field(
        "ratio",
        FieldType::Fraction,
        "retries per success",
        FieldDefault::Value("0.1"),
        "Maximum number of retries to one destination as a fraction of its successful calls.",
    ),
    field(
        "backoff_base_ms",
        integer(0, 60_000),
        "ms",
        FieldDefault::Value("5"),
        "Shortest mean wait before a retry.",
    ),
    field(
        "backoff_max_ms",
        integer(0, 60_000),
        "ms",
        FieldDefault::Value("100"),
        "Longest mean wait before a retry; not below `backoff_base_ms`.",
    ),
];

const DRAIN: &[Field] = &[
    NAME,
    field(
        "target",
        FieldType::DrainTarget,
        "",
        FieldDefault::Required,
        "Backends to drain: one backend by its daemon's id, every backend of a service, or every backend of a zone.",
    ),
    field(
        "limit_ms",
        integer(0, 3_600_000),
        "ms",
        FieldDefault::Value("30000"),
        "Maximum time that calls in flight may take to complete.",
    ),
];

const CLAIM_GROUP: &[Field] = &[
    NAME,
    field(
        "epoch",
        integer(1, MAX_EXACT_INTEGER),
        "",
        FieldDefault::Required,
        "Number that increases by one with each change of the replicas; the first is 1.",
    ),
    field(
        "replicas",
        FieldType::Identifiers {
            minimum: 1,
            maximum: 9,
        },
        "",
        FieldDefault::Required,
        "Ids of the daemons that hold a replica; an odd number, spread over several zones. Only the group named `default` is used.",
    ),
    field(
        "previous_replicas",
        FieldType::Identifiers {
            minimum: 0,
            maximum: 9,
        },
        "",
        FieldDefault::Absent("allowed only in epoch 1, which has no votes to take over"),
        "Replicas of the previous epoch, whose votes the new ones take over; an empty list states that none of them is running any more.",
    ),
    field(
        "clock_skew_ms",
        integer(0, 60_000),
        "ms",
        FieldDefault::Value("1000"),
        "Maximum difference between the clocks of two machines.",
    ),
    field(
        "retention_ms",
        integer(1_000, 86_400_000),
        "ms",
        FieldDefault::Value("600000"),
        "Time for which a claim is retained and a repeat with the same key is recognised.",
    ),
];

/// Returns the fields of a kind, in the order of the reference page.
#[must_use]
pub const fn fields_of(kind: ResourceKind) -> &'static [Field] {
    match kind {
        ResourceKind::Service => SERVICE,
        ResourceKind::RequestKind => REQUEST_KIND,
        ResourceKind::RetryBudget => RETRY_BUDGET,
        ResourceKind::Drain => DRAIN,
        ResourceKind::ClaimGroup => CLAIM_GROUP,
    }
}
