//! Flags, client, progress messages and reads for the commands that use the platform.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{Instant, MissedTickBehavior};
use wharfquay_platform::conversion::resource_id;
use wharfquay_platform::wire::{Object, ObjectList};
use wharfquay_platform::{Client, ClientSettings};
use wharfquay_resources::acceptance::{Acceptance, StoredObject, accept};
use wharfquay_resources::kinds::{ResourceId, ResourceKind};
use wharfquay_resources::snapshot::Snapshot;

use crate::arguments::{Arguments, parse_value};
use crate::commands::Flag;
use crate::error::CliError;
use crate::output::progress;

/// Environment variable with the platform's addresses, used without `--platform`.
const PLATFORM_VARIABLE: &str = "WHARFQUAY_PLATFORM";
/// Environment variable with the author's name, used without `--author`.
const USER_VARIABLE: &str = "USER";
const UNKNOWN_AUTHOR: &str = "unknown";
const ALLOWED_ADDRESS: &str = "ip:port, several separated by commas";
/// Interval of progress messages; the first one comes after this time.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
const DEFAULT_TIMEOUT_MS: u64 = 10_000;
const ALLOWED_TIMEOUT: &str = "1 to 3600000, in milliseconds";
const MAX_TIMEOUT_MS: u64 = 3_600_000;

pub(crate) const PLATFORM: Flag = Flag::with_value(
    "platform",
    "IP:PORT",
    "Comma-separated addresses of the platform (or $WHARFQUAY_PLATFORM)",
);
pub(crate) const AUTHOR: Flag = Flag::with_value(
    "author",
    "NAME",
    "Name recorded with each write (default: $USER)",
);
pub(crate) const TIMEOUT: Flag = Flag::with_value(
    "timeout-ms",
    "MS",
    "Timeout of reads and writes (default: 10000)",
);

/// Runs a future to completion on a new single-threaded runtime.
pub(crate) fn block_on<T>(
    future: impl Future<Output = Result<T, CliError>>,
) -> Result<T, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CliError::Runtime)?;
    runtime.block_on(future)
}

/// Awaits a future, and shows progress messages while it takes long.
pub(crate) async fn with_progress<T>(operation: &str, future: impl Future<Output = T>) -> T {
    let started = Instant::now();
    let mut ticks = tokio::time::interval_at(started + PROGRESS_INTERVAL, PROGRESS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    tokio::pin!(future);
    loop {
        tokio::select! {
            result = &mut future => return result,
            _ = ticks.tick() => {
                progress(&format!("{operation}: {} s", started.elapsed().as_secs()));
            }
        }
    }
}

/// Creates a client of the platform that the flags or the environment specify.
pub(crate) fn connect(arguments: &Arguments) -> Result<Client, CliError> {
    let addresses = platform_addresses(arguments)?.ok_or(CliError::MissingFlag {
        flag: PLATFORM.name,
        allowed: ALLOWED_ADDRESS,
    })?;
    let timeout = timeout(arguments)?;
    let defaults = ClientSettings::default();
    let settings = ClientSettings {
        call_timeout: defaults.call_timeout.min(timeout),
        connect_timeout: defaults.connect_timeout.min(timeout),
        write_timeout: timeout,
        ..defaults
    };
    Ok(Client::new(addresses, settings))
}

/// Returns true if a flag or the environment specifies the platform.
pub(crate) fn platform_is_specified(arguments: &Arguments) -> bool {
    arguments.has(PLATFORM.name) || std::env::var_os(PLATFORM_VARIABLE).is_some()
}

/// Returns the addresses of the platform; `None` when neither a flag nor the environment specifies
/// one.
pub(crate) fn platform_addresses(
    arguments: &Arguments,
) -> Result<Option<Vec<SocketAddr>>, CliError> {
    let specified = arguments.text(PLATFORM.name);
    let Some(text) = specified.or_else(|| std::env::var(PLATFORM_VARIABLE).ok()) else {
        return Ok(None);
    };
    parse_addresses("--platform", &text).map(Some)
}

/// Parses addresses that are separated by commas. `name` is the flag, for the error.
pub(crate) fn parse_addresses(name: &str, text: &str) -> Result<Vec<SocketAddr>, CliError> {
    let parts = text.split(',').map(str::trim);
    parts
        .map(|part| parse_value(name, part, ALLOWED_ADDRESS))
        .collect()
}

/// Returns the timeout of reads and writes.
pub(crate) fn timeout(arguments: &Arguments) -> Result<Duration, CliError> {
    let specified: Option<u64> = arguments.value(TIMEOUT.name, ALLOWED_TIMEOUT)?;
    let millis = specified.unwrap_or(DEFAULT_TIMEOUT_MS);
    if (1..=MAX_TIMEOUT_MS).contains(&millis) {
        return Ok(Duration::from_millis(millis));
    }
    Err(CliError::invalid_value(
        "--timeout-ms",
        &millis.to_string(),
        "out of range",
        ALLOWED_TIMEOUT,
    ))
}

/// Returns the author of writes.
pub(crate) fn author(arguments: &Arguments) -> String {
    let specified = arguments.text(AUTHOR.name);
    specified
        .or_else(|| std::env::var(USER_VARIABLE).ok())
        .filter(|name| !name.is_empty())
        .unwrap_or_else(|| UNKNOWN_AUTHOR.to_owned())
}

/// Parses the identity of a resource from its kind and name.
pub(crate) fn parse_id(kind: &str, name: &str) -> Result<ResourceId, CliError> {
    Ok(ResourceId::new(parse_kind(kind)?, name))
}

/// Parses the name of a resource kind.
pub(crate) fn parse_kind(text: &str) -> Result<ResourceKind, CliError> {
    let names: Vec<&str> = ResourceKind::ALL.iter().map(|kind| kind.as_str()).collect();
    let found = ResourceKind::ALL
        .into_iter()
        .find(|kind| kind.as_str() == text);
    found.ok_or_else(|| {
        CliError::invalid_value("KIND", text, "unknown resource kind", &names.join(", "))
    })
}

/// Objects that the platform holds, and the configuration that is accepted from them.
pub(crate) struct PlatformView {
    /// Every object of a known kind.
    pub(crate) objects: BTreeMap<ResourceId, Object>,
    /// The accepted configuration, and the objects that are rejected.
    pub(crate) acceptance: Acceptance,
}

impl PlatformView {
    /// Reads every object from the platform.
    pub(crate) async fn read(client: &Client) -> Result<Self, CliError> {
        let list = with_progress("reading the platform's objects", client.list()).await?;
        Ok(Self::from_list(&list))
    }

    fn from_list(list: &ObjectList) -> Self {
        let known = list.objects.iter().filter_map(|object| {
            let id = resource_id(&object.key)?;
            Some((id, object.clone()))
        });
        let objects: BTreeMap<ResourceId, Object> = known.collect();
        let stored: Vec<StoredObject> = objects
            .iter()
            .map(|(id, object)| StoredObject {
                id: id.clone(),
                version: object.version,
                spec: object.spec.clone(),
            })
            .collect();
        Self {
            acceptance: accept(&Snapshot::default(), list.version, &stored),
            objects,
        }
    }
}
