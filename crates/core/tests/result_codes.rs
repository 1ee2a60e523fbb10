//! The table in `docs/RESULT_CODES.md` matches the code.

use std::collections::BTreeSet;
use std::path::Path;

use wharfquay_core::outcome::{OutcomeClass, ResultCode};

fn documented_rows() -> Vec<Vec<String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/RESULT_CODES.md");
    let page =
        std::fs::read_to_string(path).expect("docs/RESULT_CODES.md is part of the repository");
    page.lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .map(|line| {
            line.trim_matches('|')
                .split('|')
                .map(|cell| cell.trim().to_owned())
                .collect()
        })
        .collect()
}

#[test]
fn page_lists_every_code_as_defined() {
    let rows = documented_rows();
    assert_eq!(rows.len(), ResultCode::ALL.len());
    for (row, code) in rows.iter().zip(ResultCode::ALL) {
        assert_eq!(row[0], code.number().to_string());
        assert_eq!(row[1], code.name());
        if code.http_status() != 0 {
            assert_eq!(row[2], code.http_status().to_string(), "{}", code.name());
        }
        assert_eq!(row[3], code.outcome().as_str(), "{}", code.name());
        assert!(!row[5].is_empty(), "{} lacks advice", code.name());
    }
}

#[test]
fn numbers_are_unique_and_read_back() {
    let numbers: BTreeSet<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), ResultCode::ALL.len());
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
    }
    assert_eq!(ResultCode::from_number(0), None);
}

#[test]
fn number_range_matches_the_outcome_class() {
    for code in ResultCode::ALL {
        let expected = match code.number() / 1_000 {
            1 => OutcomeClass::Run,
            2 | 3 => OutcomeClass::NotRun,
            _ => OutcomeClass::Unknown,
        };
        assert_eq!(code.outcome(), expected, "{}", code.name());
    }
}
