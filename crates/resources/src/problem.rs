//! Numbered problems that parsing and validation report.

use std::fmt;

use serde::Serialize;

use crate::kinds::ResourceId;

/// Severity of a problem.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The resource can't be accepted.
    Error,
    /// The resource is valid but risky.
    Warning,
}

/// Defines the problem codes with number, severity and text in one place, which keeps the three
/// consistent.
macro_rules! problem_codes {
    ($( $(#[doc = $doc:literal])* $name:ident = $number:literal, $severity:ident; )+) => {
        /// Numbered kind of problem in a resource file or object.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[repr(u16)]
        pub enum ProblemCode {
            $( $(#[doc = $doc])* $name = $number, )+
        }

        impl ProblemCode {
            /// Every code, in order of number.
            pub const ALL: &'static [Self] = &[ $( Self::$name, )+ ];

            /// Returns the severity of the problem.
            #[must_use]
            pub const fn severity(self) -> Severity {
                match self {
                    $( Self::$name => Severity::$severity, )+
                }
            }

            /// Returns the name used in logs.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $( Self::$name => stringify!($name), )+
                }
            }

            /// Returns the meaning of the code in one sentence.
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
    /// The file is not valid TOML.
    Syntax = 5001, Error;
    /// A top-level key of the file is not a resource kind, or its value is not a list of tables.
    UnknownKind = 5002, Error;
    /// The resource has a field that its kind does not define.
    UnknownField = 5003, Error;
    /// A required field is absent.
    MissingField = 5004, Error;
    /// The type of the value differs from the type of the field.
    WrongType = 5005, Error;
    /// The number or the length of the list is out of range.
    OutOfRange = 5006, Error;
    /// The text does not have the syntax that the field requires.
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
    /// A request kind requires idempotency keys, but there is no claim group to record them.
    ClaimGroupMissing = 5104, Error;
    /// The resource was deleted while another one refers to it.
    StillReferenced = 5105, Error;
    /// The epoch or the previous replicas of the claim group do not match the group stored on the platform.
    EpochOutOfOrder = 5106, Error;
    /// Services call each other in a cycle.
    CallCycle = 5201, Warning;
    /// The budget allows more retries than the longest call chain that uses it has services.
    RetryBudgetAboveDepth = 5202, Warning;
    /// The drain removes every backend of a service.
    DrainLeavesNoCapacity = 5203, Warning;
    /// The maximum queue waits along the call chain add up to the deadline or more.
    DeadlineBelowQueueWait = 5204, Warning;
    /// The mean wait before the first retry is not below the deadline.
    DeadlineBelowBackoff = 5205, Warning;
    /// No retry budget applies, so requests of this kind are never retried.
    NoRetryBudget = 5206, Warning;
    /// An idempotency key is required for requests that are repeatable anyway.
    KeyWithoutEffect = 5207, Warning;
    /// There is no claim group, so a repeat of a non-repeatable request by its caller is not recognised.
    RepeatsNotRecognised = 5208, Warning;
    /// Drains cover a majority of the replicas of the claim group.
    ClaimGroupLosesMajority = 5209, Warning;
    /// The claim group is not the one that is used.
    ClaimGroupUnused = 5210, Warning;
    /// The settings of a daemon are not valid.
    InvalidSettings = 5301, Error;
    /// A scenario is not valid.
    InvalidScenario = 5302, Error;
}

impl ProblemCode {
    /// Returns the number of the code.
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

/// A problem of a resource, independent of the source of the resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Kind of problem.
    pub code: ProblemCode,
    /// The resource; `None` when its name can't be read.
    pub resource: Option<ResourceId>,
    /// Path of the field within the resource; empty when the problem concerns the whole resource.
    pub field: String,
    /// Description of the problem, with the rejected value.
    pub message: String,
    /// The values allowed there; empty when there is nothing to list.
    pub allowed: String,
}

impl Finding {
    /// Creates a finding without a resource; see [`Self::about`].
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

    /// Sets the resource of the finding.
    pub(crate) fn about(mut self, resource: &ResourceId) -> Self {
        self.resource = Some(resource.clone());
        self
    }

    /// Returns the severity of the finding.
    #[must_use]
    pub const fn severity(&self) -> Severity {
        self.code.severity()
    }

    /// Returns the path of the field from the root of a file, such as `service.booking.slots`.
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

/// A [`Finding`] and its position in a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Name of the file, as specified by the user.
    pub file: String,
    /// Line in the file, from 1.
    pub line: usize,
    /// The problem.
    #[serde(flatten)]
    pub finding: Finding,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.file, self.line, self.finding)
    }
}
