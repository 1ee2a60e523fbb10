//! Reading of resource files.

use std::path::{Path, PathBuf};

use wharfquay_resources::parse::SourceFile;
use wharfquay_resources::problem::{Finding, Problem, ProblemCode};

/// Files that could be read, and a problem for each that could not.
#[derive(Debug, Default)]
pub(crate) struct ReadFiles {
    /// The files, in the order given.
    pub(crate) files: Vec<SourceFile>,
    /// What could not be read.
    pub(crate) problems: Vec<Problem>,
}

/// Reads every file, and goes on after one that can't be read.
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
