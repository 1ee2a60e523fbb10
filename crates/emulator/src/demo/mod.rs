//! A whole deployment on loopback in one process.

pub mod layout;
