//! `replay`: re-evaluates a daemon's decision records under another configuration.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};

use serde::Serialize;
use wharfquay_resources::decision::{DecisionDifference, DecisionRecord, replay};
use wharfquay_resources::snapshot::Snapshot;

use crate::arguments::Arguments;
use crate::commands::{CommandSpec, Example, Flag, JSON, Positionals};
use crate::configuration::{FILE, read_configuration};
use crate::connection::{PLATFORM, TIMEOUT};
use crate::error::{CliError, ExitStatus};
use crate::output::{Output, progress};
use crate::table::TextTable;

/// Default maximum of differing decisions that are printed.
const DEFAULT_LIMIT: usize = 20;
const ALLOWED_LIMIT: &str = "0 or more";

pub(crate) const COMMAND: CommandSpec = CommandSpec {
    name: "replay",
    summary: "Re-evaluate a daemon's decision records under another configuration",
    details: "\
The file holds one decision record per line, as JSON. Each request is decided again under the
recorded circumstances (admission level and chosen backend) and the specified configuration; the
decisions that differ are printed. The exit code is 1 when any differs. The effect of the other
configuration on the load is not replayed; `plan` estimates that.",
    positionals: Positionals {
        usage: "RECORDS",
        minimum: 1,
        maximum: 1,
    },
    flags: &[
        FILE,
        PLATFORM,
        TIMEOUT,
        Flag::with_value(
            "limit",
            "N",
            "Print at most N differing decisions (default: 20)",
        ),
        JSON,
    ],
    examples: &[
        Example {
            line: "wharfquay replay decisions.jsonl --file changed.resources.toml",
            description: "Show the decisions that differ under a changed file.",
        },
        Example {
            line: "wharfquay replay decisions.jsonl --platform 127.0.0.1:7000 --json",
            description: "Compare with the configuration that the platform holds now.",
        },
    ],
    run,
};

/// A decision that differs from the recorded one.
#[derive(Serialize)]
struct DifferingDecision {
    line: usize,
    record: DecisionRecord,
    differences: Vec<DecisionDifference>,
}

/// The result, as printed with `--json`.
#[derive(Default, Serialize)]
struct Report {
    records: usize,
    malformed: usize,
    differing: usize,
    /// Number of differing decisions, by the part that differs.
    by_part: BTreeMap<&'static str, usize>,
    decisions: Vec<DifferingDecision>,
}

fn run(arguments: &Arguments, output: &mut Output) -> Result<ExitStatus, CliError> {
    let limit: Option<usize> = arguments.value("limit", ALLOWED_LIMIT)?;
    let path = arguments.positional_texts().concat();
    let snapshot = read_configuration(arguments)?;
    let mut replayer = Replayer {
        path: &path,
        snapshot: &snapshot,
        limit: limit.unwrap_or(DEFAULT_LIMIT),
        report: Report::default(),
    };
    replayer.read()?;
    let report = replayer.report;
    if arguments.has("json") {
        output.write_json(&report)?;
    } else {
        output.write_text(&render(&report))?;
    }
    let all_same = report.differing == 0 && report.malformed == 0;
    Ok(if all_same {
        ExitStatus::Success
    } else {
        ExitStatus::ProblemFound
    })
}

/// Replays the records of one file and collects the result.
struct Replayer<'a> {
    path: &'a str,
    snapshot: &'a Snapshot,
    limit: usize,
    report: Report,
}

impl Replayer<'_> {
    fn read(&mut self) -> Result<(), CliError> {
        let unreadable = |source| CliError::Unreadable {
            path: self.path.to_owned(),
            source,
        };
        let file = File::open(self.path).map_err(unreadable)?;
        for (index, line) in BufReader::new(file).split(b'\n').enumerate() {
            let line = line.map_err(unreadable)?;
            if !line.trim_ascii().is_empty() {
                self.replay_line(index + 1, &line);
            }
        }
        Ok(())
    }

    fn replay_line(&mut self, line: usize, content: &[u8]) {
        match serde_json::from_slice::<DecisionRecord>(content) {
            Ok(record) => self.replay(line, record),
            Err(error) => {
                self.report.malformed += 1;
                let malformed = CliError::MalformedRecord {
                    path: self.path.to_owned(),
                    line,
                    problem: error.to_string(),
                };
                progress(&malformed.to_string());
            }
        }
    }

    fn replay(&mut self, line: usize, record: DecisionRecord) {
        self.report.records += 1;
        let differences = replay(self.snapshot, &record);
        if differences.is_empty() {
            return;
        }
        self.report.differing += 1;
        for difference in &differences {
            *self.report.by_part.entry(difference.part).or_default() += 1;
        }
        if self.report.decisions.len() < self.limit {
            self.report.decisions.push(DifferingDecision {
                line,
                record,
                differences,
            });
        }
    }
}

fn render(report: &Report) -> String {
    let mut table = TextTable::new(&["LINE", "REQUEST", "PART", "RECORDED", "REPLAYED"]);
    for decision in &report.decisions {
        let request = &decision.record.request;
        for difference in &decision.differences {
            table.add_row([
                decision.line.to_string(),
                format!("{} {} {}", request.service, request.method, request.path),
                difference.part.to_owned(),
                difference.recorded.clone(),
                difference.replayed.clone(),
            ]);
        }
    }
    let mut text = String::new();
    if !report.decisions.is_empty() {
        text.push_str(&table.render());
    }
    let hidden = report.differing - report.decisions.len();
    if hidden > 0 {
        text.push_str(&format!("… and {hidden} more; see --limit\n"));
    }
    text.push_str(&format!(
        "{} records: {} differ, {} malformed\n",
        report.records, report.differing, report.malformed
    ));
    for (part, count) in &report.by_part {
        text.push_str(&format!("  {part}: {count}\n"));
    }
    text
}
