//! The daemon: inbound, outbound, control and admin sides round the decision logic.
