//! Stand-in for the platform: object API, leases and machine list, with fault switches.
