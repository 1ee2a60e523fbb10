//! Tests that the generated sections of `docs/CONFIGURATION.md` are up to date.
//!
//! `UPDATE_PAGES=1 cargo test -p wharfquay-resources --test reference` regenerates them.

use std::path::PathBuf;

use wharfquay_resources::parse::{SourceFile, parse};
use wharfquay_resources::reference::{problem_reference, resource_reference};

fn repository_path(path: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(path)
}

/// Returns the page with the text between the begin and end comments of a section replaced.
fn with_section(page: &str, section: &str, content: &str) -> String {
    let begin = format!("<!-- begin generated: {section} -->\n");
    let end = format!("<!-- end generated: {section} -->");
    let (head, rest) = page.split_once(&begin).expect("the page has the section");
    let (_, tail) = rest.split_once(&end).expect("the section ends");
    format!("{head}{begin}\n{}\n\n{end}{tail}", content.trim_end())
}

#[test]
fn the_configuration_page_is_up_to_date() {
    let path = repository_path("docs/CONFIGURATION.md");
    let page = std::fs::read_to_string(&path).expect("the page can be read");
    let current = with_section(&page, "resources", &resource_reference());
    let current = with_section(&current, "problems", &problem_reference());
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
fn the_example_files_have_no_errors() {
    for name in ["lagos", "gujarat"] {
        let path = repository_path(&format!("scenarios/{name}.resources.toml"));
        let text = std::fs::read_to_string(&path).expect("the example can be read");
        let parsed = parse(&[SourceFile {
            name: name.to_owned(),
            text,
        }]);
        assert!(!parsed.has_errors(), "{:?}", parsed.problems);
    }
}
