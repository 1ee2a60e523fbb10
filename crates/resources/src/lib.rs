//! Declarative resources that operators write: their types, parsing and validation, and the
//! revisioned snapshot of those in force.
//!
//! - [`kinds`] defines the types, [`fields`] the type, unit, range and default of each field;
//! - [`parse`] reads resource files and [`spec`] reads objects of the platform; both check values
//!   against the field table;
//! - [`validate`] checks resources against each other, [`problem`] defines the numbered problems;
//! - [`acceptance`] decides which objects come into force, [`acceptor`] does so incrementally;
//! - [`status`] reports the state of each resource, [`diff`] the difference of two versions;
//! - [`decision`] decides on a request under a snapshot and replays recorded decisions.
//!
//! To add a field, extend its struct in [`kinds`] and its table in [`fields`]; a test compares the
//! defaults of both. `UPDATE_PAGES=1 cargo test -p wharfquay-resources --test reference` updates
//! `docs/CONFIGURATION.md`.

pub mod acceptance;
pub mod acceptor;
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
