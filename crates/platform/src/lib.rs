//! Client of the platform: object API, watch, leases and machine list.
