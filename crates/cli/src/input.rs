//! Reads resource files.

use std::path::{Path, PathBuf};

use wharfquay_resources::parse::SourceFile;
use wharfquay_resources::problem::{Finding, Problem, ProblemCode};

/// Files that were read, and a problem for each file that could not be read.
#[derive(Debug, Default)]
pub(crate) struct ReadFiles {
    /// Files that were read, in the order of the arguments.
    pub(crate) files: Vec<SourceFile>,
    /// One problem for each file that could not be read.
    pub(crate) problems: Vec<Problem>,
}

/// Reads every file; a file that can't be read does not stop the others.
pub(crate) fn read_files(paths: &[PathBuf]) -> ReadFiles {
    let mut read = ReadFiles::default();
    for path in paths {
        match std::fs::read_to_string(path) {
            Ok(text) => read.files.push(SourceFile {
                name: path.display().to_string(),
                text,
            }),
            Err(error) => read.problems.push(unreadable(path, &error)),
        }
    }
    read
}

fn unreadable(path: &Path, error: &std::io::Error) -> Problem {
    Problem {
        file: path.display().to_string(),
        line: 1,
        finding: Finding {
            code: ProblemCode::Unreadable,
            resource: None,
            field: "file".to_owned(),
            message: format!("can't be read: {error}"),
            allowed: "a readable file of UTF-8 text".to_owned(),
        },
    }
}
