//! Numbered problems that parsing and validation report.

use std::fmt;

use serde::Serialize;

use crate::kinds::ResourceId;

/// Whether a problem keeps a resource from being accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The resource is not accepted.
    Error,
    /// The resource is legal but risky.
    Warning,
}

/// Defines the problem codes once, so that number, severity and text can't drift apart.
macro_rules! problem_codes {
    ($( $(#[doc = $doc:literal])* $name:ident = $number:literal, $severity:ident; )+) => {
        /// Numbered kind of a problem in a resource file or object.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[repr(u16)]
        pub enum ProblemCode {
            $( $(#[doc = $doc])* $name = $number, )+
        }

        impl ProblemCode {
            /// Every code, in order of its number.
            pub const ALL: &'static [Self] = &[ $( Self::$name, )+ ];

            /// Whether the problem is an error or a warning.
            #[must_use]
            pub const fn severity(self) -> Severity {
                match self {
                    $( Self::$name => Severity::$severity, )+
                }
            }

            /// The name used in logs.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $( Self::$name => stringify!($name), )+
                }
            }

            /// What the code means, in one sentence.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self {
                    $( Self::$name => concat!($($doc),+).trim_ascii(), )+
                }
            }
        }
    };
}

problem_codes! {
    /// The file is not well-formed TOML.
    Syntax = 5001, Error;
    /// The file has a top-level key that is no resource kind, or not as a list of tables.
    UnknownKind = 5002, Error;
    /// The resource has a field that its kind does not know.
    UnknownField = 5003, Error;
    /// A required field is absent.
    MissingField = 5004, Error;
    /// The value has another type than the field.
    WrongType = 5005, Error;
    /// The number, or the length of the list, is out of range.
    OutOfRange = 5006, Error;
    /// The text does not have the form that the field requires.
    InvalidText = 5007, Error;
    /// Two fields of the resource contradict each other.
    InconsistentFields = 5008, Error;
    /// The name in the object's path differs from the one in its spec.
    NameMismatch = 5009, Error;
    /// The file can't be read.
    Unreadable = 5010, Error;
    /// Two resources of a kind have the same name.
    DuplicateResource = 5101, Error;
    /// A field names a resource that does not exist.
    UnknownReference = 5102, Error;
    /// Two request kinds match the same requests.
    AmbiguousMatch = 5103, Error;
    /// A request kind requires idempotency keys and there is no claim group to record them.
    ClaimGroupMissing = 5104, Error;
    /// The resource was deleted while another one refers to it.
    StillReferenced = 5105, Error;
    /// The claim group does not follow on the one that the platform holds.
    EpochOutOfOrder = 5106, Error;
    /// Services call each other in a cycle.
    CallCycle = 5201, Warning;
    /// The budget allows more retries than its longest chain has services.
    RetryBudgetAboveDepth = 5202, Warning;
    /// The drain leaves a service without a back end.
    DrainLeavesNoCapacity = 5203, Warning;
    /// The queue waits on the longest chain add up to the deadline or more.
    DeadlineBelowQueueWait = 5204, Warning;
    /// The first retry comes, on average, after the deadline.
    DeadlineBelowBackoff = 5205, Warning;
    /// No retry budget applies, so the request kind has no retries.
    NoRetryBudget = 5206, Warning;
    /// An idempotency key is required for requests that may be repeated anyway.
    KeyWithoutEffect = 5207, Warning;
    /// There is no claim group, so a repeat of a non-repeatable request by its caller is not recognised.
    RepeatsNotRecognised = 5208, Warning;
    /// Drains cover a majority of the claim group's replicas.
    ClaimGroupLosesMajority = 5209, Warning;
    /// The claim group is not the one in use.
    ClaimGroupUnused = 5210, Warning;
    /// A daemon's settings can't be used.
    InvalidSettings = 5301, Error;
    /// A scenario can't be used.
    InvalidScenario = 5302, Error;
}

impl ProblemCode {
    /// The code's number.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl Serialize for ProblemCode {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u16(self.number())
    }
}

/// A problem of a resource, independent of where the resource was read from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// What kind of problem.
    pub code: ProblemCode,
    /// The resource, unless its name can't be read.
    pub resource: Option<ResourceId>,
    /// Path of the field inside the resource; empty when the whole resource is meant.
    pub field: String,
    /// What is wrong, with the given value.
    pub message: String,
    /// What is allowed there.
    pub allowed: String,
}

impl Finding {
    /// A finding whose resource is filled in later.
    pub(crate) fn new(
        code: ProblemCode,
        field: impl Into<String>,
        message: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            code,
            resource: None,
            field: field.into(),
            message: message.into(),
            allowed: allowed.into(),
        }
    }

    /// The same finding about `resource`.
    pub(crate) fn about(mut self, resource: &ResourceId) -> Self {
        self.resource = Some(resource.clone());
        self
    }

    /// Whether the finding is an error or a warning.
    #[must_use]
    pub const fn severity(&self) -> Severity {
        self.code.severity()
    }

    /// Path of the field from the root of a file, such as `service.booking.slots`.
    #[must_use]
    pub fn field_path(&self) -> String {
        let Some(resource) = &self.resource else {
            return self.field.clone();
        };
        let owner = format!("{}.{}", resource.kind, resource.name);
        if self.field.is_empty() {
            return owner;
        }
        format!("{owner}.{}", self.field)
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: ", self.field_path())?;
        if self.severity() == Severity::Warning {
            formatter.write_str("warning: ")?;
        }
        formatter.write_str(&self.message)?;
        if !self.allowed.is_empty() {
            write!(formatter, " (allowed: {})", self.allowed)?;
        }
        write!(formatter, " [{}]", self.code.number())
    }
}

/// A [`Finding`] and the place in a file that caused it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The file, as named by the user.
    pub file: String,
    /// Line in the file, from 1.
    pub line: usize,
    /// What was found.
    #[serde(flatten)]
    pub finding: Finding,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.file, self.line, self.finding)
    }
}
