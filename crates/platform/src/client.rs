//! The client: one method for each call of the object API.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::Value;
use tokio::time::Instant;
use wharfquay_resources::snapshot::Revision;

use crate::error::PlatformError;
use crate::settings::ClientSettings;
use crate::transport::{Answer, Call, Transport};
use crate::watch::WatchStream;
use crate::wire::{
    ConflictAnswer, DeleteAnswer, LeaseAnswer, LeaseBody, Machine, MachineList, Object, ObjectKey,
    ObjectList, PutBody,
};
use crate::write::{Keyspace, ReadBack, WriteAction, WriteReceipt, WriteRequest, conflict, judge};

/// Longest name, in bytes.
const MAXIMUM_NAME_BYTES: usize = 128;

/// What became of a request for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// The lease is held by the one who asked, for this long from when the request was sent.
    Granted(Duration),
    /// Someone else holds the lease.
    HeldBy(LeaseAnswer),
}

/// Client of the platform. Calls may run side by side.
#[derive(Debug)]
pub struct Client {
    transport: Transport,
}

impl Client {
    /// A client of the platform that answers at `addresses`; the first is tried first.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, settings: ClientSettings) -> Self {
        Self {
            transport: Transport::new(addresses, settings),
        }
    }

    /// The bounds in use.
    #[must_use]
    pub const fn settings(&self) -> &ClientSettings {
        self.transport.settings()
    }

    /// Every configuration object at the store's version.
    pub async fn list(&self) -> Result<ObjectList, PlatformError> {
        self.list_in(Keyspace::Objects).await
    }

    /// Every status object at the status keyspace's version.
    pub async fn list_status(&self) -> Result<ObjectList, PlatformError> {
        self.list_in(Keyspace::Status).await
    }

    /// A configuration object, or `None` when it doesn't exist.
    pub async fn get(&self, key: &ObjectKey) -> Result<Option<Object>, PlatformError> {
        self.get_in(Keyspace::Objects, key).await
    }

    /// A status object, or `None` when it doesn't exist.
    pub async fn get_status(&self, key: &ObjectKey) -> Result<Option<Object>, PlatformError> {
        self.get_in(Keyspace::Status, key).await
    }

    /// Creates or replaces a configuration object in one attempt.
    pub async fn put(
        &self,
        key: ObjectKey,
        expected_version: Revision,
        author: &str,
        spec: Value,
    ) -> Result<WriteReceipt, PlatformError> {
        let request = WriteRequest::put(key, expected_version, author, spec);
        self.write(&request).await
    }

    /// Deletes a configuration object in one attempt.
    pub async fn delete(
        &self,
        key: ObjectKey,
        expected_version: Revision,
        author: &str,
    ) -> Result<WriteReceipt, PlatformError> {
        let request = WriteRequest::delete(key, expected_version, author);
        self.write(&request).await
    }

    /// Creates or replaces a status object, repeating attempts as [`Self::write_with_retry`] does.
    pub async fn put_status(
        &self,
        key: ObjectKey,
        expected_version: Revision,
        author: &str,
        spec: Value,
    ) -> Result<WriteReceipt, PlatformError> {
        let request = WriteRequest::put(key, expected_version, author, spec).in_status();
        self.write_with_retry(&request).await
    }

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
    /// After an attempt without an answer the object is read back: it carries the write's operation
    /// id if the write took effect. Otherwise the same operation is sent again, which is safe since
    /// at most one attempt can meet the expected version. A deletion is taken as done when the
    /// object is gone, whoever deleted it.
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
            let delay = self.settings().backoff.delay(attempts, &mut rand::rng());
            tokio::time::sleep(delay).await;
            if open && let Some(receipt) = self.read_back(request).await? {
                return Ok(with_attempts(receipt, attempts));
            }
            if Instant::now() >= give_up_at {
                return Err(given_up(request, attempts, open, error));
            }
        }
    }

    /// Opens a watch that tells of every change after version `from`.
    pub async fn watch(&self, from: Revision) -> Result<WatchStream, PlatformError> {
        let path = format!("/v1/watch?from={}", from.number());
        let (target, response) = self.transport.open(Call::new(Method::GET, path)).await?;
        match response.status() {
            StatusCode::OK => {
                let idle_timeout = self.settings().watch_idle_timeout;
                Ok(WatchStream::new(target, response.into_body(), idle_timeout))
            }
            StatusCode::GONE => Err(PlatformError::WatchTooOld {
                from: from.number(),
            }),
            _ => {
                let read = self.transport.read_answer(&target, response);
                let answer = self.transport.bounded(&target, read).await?;
                Err(answer.failure())
            }
        }
    }

    /// The platform's list of machines, which may lag behind reality.
    pub async fn machines(&self) -> Result<MachineList, PlatformError> {
        self.get_json("/v1/machines".to_owned()).await
    }

    /// Adds a machine to the platform's list or replaces its entry.
    pub async fn put_machine(&self, machine: &Machine) -> Result<(), PlatformError> {
        let path = format!("/v1/machines/{}", valid_name("machine id", &machine.id)?);
        let call = Call::with_json(Method::PUT, path, machine)?;
        self.expect_success(call).await
    }

    /// Removes a machine from the platform's list.
    pub async fn delete_machine(&self, id: &str) -> Result<(), PlatformError> {
        let path = format!("/v1/machines/{}", valid_name("machine id", id)?);
        self.expect_success(Call::new(Method::DELETE, path)).await
    }

    /// Asks for a lease or renews it.
    ///
    /// The time granted counts from when the request was sent, so that the holder never believes in
    /// its lease for longer than the platform does.
    pub async fn acquire_lease(
        &self,
        name: &str,
        holder: &str,
        ttl: Duration,
    ) -> Result<LeaseOutcome, PlatformError> {
        let path = format!("/v1/leases/{}", valid_name("lease name", name)?);
        let body = LeaseBody {
            holder: holder.to_owned(),
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        };
        let call = Call::with_json(Method::PUT, path, &body)?;
        let answer = self.transport.exchange(call).await?;
        if answer.status == StatusCode::CONFLICT {
            return Ok(LeaseOutcome::HeldBy(answer.json()?));
        }
        let granted: LeaseAnswer = answer.success()?;
        Ok(LeaseOutcome::Granted(Duration::from_millis(
            granted.expires_in_ms,
        )))
    }

    /// Gives up a lease. Nothing happens when the lease is someone else's.
    pub async fn release_lease(&self, name: &str, holder: &str) -> Result<(), PlatformError> {
        let name = valid_name("lease name", name)?;
        let holder = utf8_percent_encode(holder, NON_ALPHANUMERIC);
        let path = format!("/v1/leases/{name}?holder={holder}");
        self.expect_success(Call::new(Method::DELETE, path)).await
    }

    async fn list_in(&self, keyspace: Keyspace) -> Result<ObjectList, PlatformError> {
        self.get_json(keyspace.path().to_owned()).await
    }

    async fn get_in(
        &self,
        keyspace: Keyspace,
        key: &ObjectKey,
    ) -> Result<Option<Object>, PlatformError> {
        let call = Call::new(Method::GET, object_path(keyspace, key)?);
        let answer = self.transport.exchange(call).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        answer.success().map(Some)
    }

    async fn get_json<T: serde::de::DeserializeOwned>(
        &self,
        path: String,
    ) -> Result<T, PlatformError> {
        let answer = self
            .transport
            .exchange(Call::new(Method::GET, path))
            .await?;
        answer.success()
    }

    async fn expect_success(&self, call: Call) -> Result<(), PlatformError> {
        let answer = self.transport.exchange(call).await?;
        if answer.status.is_success() {
            return Ok(());
        }
        Err(answer.failure())
    }

    /// Reads the object back after an attempt without an answer.
    ///
    /// Returns the receipt if the write took effect, `None` if it should be sent again.
    async fn read_back(
        &self,
        request: &WriteRequest,
    ) -> Result<Option<WriteReceipt>, PlatformError> {
        let current = match self.get_in(request.keyspace, &request.key).await {
            Ok(current) => current,
            Err(error) if error.is_transient() => return Ok(None),
            Err(error) => return Err(error),
        };
        match judge(request, current.as_ref()) {
            ReadBack::Applied => Ok(Some(recognised(current))),
            ReadBack::NotYetApplied => Ok(None),
            ReadBack::Replaced => Err(conflict(request, current, true)),
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
    match &current {
        Some(object) if object.operation == request.operation => Ok(recognised(current)),
        _ => Err(conflict(request, current, false)),
    }
}

/// A conflict after an attempt without an answer may be with that very attempt.
fn settle_conflict(
    request: &WriteRequest,
    current: Option<Object>,
    open: bool,
) -> Result<WriteReceipt, PlatformError> {
    if open && judge(request, current.as_ref()) == ReadBack::Applied {
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

fn object_path(keyspace: Keyspace, key: &ObjectKey) -> Result<String, PlatformError> {
    let kind = valid_name("kind", &key.kind)?;
    let name = valid_name("name", &key.name)?;
    Ok(format!("{}/{kind}/{name}", keyspace.path()))
}

/// Passes a name that can stand in a path or query as it is.
fn valid_name<'name>(field: &'static str, given: &'name str) -> Result<&'name str, PlatformError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
    let valid = !given.is_empty()
        && given.len() <= MAXIMUM_NAME_BYTES
        && !given.starts_with('.')
        && given.bytes().all(allowed);
    if valid {
        return Ok(given);
    }
    Err(PlatformError::InvalidName {
        field,
        given: given.to_owned(),
    })
}
