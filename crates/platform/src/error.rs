//! Errors of the client, numbered from 6001.

use std::error::Error;
use std::fmt;
use std::time::Duration;

use displaydoc::Display;
use wharfquay_resources::snapshot::Revision;

use crate::wire::{Object, ObjectKey};

/// An error of a call to the platform.
#[derive(Debug, Display)]
pub enum PlatformError {
    /// 6001: no address of the platform is configured
    NoAddress,
    /// 6002: {target}: no connection: {detail}
    Connect {
        /// Method and address of the request.
        target: String,
        /// Error of the connection attempt.
        detail: String,
    },
    /// 6003: {target}: no complete reply within {limit:?}
    Timeout {
        /// Method and address of the request.
        target: String,
        /// Timeout that elapsed.
        limit: Duration,
    },
    /// 6004: {target}: connection lost: {detail}
    ConnectionLost {
        /// Method and address of the request.
        target: String,
        /// Error of the connection.
        detail: String,
    },
    /// 6005: {target}: the platform replied with {status}: {detail}
    ServerFailure {
        /// Method and address of the request.
        target: String,
        /// HTTP status, 500 to 599.
        status: u16,
        /// Error text of the platform.
        detail: String,
    },
    /// 6006: {target}: the platform rejected the request with {status}: {detail}
    Rejected {
        /// Method and address of the request.
        target: String,
        /// HTTP status.
        status: u16,
        /// Error text of the platform.
        detail: String,
    },
    /// 6007: {target}: malformed reply: {detail}
    MalformedReply {
        /// Method and address of the request.
        target: String,
        /// Description of what can't be parsed.
        detail: String,
    },
    /// 6008: {0}
    Conflict(Box<Conflict>),
    /// 6009: a watch from version {from} is no longer possible; list again
    WatchTooOld {
        /// Version after which the watch was to start.
        from: u64,
    },
    /// 6010: write of {key} not resolved after {attempts} attempts; it may or may not take effect; last failure: {last}
    WriteUnresolved {
        /// Object of the write.
        key: ObjectKey,
        /// Number of attempts.
        attempts: u32,
        /// Failure of the last attempt.
        last: Box<PlatformError>,
    },
    /// 6011: write of {key} abandoned after {attempts} attempts, none of which took effect; last failure: {last}
    WriteNotApplied {
        /// Object of the write.
        key: ObjectKey,
        /// Number of attempts.
        attempts: u32,
        /// Failure of the last attempt.
        last: Box<PlatformError>,
    },
    /// 6012: {field} {given:?} is not valid: allowed are 1 to 128 letters, digits, dots, hyphens and underscores, but not a leading dot
    InvalidName {
        /// Part of the request that has the value.
        field: &'static str,
        /// The rejected value.
        given: String,
    },
}

impl PlatformError {
    /// Returns the number of the error.
    #[must_use]
    pub const fn number(&self) -> u16 {
        match self {
            Self::NoAddress => 6001,
            Self::Connect { .. } => 6002,
            Self::Timeout { .. } => 6003,
            Self::ConnectionLost { .. } => 6004,
            Self::ServerFailure { .. } => 6005,
            Self::Rejected { .. } => 6006,
            Self::MalformedReply { .. } => 6007,
            Self::Conflict(_) => 6008,
            Self::WatchTooOld { .. } => 6009,
            Self::WriteUnresolved { .. } => 6010,
            Self::WriteNotApplied { .. } => 6011,
            Self::InvalidName { .. } => 6012,
        }
    }

    /// Returns true if the same call may succeed later.
    #[must_use]
    pub const fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. }
                | Self::Timeout { .. }
                | Self::ConnectionLost { .. }
                | Self::ServerFailure { .. }
                | Self::MalformedReply { .. }
        )
    }

    /// Returns true if a write that failed with this error may have taken effect or may still do so.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(
            self,
            Self::Timeout { .. }
                | Self::ConnectionLost { .. }
                | Self::ServerFailure { .. }
                | Self::MalformedReply { .. }
                | Self::WriteUnresolved { .. }
        )
    }
}

impl Error for PlatformError {}

/// A conflict of a write: the object does not have the version that the write expected.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    /// Object of the write.
    pub key: ObjectKey,
    /// Version that the write expected; zero when it expected no object.
    pub expected_version: Revision,
    /// Current state of the object, or `None` when it doesn't exist.
    pub current: Option<Object>,
    /// True if an earlier attempt of the same write got no reply. That attempt may have taken effect
    /// before another write replaced it by `current`.
    pub earlier_attempt_unresolved: bool,
}

impl fmt::Display for Conflict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "write of {} expected ", self.key)?;
        match self.expected_version {
            Revision::ZERO => write!(formatter, "no object")?,
            version => write!(formatter, "version {}", version.number())?,
        }
        match &self.current {
            None => write!(formatter, ", but it doesn't exist")?,
            Some(current) => write!(
                formatter,
                ", but {:?} made version {} of it",
                current.author,
                current.version.number()
            )?,
        }
        if self.earlier_attempt_unresolved {
            write!(
                formatter,
                "; an earlier attempt got no reply and may have been in force before"
            )?;
        }
        Ok(())
    }
}
