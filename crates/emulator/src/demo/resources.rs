//! Configurations of the built-in scenarios.

use wharfquay_resources::kinds::Resource;
use wharfquay_resources::parse::{SourceFile, parse};

const LAGOS: &str = include_str!("../../../../scenarios/lagos.resources.toml");
const GUJARAT: &str = include_str!("../../../../scenarios/gujarat.resources.toml");

/// Returns the configuration of the built-in scenario with this name; empty if there is none.
#[must_use]
pub fn builtin(scenario: &str) -> Vec<Resource> {
    let text = match scenario {
        "lagos" => LAGOS,
        "gujarat" => GUJARAT,
        _ => return Vec::new(),
    };
    let file = SourceFile {
        name: format!("{scenario}.resources.toml"),
        text: text.to_owned(),
    };
    parse(&[file]).resources
}
