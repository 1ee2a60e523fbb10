//! `docs/COMMANDS.md` has the current help texts and error numbers of the program. `UPDATE_PAGES=1
//! cargo test -p wharfquay --test commands_page` regenerates the help texts.

mod support;

use std::collections::BTreeSet;
use std::fmt::Write;

use support::{repository_file, run};

const BEGIN: &str = "<!-- begin generated: commands -->\n";
const END: &str = "<!-- end generated: commands -->";
const FIRST_NUMBER: &str = "70";

/// Parses the names of the commands from the overview.
fn command_names(overview: &str) -> Vec<String> {
    let (_, list) = overview
        .split_once("Commands:\n")
        .expect("the list of commands");
    let lines = list.lines().take_while(|line| !line.is_empty());
    let names = lines.filter_map(|line| line.split_whitespace().next());
    names.map(str::to_owned).collect()
}

fn help_texts() -> String {
    let overview = run(&["--help"]).stdout;
    let mut text = format!("\n```text\n{overview}```\n");
    for name in command_names(&overview) {
        let help = run(&[&name, "--help"]).stdout;
        let (help, _) = help.split_once("\nExit codes:").expect("the exit codes");
        write!(text, "\n## `wharfquay {name}`\n\n```text\n{help}```\n").expect("a string");
    }
    text.push('\n');
    text
}

#[test]
fn help_texts_are_up_to_date() {
    let path = repository_file("docs/COMMANDS.md");
    let page = std::fs::read_to_string(&path).expect("the page");
    let (head, rest) = page.split_once(BEGIN).expect("the section");
    let (_, tail) = rest.split_once(END).expect("the section ends");
    let current = format!("{head}{BEGIN}{}{END}{tail}", help_texts());
    if std::env::var_os("UPDATE_PAGES").is_some() {
        std::fs::write(&path, &current).expect("the page can be written");
        return;
    }
    assert!(
        page == current,
        "run with UPDATE_PAGES=1 to update the page"
    );
}

#[test]
fn every_error_number_is_listed_once() {
    let page = std::fs::read_to_string(repository_file("docs/COMMANDS.md")).expect("the page");
    let rows = page.lines().filter_map(|line| line.strip_prefix("| 7"));
    let listed: Vec<String> = rows.map(|row| format!("7{}", &row[..3])).collect();
    let source = repository_file("crates/cli/src/error.rs");
    let source = std::fs::read_to_string(source).expect("the source");
    let lines = source
        .lines()
        .filter_map(|line| line.trim().strip_prefix("/// "));
    let numbers: BTreeSet<String> = lines
        .filter(|line| line.starts_with(FIRST_NUMBER))
        .map(|line| line[..4].to_owned())
        .collect();
    assert_eq!(listed, Vec::from_iter(numbers));
}
