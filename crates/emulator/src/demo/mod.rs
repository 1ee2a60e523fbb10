//! A whole deployment on loopback in one process.
