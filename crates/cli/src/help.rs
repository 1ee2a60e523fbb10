//! Help texts, generated from the specifications of the commands.

use std::fmt::Write;

use crate::commands::{COMMANDS, CommandSpec};

const EXIT_CODES: &str = "\
Exit codes:
  0  success
  1  problem found
  2  usage error
  3  platform unreachable
";

/// Returns the overview of all commands.
pub(crate) fn overview() -> String {
    let mut text = String::from(
        "wharfquay: command line of the overload control layer\n\nUsage: wharfquay COMMAND [ARGUMENTS]\n\nCommands:\n",
    );
    for command in COMMANDS {
        // Writing to a String can't fail.
        let _ = writeln!(text, "  {:<12} {}", command.name, command.summary);
    }
    text.push_str("\n`wharfquay COMMAND --help` shows flags and examples of a command.\n\n");
    text.push_str(EXIT_CODES);
    text
}

/// Returns the help text of one command.
pub(crate) fn command(command: &CommandSpec) -> String {
    let mut text = format!("{}\n\nUsage: {}\n", command.summary, usage(command));
    if !command.details.is_empty() {
        text.push('\n');
        text.push_str(command.details);
        text.push('\n');
    }
    text.push_str("\nFlags:\n");
    for flag in command.flags {
        let label = match flag.value {
            Some(value) => format!("--{} {value}", flag.name),
            None => format!("--{}", flag.name),
        };
        let _ = writeln!(text, "  {label:<26} {}", flag.help);
    }
    let _ = writeln!(text, "  {:<26} Show this text", "--help");
    text.push_str("\nExamples:\n");
    for example in command.examples {
        let _ = writeln!(text, "  {}\n      {}", example.line, example.description);
    }
    text.push('\n');
    text.push_str(EXIT_CODES);
    text
}

fn usage(command: &CommandSpec) -> String {
    let mut parts = vec![format!("wharfquay {}", command.name)];
    if !command.positionals.usage.is_empty() {
        parts.push(command.positionals.usage.to_owned());
    }
    if !command.flags.is_empty() {
        parts.push("[FLAGS]".to_owned());
    }
    parts.join(" ")
}
