//! Client with one method for each call of the object API.

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
use crate::wire::{LeaseBody, LeaseReply, Machine, MachineList, Object, ObjectKey, ObjectList};
use crate::write::{Keyspace, WriteReceipt, WriteRequest};

/// Maximum length of a name in a path or query, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Result of a lease request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// The requester holds the lease for this duration, counted from when the request was sent.
    Granted(Duration),
    /// Another process holds the lease.
    HeldBy(LeaseReply),
}

/// Client of the platform. Calls may run concurrently.
#[derive(Debug)]
pub struct Client {
    pub(crate) transport: Transport,
}

impl Client {
    /// Creates a client of the platform at `addresses`. The first address is used until a call to it
    /// fails.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, settings: ClientSettings) -> Self {
        Self {
            transport: Transport::new(addresses, settings),
        }
    }

    /// Returns the settings of the client.
    #[must_use]
    pub const fn settings(&self) -> &ClientSettings {
        self.transport.settings()
    }

    /// Returns every configuration object at the current version of the store.
    pub async fn list(&self) -> Result<ObjectList, PlatformError> {
        self.list_in(Keyspace::Objects).await
    }

    /// Returns every status object at the current version of the status keyspace.
    pub async fn list_status(&self) -> Result<ObjectList, PlatformError> {
        self.list_in(Keyspace::Status).await
    }

    /// Returns a configuration object, or `None` when it doesn't exist.
    pub async fn get(&self, key: &ObjectKey) -> Result<Option<Object>, PlatformError> {
        self.get_in(Keyspace::Objects, key).await
    }

    /// Returns a status object, or `None` when it doesn't exist.
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

    /// Creates or replaces a status object, with retries as in [`Self::write_with_retry`].
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

    /// Opens a watch that reports every change after version `from`.
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
                let read = self.transport.read_reply(&target, response);
                let reply = self.transport.bounded(&target, read).await?;
                Err(reply.failure())
            }
        }
    }

    /// Returns the platform's list of machines, which may lag behind the actual state.
    pub async fn machines(&self) -> Result<MachineList, PlatformError> {
        self.get_json("/v1/machines".to_owned()).await
    }

    /// Returns the platform's list of machines, or `None` while its version is still `known`.
    pub async fn machines_if_changed(
        &self,
        known: u64,
    ) -> Result<Option<MachineList>, PlatformError> {
        let path = format!("/v1/machines?unless_version={known}");
        let reply = self
            .transport
            .exchange(Call::new(Method::GET, path))
            .await?;
        if reply.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        reply.success().map(Some)
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

    /// Requests or renews a lease.
    ///
    /// The duration of the lease counts from when the request was sent, so the lease never lasts
    /// longer for its holder than for the platform.
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
        let reply = self.transport.exchange(call).await?;
        if reply.status == StatusCode::CONFLICT {
            return Ok(LeaseOutcome::HeldBy(reply.json()?));
        }
        let granted: LeaseReply = reply.success()?;
        Ok(LeaseOutcome::Granted(Duration::from_millis(
            granted.expires_in_ms,
        )))
    }

    /// Releases a lease. Has no effect when another holder has it.
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
        let reply = self.transport.exchange(call).await?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        reply.success().map(Some)
    }

    async fn get_json<T: serde::de::DeserializeOwned>(
        &self,
        path: String,
    ) -> Result<T, PlatformError> {
        let reply = self
            .transport
            .exchange(Call::new(Method::GET, path))
            .await?;
        reply.success()
    }

    async fn expect_success(&self, call: Call) -> Result<(), PlatformError> {
        let reply = self.transport.exchange(call).await?;
        if reply.status.is_success() {
            return Ok(());
        }
        Err(reply.failure())
    }
}

pub(crate) fn object_path(keyspace: Keyspace, key: &ObjectKey) -> Result<String, PlatformError> {
    let kind = valid_name("kind", &key.kind)?;
    let name = valid_name("name", &key.name)?;
    Ok(format!("{}/{kind}/{name}", keyspace.path()))
}

/// Returns the name if it can be used in a path or query without escaping.
fn valid_name<'name>(field: &'static str, name: &'name str) -> Result<&'name str, PlatformError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
    let valid = !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && !name.starts_with('.')
        && name.bytes().all(allowed);
    if valid {
        return Ok(name);
    }
    Err(PlatformError::InvalidName {
        field,
        given: name.to_owned(),
    })
}
