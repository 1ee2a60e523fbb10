//! wharfquayd: the daemon that runs beside each backend or, with other settings, as an edge.

use std::path::PathBuf;
use std::process::ExitCode;

use tokio::signal::unix::{SignalKind, signal};
use wharfquay_daemon::settings::{self, Settings};
use wharfquay_daemon::{Daemon, logging};

const USAGE: &str = "\
Usage: wharfquayd --config FILE [--check] [--set KEY=VALUE]...

  --config FILE    settings file (TOML)
  --check          check the settings and exit
  --set KEY=VALUE  override one field, for instance --set log.level=debug
  --help           show this text
  --version        show the version

Exit status: 0 done, 1 failed, 2 bad arguments or settings.
";

/// Exit status for invalid arguments, invalid settings and ports in use.
const EXIT_USAGE: u8 = 2;

/// The action that the command line requests.
enum Command {
    Show(String),
    Run(Options),
}

struct Options {
    config: PathBuf,
    check: bool,
    overrides: Vec<String>,
}

fn main() -> ExitCode {
    match parse_arguments() {
        Ok(Command::Show(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Command::Run(options)) => run(&options),
        Err(error) => usage_error(&format!("{error}\n{USAGE}")),
    }
}

fn parse_arguments() -> Result<Command, lexopt::Error> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_env();
    let mut config = None;
    let mut check = false;
    let mut overrides = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("config") => config = Some(PathBuf::from(parser.value()?)),
            Long("check") => check = true,
            Long("set") => overrides.push(parser.value()?.string()?),
            Short('h') | Long("help") => return Ok(Command::Show(USAGE.to_owned())),
            Short('V') | Long("version") => {
                let version = concat!("wharfquayd ", env!("CARGO_PKG_VERSION"), "\n");
                return Ok(Command::Show(version.to_owned()));
            }
            other => return Err(other.unexpected()),
        }
    }
    let config = config.ok_or("--config: given nothing (allowed: a settings file)")?;
    Ok(Command::Run(Options {
        config,
        check,
        overrides,
    }))
}

fn run(options: &Options) -> ExitCode {
    let settings = match settings::load(&options.config, &options.overrides) {
        Ok(settings) => settings,
        Err(error) => return usage_error(&error.to_string()),
    };
    if options.check {
        println!("{}: ok", options.config.display());
        return ExitCode::SUCCESS;
    }
    let _logger = match logging::start(&settings.log.level) {
        Ok(logger) => logger,
        Err(error) => return usage_error(&format!("log.level: {error}")),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.limits.worker_threads as usize)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return failed(&format!("can't start the async runtime: {error}")),
    };
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> ExitCode {
    let (terminate, interrupt) = match (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) {
        (Ok(terminate), Ok(interrupt)) => (terminate, interrupt),
        (Err(error), _) | (_, Err(error)) => return failed(&format!("signal setup: {error}")),
    };
    let daemon = match Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => return usage_error(&error.to_string()),
    };
    wait_for(terminate, interrupt).await;
    daemon.shutdown().await;
    ExitCode::SUCCESS
}

async fn wait_for(
    mut terminate: tokio::signal::unix::Signal,
    mut interrupt: tokio::signal::unix::Signal,
) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("wharfquayd: {message}");
    ExitCode::from(EXIT_USAGE)
}

fn failed(message: &str) -> ExitCode {
    eprintln!("wharfquayd: {message}");
    ExitCode::FAILURE
}
