//! `wharfquay experiment`: seeded experiments on a virtual clock.

use std::ffi::OsString;
use std::process::ExitCode;

/// Exit status for arguments that can't be used.
const BAD_USE: u8 = 2;

/// The usage text.
const USAGE: &str = "\
usage: wharfquay experiment NAME [options]

  surge        a surge of demand: goodput and recovery of each policy
";

/// Runs the experiment that the first argument names.
pub(crate) fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let mut arguments = arguments.into_iter();
    let name = arguments.next().unwrap_or_default();
    match name.to_str() {
        Some("surge") => wharfquay_emulator::experiment::surge::run(arguments),
        Some("--help" | "-h" | "help") => {
            print!("{USAGE}");
            ExitCode::SUCCESS
        }
        _ => {
            eprintln!(
                "wharfquay experiment: unknown experiment \"{}\" (allowed: surge)",
                name.display()
            );
            ExitCode::from(BAD_USE)
        }
    }
}
