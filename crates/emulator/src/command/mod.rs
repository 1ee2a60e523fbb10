//! The commands of `wharfquay-emulator`.

mod layout;
mod platform;
mod wait;

use std::fmt::Display;
use std::process::ExitCode;

use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use lexopt::Arg;
use log::Record;
use tokio::signal::unix::{SignalKind, signal};

use crate::arguments::{ArgumentError, BAD_USE, Command};
use crate::backend::{self, BackendSettings, RunningBackend};
use crate::call_cost;
use crate::call_cost::arguments::CallCostArguments;
use crate::latency;
use crate::latency::arguments::LatencyArguments;
use crate::load::arguments::LoadArguments;
use crate::load::audit::{self, Audit};
use crate::load::report::LoadReport;
use crate::load::{self, RunningLoad};

const USAGE: &str = "\
wharfquay-emulator COMMAND [OPTIONS]

Commands:
  backend    run an emulated backend
  call-cost  measure what a call costs the sidecars, for several programs
  latency    measure the latency that daemons add to a call
  layout     write the files to start a deployment as separate processes
  load       send load as emulated callers
  platform   run the emulated platform
  wait       wait until daemons are ready

wharfquay-emulator COMMAND --help prints the options of a command.
";

/// Runs the command that is specified by the first argument.
pub async fn run(mut parser: lexopt::Parser) -> ExitCode {
    let _logger = start_logger();
    let command = match parser.next() {
        Ok(Some(Arg::Value(name))) => name.to_string_lossy().into_owned(),
        Ok(Some(Arg::Long("help") | Arg::Short('h'))) => return print_usage(USAGE),
        Ok(Some(other)) => return usage_error(&other.unexpected(), USAGE),
        Ok(None) => return usage_error(&"no command specified", USAGE),
        Err(error) => return usage_error(&error, USAGE),
    };
    match command.as_str() {
        "backend" => {
            let arguments = backend::arguments::parse(parser);
            match settings_or_exit(arguments, backend::arguments::USAGE) {
                Ok(settings) => run_backend(settings).await,
                Err(status) => status,
            }
        }
        "call-cost" => {
            let arguments = call_cost::arguments::parse(parser);
            match settings_or_exit(arguments, call_cost::arguments::USAGE) {
                Ok(arguments) => run_call_cost(arguments).await,
                Err(status) => status,
            }
        }
        "load" => match settings_or_exit(load::arguments::parse(parser), load::arguments::USAGE) {
            Ok(arguments) => run_load(arguments).await,
            Err(status) => status,
        },
        "platform" => match settings_or_exit(platform::parse_arguments(parser), platform::USAGE) {
            Ok(arguments) => platform::run(arguments).await,
            Err(status) => status,
        },
        "latency" => {
            match settings_or_exit(latency::arguments::parse(parser), latency::arguments::USAGE) {
                Ok(arguments) => run_latency(arguments).await,
                Err(status) => status,
            }
        }
        "layout" => match settings_or_exit(layout::parse_arguments(parser), layout::USAGE) {
            Ok(arguments) => layout::run(&arguments),
            Err(status) => status,
        },
        "wait" => match settings_or_exit(wait::parse_arguments(parser), wait::USAGE) {
            Ok(arguments) => wait::run(arguments).await,
            Err(status) => status,
        },
        other => usage_error(&format!("unknown command \"{other}\""), USAGE),
    }
}

/// Returns the settings to run with. For `--help` or an invalid command line prints the usage and
/// returns the exit status as the error.
fn settings_or_exit<T>(
    parsed: Result<Command<T>, ArgumentError>,
    usage: &str,
) -> Result<T, ExitCode> {
    match parsed {
        Ok(Command::Run(settings)) => Ok(settings),
        Ok(Command::Help) => Err(print_usage(usage)),
        Err(error) => Err(usage_error(&error, usage)),
    }
}

fn print_usage(usage: &str) -> ExitCode {
    print!("{usage}");
    ExitCode::SUCCESS
}

fn usage_error(error: &dyn Display, usage: &str) -> ExitCode {
    eprintln!("error: {error}\n\n{usage}");
    ExitCode::from(BAD_USE)
}

async fn run_backend(settings: BackendSettings) -> ExitCode {
    let (id, service) = (settings.id.clone(), settings.service.clone());
    let backend = match RunningBackend::start(settings).await {
        Ok(backend) => backend,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(BAD_USE);
        }
    };
    let address = backend.address();
    log::info!("event=backend_started id={id} service={service} address={address}");
    wait_for_shutdown_signal().await;
    log::info!("event=backend_stopped id={id}");
    backend.shutdown().await;
    ExitCode::SUCCESS
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_shutdown_signal() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        // An error means that no handler could be installed; the process exits in this case as well.
        _interrupted = tokio::signal::ctrl_c() => {}
    }
}

async fn run_load(arguments: LoadArguments) -> ExitCode {
    let scenario = arguments.settings.scenario.clone();
    let report = RunningLoad::start(arguments.settings).finish().await;
    if arguments.backends.is_empty() {
        print_load(&report, None, arguments.json);
        return ExitCode::SUCCESS;
    }
    let records = match audit::fetch(&arguments.backends).await {
        Ok(records) => records,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::FAILURE;
        }
    };
    let audit = Audit::new(&scenario, &report, &records);
    print_load(&report, Some(&audit), arguments.json);
    let violations = audit.violations(arguments.retry_bound);
    for violation in &violations {
        eprintln!("broken promise: {} {}", violation.promise, violation.count);
    }
    if violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print_load(report: &LoadReport, audit: Option<&Audit>, json: bool) {
    if json {
        let document = serde_json::json!({ "load": report, "audit": audit });
        println!("{document}");
        return;
    }
    print!("{report}");
    if let Some(audit) = audit {
        print!("{audit}");
    }
}

async fn run_latency(arguments: LatencyArguments) -> ExitCode {
    let report = latency::measure(arguments.settings).await;
    if arguments.json {
        println!("{}", serde_json::json!(report));
    } else {
        print!("{report}");
    }
    ExitCode::SUCCESS
}

async fn run_call_cost(arguments: CallCostArguments) -> ExitCode {
    let report = match call_cost::measure(&arguments.settings).await {
        Ok(report) => report,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::FAILURE;
        }
    };
    if arguments.json {
        println!("{}", serde_json::json!(report));
    } else {
        print!("{report}");
    }
    ExitCode::SUCCESS
}

/// Starts the logger, which writes one line of key=value pairs per event to standard error.
fn start_logger() -> Option<LoggerHandle> {
    let logger = Logger::try_with_env_or_str("info").ok()?;
    logger.format(log_line).log_to_stderr().start().ok()
}

fn log_line(
    writer: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let level = record.level().as_str().to_lowercase();
    write!(
        writer,
        "time={} level={level} {}",
        now.format_rfc3339(),
        record.args()
    )
}
