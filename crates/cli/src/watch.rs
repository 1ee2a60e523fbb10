//! `watch`: prints each change of the platform's resources as it happens.

use std::time::Duration;

use serde::Serialize;
use wharfquay_platform::conversion::resource_id;
use wharfquay_platform::wire::{Object, WatchEvent};
use wharfquay_platform::{Client, PlatformError};
use wharfquay_resources::snapshot::Revision;

use crate::arguments::Arguments;
use crate::commands::{CommandSpec, Example, Flag, JSON, Positionals};
use crate::connection::{PLATFORM, TIMEOUT, block_on, connect, with_progress};
use crate::error::{CliError, ExitStatus};
use crate::get::Selection;
use crate::output::{Output, progress};

/// Wait before a closed watch is reopened.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);
const ALLOWED_VERSION: &str = "a version of the store, 0 or more";
const ALLOWED_COUNT: &str = "1 or more";

pub(crate) const COMMAND: CommandSpec = CommandSpec {
    name: "watch",
    summary: "Print each change of the platform's resources as it happens",
    details: "\
The watch starts at the current version, resumes after a lost connection, and continues from the
current version when the platform no longer keeps the one to resume from.",
    positionals: Positionals {
        usage: "[KIND [NAME]]",
        minimum: 0,
        maximum: 2,
    },
    flags: &[
        Flag::with_value(
            "from",
            "VERSION",
            "Start with the changes after this version",
        ),
        Flag::with_value("count", "N", "Exit after N changes"),
        PLATFORM,
        TIMEOUT,
        JSON,
    ],
    examples: &[
        Example {
            line: "wharfquay watch --platform 127.0.0.1:7000",
            description: "Print every change.",
        },
        Example {
            line: "wharfquay watch drain --from 0 --count 1 --json",
            description: "Wait for the first drain ever written and print it as JSON.",
        },
    ],
    run,
};

/// A change, as printed with `--json`.
#[derive(Serialize)]
struct ChangeLine<'a> {
    version: u64,
    change: &'static str,
    object: &'a Object,
}

fn run(arguments: &Arguments, output: &mut Output) -> Result<ExitStatus, CliError> {
    let selection = Selection::parse(arguments)?;
    let from: Option<u64> = arguments.value("from", ALLOWED_VERSION)?;
    let count: Option<u64> = arguments.value("count", ALLOWED_COUNT)?;
    let client = connect(arguments)?;
    block_on(async {
        let start = match from {
            Some(version) => Revision::new(version),
            None => {
                with_progress("reading the version", client.list())
                    .await?
                    .version
            }
        };
        let mut follower = Follower {
            selection,
            is_json: arguments.has("json"),
            remaining: count,
            last_version: start,
        };
        follower.follow(&client, output).await
    })
}

/// Follows the store and prints the selected changes.
struct Follower {
    selection: Selection,
    is_json: bool,
    /// Changes left to print; unlimited when absent.
    remaining: Option<u64>,
    /// Version of the last event, from which a reopened watch resumes.
    last_version: Revision,
}

impl Follower {
    /// Prints changes until the requested number is reached.
    async fn follow(
        &mut self,
        client: &Client,
        output: &mut Output,
    ) -> Result<ExitStatus, CliError> {
        let mut was_open = false;
        while self.remaining != Some(0) {
            let error = match client.watch(self.last_version).await {
                Ok(mut stream) => {
                    was_open = true;
                    loop {
                        match stream.next().await {
                            Some(Ok(event)) => self.handle_event(&event, output)?,
                            Some(Err(error)) => break Some(error),
                            None => break None,
                        }
                        if self.remaining == Some(0) {
                            return Ok(ExitStatus::Success);
                        }
                    }
                }
                Err(error) => Some(error),
            };
            self.recover(client, error, was_open).await?;
        }
        Ok(ExitStatus::Success)
    }

    /// Waits before the watch is reopened. Returns the error when the first watch could not be
    /// opened, or when the error is permanent. Continues from the current version when the platform
    /// no longer keeps the last one.
    async fn recover(
        &mut self,
        client: &Client,
        error: Option<PlatformError>,
        was_open: bool,
    ) -> Result<(), CliError> {
        match error {
            Some(PlatformError::WatchTooOld { from }) => {
                progress(&format!(
                    "version {from} is no longer available; continuing from the current one"
                ));
                self.last_version = client.list().await?.version;
                return Ok(());
            }
            Some(error) if !was_open || !error.is_transient() => return Err(error.into()),
            Some(error) => progress(&format!("watch lost, reopening: {error}")),
            None => progress("watch closed, reopening"),
        }
        tokio::time::sleep(REOPEN_INTERVAL).await;
        Ok(())
    }

    fn handle_event(&mut self, event: &WatchEvent, output: &mut Output) -> Result<(), CliError> {
        self.last_version = event.version();
        let (change, object) = match event {
            WatchEvent::Put { object, .. } => ("put", object),
            WatchEvent::Delete { object, .. } => ("delete", object),
            WatchEvent::Bookmark { .. } => return Ok(()),
        };
        let is_selected = resource_id(&object.key).is_some_and(|id| self.selection.covers(&id));
        if !is_selected {
            return Ok(());
        }
        self.remaining = self.remaining.map(|count| count.saturating_sub(1));
        let version = event.version().number();
        if self.is_json {
            return output.write_json(&ChangeLine {
                version,
                change,
                object,
            });
        }
        output.write_line(&format!(
            "{version} {change} {} by \"{}\" {}",
            object.key, object.author, object.spec
        ))
    }
}
