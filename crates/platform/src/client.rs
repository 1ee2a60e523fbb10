//! The client: one method for each call of the object API.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::Value;
use wharfquay_resources::snapshot::Revision;

use crate::error::PlatformError;
use crate::settings::ClientSettings;
use crate::transport::{Call, Transport};
use crate::watch::WatchStream;
use crate::wire::{LeaseAnswer, LeaseBody, Machine, MachineList, Object, ObjectKey, ObjectList};
use crate::write::{Keyspace, WriteReceipt, WriteRequest};

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
    pub(crate) transport: Transport,
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

    /// The platform's list of machines unless its version is still `known`.
    pub async fn machines_unless(&self, known: u64) -> Result<Option<MachineList>, PlatformError> {
        let path = format!("/v1/machines?unless_version={known}");
        let answer = self
            .transport
            .exchange(Call::new(Method::GET, path))
            .await?;
        if answer.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        answer.success().map(Some)
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

    pub(crate) async fn get_in(
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
}

pub(crate) fn object_path(keyspace: Keyspace, key: &ObjectKey) -> Result<String, PlatformError> {
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
