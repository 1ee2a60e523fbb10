//! Claims on idempotency keys, so that a repeated request takes effect at most once.
