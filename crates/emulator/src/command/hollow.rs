//! Hollow daemons as a process.

use std::io::Write;
use std::process::ExitCode;

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::arguments::BAD_USE;
use crate::hollow::{HollowSettings, RunningHollow};

pub(super) async fn run(settings: HollowSettings) -> ExitCode {
    let running = match RunningHollow::start(&settings).await {
        Ok(running) => running,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(BAD_USE);
        }
    };
    match serve(&running).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers signals until the process is told to end.
async fn serve(running: &RunningHollow) -> std::io::Result<()> {
    let mut report = signal(SignalKind::user_defined1())?;
    let mut leave = signal(SignalKind::user_defined2())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    print_line("ready")?;
    loop {
        match next(&mut report, &mut leave, &mut terminate, &mut interrupt).await {
            Request::Report => print_report(running).await?,
            Request::Leave => running.leave_first().await,
            Request::End => return print_report(running).await,
        }
    }
}

enum Request {
    Report,
    Leave,
    End,
}

async fn next(
    report: &mut Signal,
    leave: &mut Signal,
    terminate: &mut Signal,
    interrupt: &mut Signal,
) -> Request {
    tokio::select! {
        _ = report.recv() => Request::Report,
        _ = leave.recv() => Request::Leave,
        _ = terminate.recv() => Request::End,
        _ = interrupt.recv() => Request::End,
    }
}

async fn print_report(running: &RunningHollow) -> std::io::Result<()> {
    let report = running.report().await;
    print_line(&serde_json::to_string(&report)?)
}

fn print_line(line: &str) -> std::io::Result<()> {
    let mut output = std::io::stdout().lock();
    writeln!(output, "{line}")?;
    output.flush()
}
