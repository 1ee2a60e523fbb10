//! `trace`: the story of one request and its calls, from the logs of many sidecars.

mod line;
mod story;

use std::fs::File;
use std::io::{BufRead, BufReader};

use crate::arguments::Arguments;
use crate::commands::{CommandSpec, Example, JSON, Positionals};
use crate::error::{CliError, Finish};
use crate::output::Output;

use line::LogLine;
use story::Story;

pub(crate) const COMMAND: CommandSpec = CommandSpec {
    name: "trace",
    summary: "Tell the story of one request from the logs of many sidecars",
    details: "\
The files hold log lines of sidecars, in any order and with any text before `event=`. Shown are the
lines of the request and of the calls that were made for it, by time, and what its sidecars believed
last before: the version in force, the instance, the contact with the platform. Said is where lines
were dropped and how many lines are damaged. The exit code is 1 when no line names the request.",
    positionals: Positionals {
        usage: "REQUEST-ID FILE...",
        minimum: 2,
        maximum: usize::MAX,
    },
    flags: &[JSON],
    examples: &[
        Example {
            line: "wharfquay trace 9c41d07be2a35f68 sidecar-a.log sidecar-b.log",
            meaning: "Show what became of a request.",
        },
        Example {
            line: "wharfquay trace 9c41d07be2a35f68 logs/*.log --json",
            meaning: "The same for a program.",
        },
    ],
    run,
};

fn run(arguments: &Arguments, output: &mut Output) -> Result<Finish, CliError> {
    let words = arguments.words();
    let Some((request, files)) = words.split_first() else {
        return Ok(Finish::ProblemFound);
    };
    let mut story = Story::new(request);
    for path in files {
        read(path, &mut story)?;
    }
    let told = story.finish();
    if arguments.has("json") {
        output.json(&told)?;
    } else {
        output.text(&told.render())?;
    }
    Ok(if told.lines.is_empty() {
        Finish::ProblemFound
    } else {
        Finish::Done
    })
}

fn read(path: &str, story: &mut Story) -> Result<(), CliError> {
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
            Some(parsed) => story.take(path, parsed),
            None => story.damaged(),
        }
    }
    Ok(())
}
