//! Deterministic simulations of a whole deployment on a virtual clock: its calls and its control plane.

pub mod call_path;
pub mod control;
