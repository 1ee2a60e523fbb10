//! Deterministic simulation of a whole deployment on a virtual clock.

pub mod call_path;
pub mod control;
