//! Writes with an expected version, and recognition of writes whose reply was lost.

use http::{Method, StatusCode};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::Value;
use tokio::time::Instant;
use wharfquay_resources::snapshot::Revision;

use crate::client::{Client, object_path};
use crate::error::{Conflict, PlatformError};
use crate::transport::{Call, Reply};
use crate::wire::{ConflictReply, DeleteReply, Object, ObjectKey, OperationId, PutBody};

/// Maximum number of conflicts that [`Client::update_status`] resolves before it fails.
const MAX_UPDATE_CONFLICTS: u32 = 16;

/// A set of objects. Each keyspace has its own versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Keyspace {
    /// Configuration, written by operators and watched by readers.
    Objects,
    /// Status, written by the system.
    Status,
}

impl Keyspace {
    /// Returns the path prefix of the keyspace.
    #[must_use]
    pub const fn path(self) -> &'static str {
        match self {
            Self::Objects => "/v1/objects",
            Self::Status => "/v1/status",
        }
    }
}

/// The action of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteAction {
    /// Creates or replaces the object with this content.
    Put(Value),
    /// Deletes the object.
    Delete,
}

/// A write operation. Every attempt of it carries the same operation id.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteRequest {
    /// Keyspace of the object.
    pub keyspace: Keyspace,
    /// Object to write.
    pub key: ObjectKey,
    /// Version that the object must have; zero means that it must not exist.
    pub expected_version: Revision,
    /// Id of the write operation.
    pub operation: OperationId,
    /// Author of the write.
    pub author: String,
    /// Action of the write.
    pub action: WriteAction,
}

impl WriteRequest {
    /// Creates a write that creates or replaces a configuration object.
    #[must_use]
    pub fn put(
        key: ObjectKey,
        expected_version: Revision,
        author: impl Into<String>,
        spec: Value,
    ) -> Self {
        Self {
            keyspace: Keyspace::Objects,
            key,
            expected_version,
            operation: OperationId::unique(),
            author: author.into(),
            action: WriteAction::Put(spec),
        }
    }

    /// Creates a write that deletes a configuration object.
    #[must_use]
    pub fn delete(key: ObjectKey, expected_version: Revision, author: impl Into<String>) -> Self {
        Self {
            keyspace: Keyspace::Objects,
            key,
            expected_version,
            operation: OperationId::unique(),
            author: author.into(),
            action: WriteAction::Delete,
        }
    }

    /// Returns the same write for the status keyspace.
    #[must_use]
    pub fn in_status(mut self) -> Self {
        self.keyspace = Keyspace::Status;
        self
    }
}

/// A write that has taken effect.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteReceipt {
    /// The object after the write; `None` after a deletion.
    pub object: Option<Object>,
    /// Version of the store after the write; `None` when a deletion was recognised by the missing
    /// object, which has no version.
    pub version: Option<Revision>,
    /// Number of attempts.
    pub attempts: u32,
    /// True if the reply was lost and the write was recognised by the state of the object.
    pub recognised_after_lost_reply: bool,
}

impl WriteRequest {
    /// Returns true if the object has the operation id of this write.
    #[must_use]
    pub fn made(&self, current: Option<&Object>) -> bool {
        current.is_some_and(|object| object.operation == self.operation)
    }

    /// Returns true if the object in a conflict shows that an earlier attempt of this write took
    /// effect.
    ///
    /// For a deletion that is an object that doesn't exist, even if another write deleted it. This is
    /// valid only for the reply to a write: the reply to a read may come from an older state, in which
    /// the object is not created yet.
    #[must_use]
    pub fn explains_conflict(&self, current: Option<&Object>) -> bool {
        match (&self.action, current) {
            (WriteAction::Delete, None) => true,
            _ => self.made(current),
        }
    }
}

/// Creates the error for a write whose expected version was not the current one.
#[must_use]
pub fn conflict(
    request: &WriteRequest,
    current: Option<Object>,
    earlier_attempt_unresolved: bool,
) -> PlatformError {
    PlatformError::Conflict(Box::new(Conflict {
        key: request.key.clone(),
        expected_version: request.expected_version,
        current,
        earlier_attempt_unresolved,
    }))
}

impl Client {
    /// Makes one attempt of a write.
    ///
    /// On a conflict, returns [`PlatformError::Conflict`] unless the current object already has the
    /// operation id of the write. After other errors it may be unknown whether the write took effect,
    /// see
    /// [`PlatformError::may_have_taken_effect`].
    pub async fn write(&self, request: &WriteRequest) -> Result<WriteReceipt, PlatformError> {
        let reply = self.transport.exchange(write_call(request)?).await?;
        if reply.status == StatusCode::CONFLICT {
            return resolve_conflict(request, &reply);
        }
        if request.action == WriteAction::Delete {
            let deleted: DeleteReply = reply.success()?;
            return Ok(receipt(None, Some(deleted.version)));
        }
        let object: Object = reply.success()?;
        let version = object.version;
        Ok(receipt(Some(object), Some(version)))
    }

