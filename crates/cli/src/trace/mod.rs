//! `trace`: shows one request and its calls, from the logs of many sidecars.

mod collector;
mod line;

use std::fs::File;
use std::io::{BufRead, BufReader};

use crate::arguments::Arguments;
use crate::commands::{CommandSpec, Example, JSON, Positionals};
use crate::error::{CliError, ExitStatus};
use crate::output::Output;

use collector::TraceCollector;
use line::LogLine;

pub(crate) const COMMAND: CommandSpec = CommandSpec {
    name: "trace",
    summary: "Trace one request through the logs of many sidecars",
    details: "\
The files hold log lines of sidecars, in any order and with any text before `event=`. The output has
the lines of the request and of the calls that were made for it, by time, and the last known state
of its sidecars before: the version in force, the instance, the connection to the platform. It also
reports where lines were dropped and how many lines are damaged. The exit code is 1 when no line
names the request.",
    positionals: Positionals {
        usage: "REQUEST-ID FILE...",
        minimum: 2,
        maximum: usize::MAX,
    },
    flags: &[JSON],
    examples: &[
        Example {
            line: "wharfquay trace 9c41d07be2a35f68 sidecar-a.log sidecar-b.log",
            description: "Show the calls of a request and their results.",
        },
        Example {
            line: "wharfquay trace 9c41d07be2a35f68 logs/*.log --json",
            description: "Print the same as JSON.",
        },
    ],
    run,
};

fn run(arguments: &Arguments, output: &mut Output) -> Result<ExitStatus, CliError> {
    let words = arguments.positional_texts();
    let Some((request, files)) = words.split_first() else {
        return Ok(ExitStatus::ProblemFound);
    };
    let mut collector = TraceCollector::new(request);
    for path in files {
        read_file(path, &mut collector)?;
    }
    let trace = collector.into_trace();
    if arguments.has("json") {
        output.write_json(&trace)?;
    } else {
        output.write_text(&trace.render())?;
    }
    Ok(if trace.lines.is_empty() {
        ExitStatus::ProblemFound
    } else {
        ExitStatus::Success
    })
}

fn read_file(path: &str, collector: &mut TraceCollector) -> Result<(), CliError> {
    let unreadable = |source| CliError::Unreadable {
        path: path.to_owned(),
        source,
    };
    let file = File::open(path).map_err(unreadable)?;
    for line in BufReader::new(file).split(b'\n') {
        let line = line.map_err(unreadable)?;
        if line.trim_ascii().is_empty() {
            continue;
        }
        match std::str::from_utf8(&line).ok().and_then(LogLine::parse) {
            Some(parsed) => collector.add(path, parsed),
            None => collector.count_malformed(),
        }
    }
    Ok(())
}
