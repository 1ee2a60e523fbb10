//! Declarative resources that operators write: their types, parsing and validation, and the
//! revisioned snapshot in which they are in force.

pub mod acceptance;
pub mod chain;
pub mod decision;
pub mod diff;
pub mod fields;
pub mod kinds;
pub mod nearest;
pub mod parse;
pub mod problem;
pub mod reference;
pub mod snapshot;
pub mod spec;
pub mod status;
mod toml_tables;
pub mod validate;