    /// Makes a write and retries it until it is known to have taken effect, until it conflicts with
    /// another version, or until the write timeout.
    ///
    /// After an attempt without a reply the object is read back: if it has the operation id of the
    /// write, the write took effect. Otherwise the same operation is sent again, which is safe since
    /// at most one attempt can match the expected version; a conflict then returns the current
    /// object. A read that returns anything else proves nothing, since the reply may come from an
    /// older state. A deletion counts as done when the object doesn't exist after an attempt without
    /// a reply, even if another write deleted it.
    pub async fn write_with_retry(
        &self,
        request: &WriteRequest,
    ) -> Result<WriteReceipt, PlatformError> {
        let give_up_at = Instant::now() + self.settings().write_timeout;
        let mut attempts = 0;
        let mut unresolved = false;
        loop {
            attempts += 1;
            let error = match self.write(request).await {
                Ok(receipt) => return Ok(with_attempts(receipt, attempts)),
                Err(error) => error,
            };
            if let PlatformError::Conflict(conflict) = error {
                let result = resolve_retry_conflict(request, conflict.current, unresolved);
                return result.map(|receipt| with_attempts(receipt, attempts));
            }
            if !error.is_transient() {
                return Err(error);
            }
            unresolved |= error.may_have_taken_effect();
            self.back_off(attempts).await;
            if unresolved && let Some(object) = self.read_back(request).await? {
                return Ok(with_attempts(recognised(Some(object)), attempts));
            }
            if Instant::now() >= give_up_at {
                return Err(abandoned(request, attempts, unresolved, error));
            }
        }
    }

    /// Writes a status object whose new content depends on the current one.
    ///
    /// `change` returns the new content, or `None` to leave the object unchanged. It is called again
    /// with the newer object after a conflict with another writer; after too many conflicts the last
    /// one is returned. The change must tolerate being applied twice: an attempt without a reply may
    /// have taken effect and been replaced before the next one.
    pub async fn update_status(
        &self,
        key: &ObjectKey,
        author: &str,
        mut change: impl FnMut(Option<&Object>) -> Option<Value>,
    ) -> Result<(), PlatformError> {
        let mut current = self.get_status_with_retry(key).await?;
        let mut conflicts = 0;
        loop {
            let Some(spec) = change(current.as_ref()) else {
                return Ok(());
            };
            let version = current.map_or(Revision::ZERO, |object| object.version);
            match self.put_status(key.clone(), version, author, spec).await {
                Ok(_) => return Ok(()),
                Err(PlatformError::Conflict(conflict)) if conflicts < MAX_UPDATE_CONFLICTS => {
                    conflicts += 1;
                    current = conflict.current;
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Reads a status object and retries transient failures until the write timeout.
    async fn get_status_with_retry(
        &self,
        key: &ObjectKey,
    ) -> Result<Option<Object>, PlatformError> {
        let give_up_at = Instant::now() + self.settings().write_timeout;
        let mut failures = 0;
        loop {
            let error = match self.get_status(key).await {
                Err(error) if error.is_transient() => error,
                result => return result,
            };
            failures += 1;
            self.back_off(failures).await;
            if Instant::now() >= give_up_at {
                return Err(error);
            }
        }
    }

    async fn back_off(&self, failures: u32) {
        let backoff = &self.settings().backoff;
        let delay = backoff.delay(failures, &mut rand::rng());
        tokio::time::sleep(delay).await;
    }

    /// Reads the object back after an attempt without a reply; returns it if it has the operation id
    /// of the write.
    async fn read_back(&self, request: &WriteRequest) -> Result<Option<Object>, PlatformError> {
        match self.get_in(request.keyspace, &request.key).await {
            Ok(current) => Ok(current.filter(|object| request.made(Some(object)))),
            Err(error) if error.is_transient() => Ok(None),
            Err(error) => Err(error),
        }
    }
}

fn write_call(request: &WriteRequest) -> Result<Call, PlatformError> {
    let path = object_path(request.keyspace, &request.key)?;
    match &request.action {
        WriteAction::Put(spec) => {
            let body = PutBody {
                expected_version: request.expected_version,
                operation: request.operation,
                author: request.author.clone(),
                spec: spec.clone(),
            };
            Call::with_json(Method::PUT, path, &body)
        }
        WriteAction::Delete => {
            let query = format!(
                "expected_version={}&operation={}&author={}",
                request.expected_version.number(),
                request.operation,
                utf8_percent_encode(&request.author, NON_ALPHANUMERIC),
            );
            Ok(Call::new(Method::DELETE, format!("{path}?{query}")))
        }
    }
}

/// Resolves a conflict of one attempt: it is a success if the object already has the operation id.
fn resolve_conflict(request: &WriteRequest, reply: &Reply) -> Result<WriteReceipt, PlatformError> {
    let current = reply.json::<ConflictReply>()?.current;
    if request.made(current.as_ref()) {
        return Ok(recognised(current));
    }
    Err(conflict(request, current, false))
}

/// Resolves a conflict of a retried write: after an attempt without a reply, the conflict may be with
/// that attempt.
fn resolve_retry_conflict(
    request: &WriteRequest,
    current: Option<Object>,
    unresolved: bool,
) -> Result<WriteReceipt, PlatformError> {
    if unresolved && request.explains_conflict(current.as_ref()) {
        return Ok(recognised(current));
    }
    Err(conflict(request, current, unresolved))
}

const fn receipt(object: Option<Object>, version: Option<Revision>) -> WriteReceipt {
    WriteReceipt {
        object,
        version,
        attempts: 1,
        recognised_after_lost_reply: false,
    }
}

fn recognised(current: Option<Object>) -> WriteReceipt {
    WriteReceipt {
        version: current.as_ref().map(|object| object.version),
        object: current,
        attempts: 1,
        recognised_after_lost_reply: true,
    }
}

fn with_attempts(receipt: WriteReceipt, attempts: u32) -> WriteReceipt {
    WriteReceipt {
        attempts,
        ..receipt
    }
}

fn abandoned(
    request: &WriteRequest,
    attempts: u32,
    unresolved: bool,
    last: PlatformError,
) -> PlatformError {
    let key = request.key.clone();
    let last = Box::new(last);
    if unresolved {
        return PlatformError::WriteUnresolved {
            key,
            attempts,
            last,
        };
    }
    PlatformError::WriteNotApplied {
        key,
        attempts,
        last,
    }
}
