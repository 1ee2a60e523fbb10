//! Reads the configuration that a command works with, from files or from the platform.

use wharfquay_resources::parse::parse;
use wharfquay_resources::snapshot::Snapshot;

use crate::arguments::Arguments;
use crate::commands::Flag;
use crate::connection::{PlatformView, block_on, connect, platform_is_specified};
use crate::error::CliError;
use crate::input::read_files;
use crate::output::{print_error_lines, progress};

pub(crate) const FILE: Flag = Flag::with_value(
    "file",
    "FILE",
    "Resource file to read instead of the platform; may be repeated",
);

/// Reads the configuration from the files of `--file` or, without them, from the platform.
pub(crate) fn read_configuration(arguments: &Arguments) -> Result<Snapshot, CliError> {
    let paths = arguments.flag_paths(FILE.name);
    if paths.is_empty() {
        return read_from_platform(arguments);
    }
    let read = read_files(&paths);
    let mut parsed = parse(&read.files);
    parsed.problems.splice(0..0, read.problems);
    print_error_lines(&parsed.problems);
    if parsed.has_errors() {
        return Err(CliError::InvalidConfiguration);
    }
    Ok(parsed.snapshot())
}

fn read_from_platform(arguments: &Arguments) -> Result<Snapshot, CliError> {
    if !platform_is_specified(arguments) {
        return Err(CliError::MissingFlag {
            flag: "file or --platform",
            allowed: "a resource file, or the platform's ip:port",
        });
    }
    let client = connect(arguments)?;
    let view = block_on(PlatformView::read(&client))?;
    for rejection in &view.acceptance.rejections {
        progress(&format!(
            "{} is omitted, since it is rejected",
            rejection.id
        ));
    }
    Ok(view.acceptance.snapshot)
}
