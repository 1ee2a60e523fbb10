//! Retries: the conserved allowance, the budget per destination and backoff.
