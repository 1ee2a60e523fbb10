//! Writes with an expected version, and the recognition of writes whose answer was lost.

use http::{Method, StatusCode};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::Value;
use tokio::time::Instant;
use wharfquay_resources::snapshot::Revision;

use crate::client::{Client, object_path};
use crate::error::{Conflict, PlatformError};
use crate::transport::{Answer, Call};
use crate::wire::{ConflictAnswer, DeleteAnswer, Object, ObjectKey, OperationId, PutBody};

/// Conflicts after which [`Client::update_status`] gives up.
const MAXIMUM_UPDATE_CONFLICTS: u32 = 16;

/// Which set of objects a write or read is about. Each has its own versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Keyspace {
    /// Configuration, which operators write and readers watch.
    Objects,
    /// Status, which the system writes.
    Status,
}

impl Keyspace {
    /// First part of the keyspace's paths.
    #[must_use]
    pub const fn path(self) -> &'static str {
        match self {
            Self::Objects => "/v1/objects",
            Self::Status => "/v1/status",
        }
    }
}

/// What a write does to its object.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteAction {
    /// Creates or replaces the object with this content.
    Put(Value),
    /// Deletes the object.
    Delete,
}

/// One intended write. Every attempt of it carries the same operation id.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteRequest {
    /// Where the object lies.
    pub keyspace: Keyspace,
    /// Object to write.
    pub key: ObjectKey,
    /// Version that the object must have; zero means that it must not exist.
    pub expected_version: Revision,
    /// Id of the write.
    pub operation: OperationId,
    /// Who makes the write.
    pub author: String,
    /// What to do.
    pub action: WriteAction,
}

impl WriteRequest {
    /// A write that creates or replaces a configuration object.
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

    /// A write that deletes a configuration object.
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

    /// The same write in the status keyspace.
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
    /// Version of the store after the write; absent when a deletion was recognised on re-read,
    /// which doesn't tell it.
    pub version: Option<Revision>,
    /// Attempts made.
    pub attempts: u32,
    /// Whether the answer was lost and the effect was recognised by reading the object back.
    pub recognised: bool,
}

impl WriteRequest {
    /// Whether an object carries this write's operation id.
    #[must_use]
    pub fn made(&self, current: Option<&Object>) -> bool {
        current.is_some_and(|object| object.operation == self.operation)
    }

    /// Whether the object that a conflict shows is the work of an earlier attempt of this write.
    ///
    /// An object that doesn't exist satisfies a deletion, whoever made it. This holds only for the
    /// answer to a write: a plain read may be answered from an older state, in which the object is
    /// not created yet.
    #[must_use]
    pub fn explains_conflict(&self, current: Option<&Object>) -> bool {
        match (&self.action, current) {
            (WriteAction::Delete, None) => true,
            _ => self.made(current),
        }
    }
}

/// The error for a write that met another version.
#[must_use]
pub fn conflict(
    request: &WriteRequest,
    current: Option<Object>,
    earlier_attempt_open: bool,
) -> PlatformError {
    PlatformError::Conflict(Box::new(Conflict {
        key: request.key.clone(),
        expected_version: request.expected_version,
        current,
        earlier_attempt_open,
    }))
}

impl Client {
    /// Makes one attempt of a write.
    ///
    /// A [`PlatformError::Conflict`] is returned unless the current object already carries the
    /// write's operation id. Other errors may leave open whether the write took effect, see
    /// [`PlatformError::leaves_write_open`].
    pub async fn write(&self, request: &WriteRequest) -> Result<WriteReceipt, PlatformError> {
        let answer = self.transport.exchange(write_call(request)?).await?;
        if answer.status == StatusCode::CONFLICT {
            return resolve_conflict(request, &answer);
        }
        if request.action == WriteAction::Delete {
            let deleted: DeleteAnswer = answer.success()?;
            return Ok(receipt(None, Some(deleted.version)));
        }
        let object: Object = answer.success()?;
        let version = object.version;
        Ok(receipt(Some(object), Some(version)))
    }

    /// Makes a write, repeating it until it is known to have taken effect or to have met another
    /// version, or until the write timeout.
    ///
    /// After an attempt without an answer the object is read back: if it carries the write's
    /// operation id, the write took effect. Otherwise the same operation is sent again, which is
    /// safe since at most one attempt can meet the expected version; a conflict then shows the
    /// object as it stands. A read that shows anything else proves nothing, since it may be
    /// answered from an older state. A deletion is taken as done when the object is gone after an
    /// attempt without an answer, whoever deleted it.
    pub async fn write_with_retry(
        &self,
        request: &WriteRequest,
    ) -> Result<WriteReceipt, PlatformError> {
        let give_up_at = Instant::now() + self.settings().write_timeout;
        let mut attempts = 0;
        let mut open = false;
        loop {
            attempts += 1;
            let error = match self.write(request).await {
                Ok(receipt) => return Ok(with_attempts(receipt, attempts)),
                Err(error) => error,
            };
            if let PlatformError::Conflict(met) = error {
                let result = settle_conflict(request, met.current, open);
                return result.map(|receipt| with_attempts(receipt, attempts));
            }
            if !error.is_transient() {
                return Err(error);
            }
            open |= error.leaves_write_open();
            self.back_off(attempts).await;
            if open && let Some(object) = self.read_back(request).await? {
                return Ok(with_attempts(recognised(Some(object)), attempts));
            }
            if Instant::now() >= give_up_at {
                return Err(given_up(request, attempts, open, error));
            }
        }
    }

    /// Writes a status object whose content follows from the current one.
    ///
    /// `change` is called again with the newer object when another writer came first; it returns
    /// `None` to leave the object as it is. The last conflict is returned when other writers came
    /// first too often. The change must bear being made twice: an attempt without an answer may have
    /// taken effect and been replaced before the next one.
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
                Err(PlatformError::Conflict(met)) if conflicts < MAXIMUM_UPDATE_CONFLICTS => {
                    conflicts += 1;
                    current = met.current;
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Reads a status object, repeating the read until the write timeout.
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

    /// Reads the object back after an attempt without an answer; returns it if it carries the
    /// write's operation id.
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

/// A conflict with an object that already carries the operation id is a success.
fn resolve_conflict(
    request: &WriteRequest,
    answer: &Answer,
) -> Result<WriteReceipt, PlatformError> {
    let current = answer.json::<ConflictAnswer>()?.current;
    if request.made(current.as_ref()) {
        return Ok(recognised(current));
    }
    Err(conflict(request, current, false))
}

/// A conflict after an attempt without an answer may be with that very attempt.
fn settle_conflict(
    request: &WriteRequest,
    current: Option<Object>,
    open: bool,
) -> Result<WriteReceipt, PlatformError> {
    if open && request.explains_conflict(current.as_ref()) {
        return Ok(recognised(current));
    }
    Err(conflict(request, current, open))
}

const fn receipt(object: Option<Object>, version: Option<Revision>) -> WriteReceipt {
    WriteReceipt {
        object,
        version,
        attempts: 1,
        recognised: false,
    }
}

fn recognised(current: Option<Object>) -> WriteReceipt {
    WriteReceipt {
        version: current.as_ref().map(|object| object.version),
        object: current,
        attempts: 1,
        recognised: true,
    }
}

fn with_attempts(receipt: WriteReceipt, attempts: u32) -> WriteReceipt {
    WriteReceipt {
        attempts,
        ..receipt
    }
}

fn given_up(
    request: &WriteRequest,
    attempts: u32,
    open: bool,
    last: PlatformError,
) -> PlatformError {
    let key = request.key.clone();
    let last = Box::new(last);
    if open {
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
