//! Errors of the client, numbered from 6001.

use std::error::Error;
use std::fmt;
use std::time::Duration;

use displaydoc::Display;
use wharfquay_resources::snapshot::Revision;

use crate::wire::{Object, ObjectKey};

/// Why a call to the platform failed.
#[derive(Debug, Display)]
pub enum PlatformError {
    /// 6001: no address of the platform is configured
    NoAddress,
    /// 6002: {target}: no connection: {detail}
    Connect {
        /// Method and address of the request.
        target: String,
        /// What the connection attempt reported.
        detail: String,
    },
    /// 6003: {target}: no whole answer within {limit:?}
    Timeout {
        /// Method and address of the request.
        target: String,
        /// The time that was allowed.
        limit: Duration,
    },
    /// 6004: {target}: connection lost: {detail}
    ConnectionLost {
        /// Method and address of the request.
        target: String,
        /// What the connection reported.
        detail: String,
    },
    /// 6005: {target}: the platform answered {status}: {detail}
    ServerFailure {
        /// Method and address of the request.
        target: String,
        /// HTTP status, 500 to 599.
        status: u16,
        /// The platform's own words.
        detail: String,
    },
    /// 6006: {target}: the platform rejected the request with {status}: {detail}
    Rejected {
        /// Method and address of the request.
        target: String,
        /// HTTP status.
        status: u16,
        /// The platform's own words.
        detail: String,
    },
    /// 6007: {target}: malformed answer: {detail}
    MalformedAnswer {
        /// Method and address of the request.
        target: String,
        /// What can't be read.
        detail: String,
    },
    /// 6008: {0}
    Conflict(Box<Conflict>),
    /// 6009: a watch from version {from} is not possible any more; list again
    WatchTooOld {
        /// Number of the version that the watch was to start from.
        from: u64,
    },
    /// 6010: write of {key} not resolved after {attempts} attempts, so it may or may not take effect; last failure: {last}
    WriteUnresolved {
        /// Object that was to be written.
        key: ObjectKey,
        /// Attempts made.
        attempts: u32,
        /// Failure of the last attempt.
        last: Box<PlatformError>,
    },
    /// 6011: write of {key} given up after {attempts} attempts, none of which took effect; last failure: {last}
    WriteNotApplied {
        /// Object that was to be written.
        key: ObjectKey,
        /// Attempts made.
        attempts: u32,
        /// Failure of the last attempt.
        last: Box<PlatformError>,
    },
    /// 6012: {field} {given:?} is not valid: allowed are 1 to 128 letters, digits, dots, hyphens and underscores, but not a leading dot
    InvalidName {
        /// Which part of the request.
        field: &'static str,
        /// The value.
        given: String,
    },
}

impl PlatformError {
    /// The error's number.
    #[must_use]
    pub const fn number(&self) -> u16 {
        match self {
            Self::NoAddress => 6001,
            Self::Connect { .. } => 6002,
            Self::Timeout { .. } => 6003,
            Self::ConnectionLost { .. } => 6004,
            Self::ServerFailure { .. } => 6005,
            Self::Rejected { .. } => 6006,
            Self::MalformedAnswer { .. } => 6007,
            Self::Conflict(_) => 6008,
            Self::WatchTooOld { .. } => 6009,
            Self::WriteUnresolved { .. } => 6010,
            Self::WriteNotApplied { .. } => 6011,
            Self::InvalidName { .. } => 6012,
        }
    }

    /// Whether the same call may succeed later.
    #[must_use]
    pub const fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. }
                | Self::Timeout { .. }
                | Self::ConnectionLost { .. }
                | Self::ServerFailure { .. }
                | Self::MalformedAnswer { .. }
        )
    }

    /// Whether a write that ended so may have taken effect, or may still do.
    #[must_use]
    pub const fn leaves_write_open(&self) -> bool {
        matches!(
            self,
            Self::Timeout { .. }
                | Self::ConnectionLost { .. }
                | Self::ServerFailure { .. }
                | Self::MalformedAnswer { .. }
                | Self::WriteUnresolved { .. }
        )
    }
}

impl Error for PlatformError {}

/// A write that met another version than it expected.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    /// Object that was to be written.
    pub key: ObjectKey,
    /// Version that the write expected; zero when the object was not to exist.
    pub expected_version: Revision,
    /// The object as it stands, or `None` when it doesn't exist.
    pub current: Option<Object>,
    /// Whether an earlier attempt of the same write had no answer. That attempt may have taken
    /// effect and been replaced since; in force now is `current`.
    pub earlier_attempt_open: bool,
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
        if self.earlier_attempt_open {
            write!(
                formatter,
                "; an earlier attempt had no answer and may have been in force until then"
            )?;
        }
        Ok(())
    }
}
