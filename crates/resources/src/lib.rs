//! Declarative resources that operators write: their types, parsing and validation, and the
//! revisioned snapshot in which they are in force.

pub mod kinds;
pub mod snapshot;
