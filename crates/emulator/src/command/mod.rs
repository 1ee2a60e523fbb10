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
use crate::latency;
use crate::latency::arguments::LatencyArguments;
use crate::load::arguments::LoadArguments;
use crate::load::audit::{self, Audit};
use crate::load::report::LoadReport;
use crate::load::{self, RunningLoad};

const USAGE: &str = "\
wharfquay-emulator COMMAND [OPTIONS]

Commands:
  backend    stand-in for a back end
  latency    what the daemons add to a call
  layout     files from which a deployment is started as separate processes
  load       stand-in for callers
  platform   stand-in for the platform
  wait       wait until daemons are ready

wharfquay-emulator COMMAND --help tells more.
";

/// Runs the command that the arguments name.
pub async fn run(mut parser: lexopt::Parser) -> ExitCode {
    let _logger = start_logger();
    let command = match parser.next() {
        Ok(Some(Arg::Value(name))) => name.to_string_lossy().into_owned(),
        Ok(Some(Arg::Long("help") | Arg::Short('h'))) => return print_usage(USAGE),
        Ok(Some(other)) => return bad_use(&other.unexpected(), USAGE),
        Ok(None) => return bad_use(&"no command given", USAGE),
        Err(error) => return bad_use(&error, USAGE),
    };
    match command.as_str() {
        "backend" => {
            let arguments = backend::arguments::parse(parser);
            match settle(arguments, backend::arguments::USAGE) {
                Ok(settings) => run_backend(settings).await,
                Err(status) => status,
            }
        }
        "load" => match settle(load::arguments::parse(parser), load::arguments::USAGE) {
            Ok(arguments) => run_load(arguments).await,
            Err(status) => status,
        },
        "platform" => match settle(platform::parse_arguments(parser), platform::USAGE) {
            Ok(arguments) => platform::run(arguments).await,
            Err(status) => status,
        },
        "latency" => match settle(latency::arguments::parse(parser), latency::arguments::USAGE) {
            Ok(arguments) => run_latency(arguments).await,
            Err(status) => status,
        },
        "layout" => match settle(layout::parse_arguments(parser), layout::USAGE) {
            Ok(arguments) => layout::run(&arguments),
            Err(status) => status,
        },
        "wait" => match settle(wait::parse_arguments(parser), wait::USAGE) {
            Ok(arguments) => wait::run(arguments).await,
            Err(status) => status,
        },
        other => bad_use(&format!("unknown command \"{other}\""), USAGE),
    }
}

/// The settings to run with, or the exit status when there is nothing to run.
fn settle<T>(parsed: Result<Command<T>, ArgumentError>, usage: &str) -> Result<T, ExitCode> {
    match parsed {
        Ok(Command::Run(settings)) => Ok(settings),
        Ok(Command::Help) => Err(print_usage(usage)),
        Err(error) => Err(bad_use(&error, usage)),
    }
}

fn print_usage(usage: &str) -> ExitCode {
    print!("{usage}");
    ExitCode::SUCCESS
}

fn bad_use(error: &dyn Display, usage: &str) -> ExitCode {
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
    wait_for_end().await;
    log::info!("event=backend_stopped id={id}");
    backend.shutdown().await;
    ExitCode::SUCCESS
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_end() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        // An error means that no handler could be installed; the process ends then as well.
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
    let broken = audit.broken_promises(arguments.retry_bound);
    for promise in &broken {
        eprintln!("broken promise: {} {}", promise.promise, promise.count);
    }
    if broken.is_empty() {
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

/// Logs go to standard error, one line of key=value pairs per event.
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
