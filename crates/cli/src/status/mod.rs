//! `status`: shows which configuration is in force in each zone, and the load of the daemons.

pub(crate) mod daemons;
pub(crate) mod platform;

use std::io::IsTerminal;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use wharfquay_platform::Client;

use crate::arguments::Arguments;
use crate::commands::{CommandSpec, Example, Flag, JSON, Positionals};
use crate::connection::{PLATFORM, TIMEOUT, block_on, connect, platform_is_specified, timeout};
use crate::daemon_status::{DAEMON, daemon_addresses};
use crate::error::{CliError, ExitStatus};
use crate::output::{Output, progress};
use crate::status::daemons::{DaemonView, read_daemons, render_daemons};
use crate::status::platform::{ResourceView, read_resources, render_resources};

const DEFAULT_INTERVAL_MS: u64 = 2_000;
const ALLOWED_INTERVAL: &str = "100 to 3600000, in milliseconds";
const ALLOWED_COUNT: &str = "1 or more";
/// Escape sequence that moves the cursor home and clears the screen.
const CLEAR_SCREEN: &str = "\x1b[H\x1b[J";

pub(crate) const COMMAND: CommandSpec = CommandSpec {
    name: "status",
    summary: "Show revisions in force, verdicts, drains, limits and levels",
    details: "\
With --platform: every resource, whether its version is accepted, and the revision in force in each
zone. With --daemon: the state of each daemon and of each service. The exit code is 1 when a
resource is rejected or a daemon does not respond.",
    positionals: Positionals {
        usage: "",
        minimum: 0,
        maximum: 0,
    },
    flags: &[
        Flag::switch("watch", "Show the status repeatedly"),
        Flag::with_value("interval-ms", "MS", "Interval of --watch (default: 2000)"),
        Flag::with_value(
            "count",
            "N",
            "With --watch, exit after showing the status N times",
        ),
        DAEMON,
        PLATFORM,
        TIMEOUT,
        JSON,
    ],
    examples: &[
        Example {
            line: "wharfquay status --platform 127.0.0.1:7000",
            description: "Show the verdict of every resource.",
        },
        Example {
            line: "wharfquay status --watch --daemon 127.0.0.1:7103,127.0.0.1:7203",
            description: "Follow limits and levels of two daemons.",
        },
    ],
    run,
};

/// The status, as printed with `--json`.
#[derive(Serialize)]
struct StatusReport {
    #[serde(skip_serializing_if = "Option::is_none")]
    store_version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    resources: Option<Vec<ResourceView>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    daemons: Vec<DaemonView>,
}

impl StatusReport {
    fn exit_status(&self) -> ExitStatus {
        let mut resources = self.resources.iter().flatten();
        let mut daemons = self.daemons.iter();
        let is_rejected = resources.any(ResourceView::is_rejected);
        if is_rejected || daemons.any(|daemon| daemon.error.is_some()) {
            return ExitStatus::ProblemFound;
        }
        ExitStatus::Success
    }
}

/// Sources of the status, and how often it is shown.
struct StatusOptions {
    client: Option<Client>,
    daemons: Vec<SocketAddr>,
    timeout: Duration,
    interval: Duration,
    /// Number of times the status is shown; unlimited when absent.
    count: Option<u64>,
    is_json: bool,
}

fn run(arguments: &Arguments, output: &mut Output) -> Result<ExitStatus, CliError> {
    let options = read_options(arguments)?;
    block_on(async {
        let mut shown = 0;
        loop {
            shown += 1;
            let is_last = options.count == Some(shown);
            match read_status(&options).await {
                Ok(report) => {
                    show(&report, &options, output)?;
                    if is_last {
                        return Ok(report.exit_status());
                    }
                }
                Err(error) if is_last || shown == 1 => return Err(error),
                Err(error) => progress(&error.to_string()),
            }
            tokio::time::sleep(options.interval).await;
        }
    })
}

fn read_options(arguments: &Arguments) -> Result<StatusOptions, CliError> {
    let daemons = daemon_addresses(arguments)?;
    let uses_platform = platform_is_specified(arguments);
    if daemons.is_empty() && !uses_platform {
        return Err(CliError::MissingFlag {
            flag: "platform or --daemon",
            allowed: "ip:port, several separated by commas",
        });
    }
    let interval: Option<u64> = arguments.value("interval-ms", ALLOWED_INTERVAL)?;
    let interval = interval.unwrap_or(DEFAULT_INTERVAL_MS);
    if !(100..=3_600_000).contains(&interval) {
        return Err(CliError::invalid_value(
            "--interval-ms",
            &interval.to_string(),
            "out of range",
            ALLOWED_INTERVAL,
        ));
    }
    let count = arguments.value("count", ALLOWED_COUNT)?;
    Ok(StatusOptions {
        client: uses_platform.then(|| connect(arguments)).transpose()?,
        daemons,
        timeout: timeout(arguments)?,
        interval: Duration::from_millis(interval),
        count: if arguments.has("watch") {
            count
        } else {
            Some(1)
        },
        is_json: arguments.has("json"),
    })
}

async fn read_status(options: &StatusOptions) -> Result<StatusReport, CliError> {
    let daemons = read_daemons(&options.daemons, options.timeout).await;
    let resources = match &options.client {
        Some(client) => Some(read_resources(client).await?),
        None => None,
    };
    let (store_version, resources) = resources.unzip();
    Ok(StatusReport {
        store_version,
        resources,
        daemons,
    })
}

fn show(
    report: &StatusReport,
    options: &StatusOptions,
    output: &mut Output,
) -> Result<(), CliError> {
    if options.is_json {
        return output.write_json(report);
    }
    let is_repeated = options.count != Some(1);
    if is_repeated && std::io::stdout().is_terminal() {
        output.write_text(CLEAR_SCREEN)?;
    }
    output.write_text(&render(report))?;
    if is_repeated {
        output.write_line("")?;
    }
    Ok(())
}

fn render(report: &StatusReport) -> String {
    let mut text = String::new();
    if let Some(version) = report.store_version {
        text.push_str(&format!("store version: {version}\n"));
    }
    if let Some(resources) = &report.resources {
        text.push_str(&render_resources(resources));
    }
    if !report.daemons.is_empty() {
        text.push_str(&render_daemons(&report.daemons));
    }
    text
}
