//! Declarative resources that operators write: their types, parsing and validation, and the
//! revisioned snapshot in which they are in force.
//!
//! - [`kinds`] holds the types, [`fields`] the type, unit, range and default of each field;
//! - [`parse`] reads files, [`spec`] objects of the platform, both by the field table;
//! - [`validate`] checks resources against each other, [`problem`] numbers what is wrong;
//! - [`acceptance`] decides which objects come into force, [`acceptor`] does so change by change;
//! - [`status`] says what became of each resource, [`diff`] how two versions differ;
//! - [`decision`] decides on a request under a snapshot and replays recorded decisions.
//!
//! A new field goes into its struct in [`kinds`] and its row in [`fields`]; a test compares the
//! defaults of both, and `UPDATE_PAGES=1 cargo test -p wharfquay-resources --test reference` brings
//! `docs/CONFIGURATION.md` up to date.

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
