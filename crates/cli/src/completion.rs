//! `completion`: prints a script that completes commands and flags in a shell.

use std::fmt::Write;

use crate::arguments::Arguments;
use crate::command_names;
use crate::commands::{COMMANDS, CommandSpec, Example, Positionals};
use crate::error::{CliError, ExitStatus};
use crate::output::Output;

pub(crate) const COMMAND: CommandSpec = CommandSpec {
    name: "completion",
    summary: "Print a completion script for a shell",
    details: "",
    positionals: Positionals {
        usage: "bash|zsh|fish",
        minimum: 1,
        maximum: 1,
    },
    flags: &[],
    examples: &[
        Example {
            line: "source <(wharfquay completion bash)",
            description: "Complete in the current bash.",
        },
        Example {
            line: "wharfquay completion zsh > ~/.zfunc/_wharfquay",
            description: "Install for zsh; the directory has to be in fpath.",
        },
        Example {
            line: "wharfquay completion fish > ~/.config/fish/completions/wharfquay.fish",
            description: "Install for fish.",
        },
    ],
    run,
};

fn run(arguments: &Arguments, output: &mut Output) -> Result<ExitStatus, CliError> {
    let shell = arguments.positional_texts().concat();
    let script = match shell.as_str() {
        "bash" => bash(),
        "zsh" => zsh(),
        "fish" => fish(),
        _ => {
            return Err(CliError::invalid_value(
                "shell",
                &shell,
                "unknown shell",
                "bash, zsh, fish",
            ));
        }
    };
    output.write_text(&script)?;
    Ok(ExitStatus::Success)
}

/// Returns the flags of a command with their dashes, including `--help`.
fn flags_of(command: &CommandSpec) -> String {
    let names = command.flags.iter().map(|flag| flag.name).chain(["help"]);
    let flags: Vec<String> = names.map(|name| format!("--{name}")).collect();
    flags.join(" ")
}

fn bash() -> String {
    let names = command_names().collect::<Vec<_>>().join(" ");
    let mut script = format!(
        "_wharfquay() {{
  local current=\"${{COMP_WORDS[COMP_CWORD]}}\"
  if [[ $COMP_CWORD -eq 1 ]]; then
    COMPREPLY=($(compgen -W \"{names} --help --version\" -- \"$current\"))
    return
  fi
  local flags=\"\"
  case \"${{COMP_WORDS[1]}}\" in
"
    );
    for command in COMMANDS {
        // Writing to a String can't fail.
        let _ = writeln!(
            script,
            "    {}) flags=\"{}\" ;;",
            command.name,
            flags_of(command)
        );
    }
    script.push_str(
        "  esac
  if [[ $current == -* ]]; then
    COMPREPLY=($(compgen -W \"$flags\" -- \"$current\"))
  else
    COMPREPLY=($(compgen -f -- \"$current\"))
  fi
}
complete -o filenames -F _wharfquay wharfquay
",
    );
    script
}

fn zsh() -> String {
    let mut script = String::from("#compdef wharfquay\n_wharfquay() {\n  local -a commands=(\n");
    for command in COMMANDS {
        let _ = writeln!(script, "    '{}:{}'", command.name, escape(command.summary));
    }
    script.push_str(
        "  )
  if (( CURRENT == 2 )); then
    _describe command commands
    return
  fi
  case \"$words[2]\" in
",
    );
    for command in COMMANDS {
        let _ = write!(script, "    {}) _arguments", command.name);
        for flag in command.flags {
            let value = flag
                .value
                .map_or_else(String::new, |value| format!(":{}:_files", escape(value)));
            let _ = write!(script, " '--{}[{}]{value}'", flag.name, escape(flag.help));
        }
        script.push_str(" '--help[Show help]' '*:file:_files' ;;\n");
    }
    script.push_str("  esac\n}\n_wharfquay \"$@\"\n");
    script
}

fn fish() -> String {
    let mut script = String::new();
    for command in COMMANDS {
        let _ = writeln!(
            script,
            "complete -c wharfquay -n __fish_use_subcommand -f -a {} -d '{}'",
            command.name,
            escape(command.summary)
        );
        for flag in command.flags {
            let value = if flag.value.is_some() { " -r" } else { "" };
            let _ = writeln!(
                script,
                "complete -c wharfquay -n '__fish_seen_subcommand_from {}' -l {}{value} -d '{}'",
                command.name,
                flag.name,
                escape(flag.help)
            );
        }
    }
    script
}

/// Replaces the characters that end a quoted word or a description in the shells.
fn escape(text: &str) -> String {
    text.replace('\'', "’").replace(['[', ']', ':'], " ")
}
