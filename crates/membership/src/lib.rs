//! Gossip membership and configuration relay, sans-I/O.
