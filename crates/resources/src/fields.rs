//! The field table: type, unit, range, default and meaning of each field of each kind.
//!
//! Validation and the reference page `docs/CONFIGURATION.md` are both driven by this table.

use crate::kinds::ResourceKind;

/// HTTP methods that a request kind may name.
pub const METHODS: &[&str] = &["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
/// Keys that a drain's target may have.
pub const DRAIN_TARGETS: &[&str] = &["backend", "service", "zone"];
/// Longest name of a resource, in bytes.
pub const MAXIMUM_NAME_LENGTH: usize = 64;
/// Longest daemon id or zone, in bytes.
pub const MAXIMUM_IDENTIFIER_LENGTH: usize = 128;
/// Longest path prefix, in bytes.
pub const MAXIMUM_PATH_LENGTH: usize = 1_024;
/// Largest integer that every JSON reader holds exactly.
const MAXIMUM_EXACT_INTEGER: u64 = (1 << 53) - 1;

/// Type and range of a field.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldType {
    /// Name of the resource itself.
    Name,
    /// Name of a resource of this kind.
    Reference(ResourceKind),
    /// List of names of resources of this kind, without repeats.
    References(ResourceKind),
    /// List of daemon ids, without repeats.
    Identifiers {
        /// Fewest entries.
        minimum: usize,
        /// Most entries.
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
    /// What is allowed, in words.
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
                format!("\"/\" and at most {MAXIMUM_PATH_LENGTH} visible ASCII characters in all")
            }
            Self::DrainTarget => {
                "{ backend = \"…\" }, { service = \"…\" } or { zone = \"…\" }".to_owned()
            }
        }
    }

    /// Name of the type, for messages and the reference page.
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

/// The form of a name, in words.
pub(crate) fn name_form() -> String {
    format!("1 to {MAXIMUM_NAME_LENGTH} of a-z 0-9 _ -, starting with a letter or digit")
}

/// The form of a daemon id or zone, in words.
pub(crate) fn identifier_form() -> String {
    format!(
        "1 to {MAXIMUM_IDENTIFIER_LENGTH} of A-Z a-z 0-9 _ - . :, starting with a letter or digit"
    )
}

/// What holds when a field is absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldDefault {
    /// The field must be present.
    Required,
    /// This value, in JSON.
    Value(&'static str),
    /// No value, with this effect.
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
    /// What holds when the field is absent.
    pub default: FieldDefault,
    /// Meaning, in one sentence.
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
    "Name, unique inside the kind.",
);

const SERVICE: &[Field] = &[
    NAME,
    field(
        "slots",
        integer(1, 10_000),
        "requests",
        FieldDefault::Required,
        "Requests that one back end executes at a time: the concurrency limit that its daemon keeps.",
    ),
    field(
        "connections",
        integer(1, 100_000),
        "connections",
        FieldDefault::Value("120"),
        "Connections that one back end accepts.",
    ),
    field(
        "queue_wait_ms",
        integer(0, 60_000),
        "ms",
        FieldDefault::Value("50"),
        "Longest time that a call may wait in a back end's queue.",
    ),
    field(
        "warm_up_ms",
        integer(0, 600_000),
        "ms",
        FieldDefault::Value("5000"),
        "Time over which a cold back end's share grows to its full size.",
    ),
    field(
        "calls",
        FieldType::References(ResourceKind::Service),
        "",
        FieldDefault::Value("[]"),
        "Services that this one calls; used for checks and plans.",
    ),
];

const REQUEST_KIND: &[Field] = &[
    NAME,
    field(
        "service",
        FieldType::Reference(ResourceKind::Service),
        "",
        FieldDefault::Required,
        "Entry service that the request is addressed to.",
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
        "Time in which the whole answer is worth something.",
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
        "Retries in total for one originating request across its whole chain.",
    ),
    field(
        "ratio",
        FieldType::Fraction,
        "retries per success",
        FieldDefault::Value("0.1"),
        "Retries to one destination as a fraction of its successes.",
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
        "What leaves: one back end by its daemon's id, every back end of a service, or every back end of a zone.",
    ),
    field(
        "limit_ms",
        integer(0, 3_600_000),
        "ms",
        FieldDefault::Value("30000"),
        "Longest time that calls in flight may take to end.",
    ),
];

const CLAIM_GROUP: &[Field] = &[
    NAME,
    field(
        "epoch",
        integer(1, MAXIMUM_EXACT_INTEGER),
        "",
        FieldDefault::Required,
        "Number that grows by one with each change of the members; the first group has number 1.",
    ),
    field(
        "replicas",
        FieldType::Identifiers {
            minimum: 1,
            maximum: 9,
        },
        "",
        FieldDefault::Required,
        "Ids of the daemons that hold a replica; an odd number, over several zones. The group named `default` is the one in use.",
    ),
    field(
        "previous_replicas",
        FieldType::Identifiers {
            minimum: 0,
            maximum: 9,
        },
        "",
        FieldDefault::Absent("allowed in epoch 1 only, which takes over no votes"),
        "Replicas of the epoch before, whose votes the new ones take over; an empty list states that none of them runs any more.",
    ),
    field(
        "clock_skew_ms",
        integer(0, 60_000),
        "ms",
        FieldDefault::Value("1000"),
        "Largest difference between two machines' clocks.",
    ),
    field(
        "retention_ms",
        integer(1_000, 86_400_000),
        "ms",
        FieldDefault::Value("600000"),
        "Time that a claim is kept and a key may be repeated.",
    ),
];

/// The fields of a kind, in the order of the reference page.
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
