//! The inbound side: calls for the local backend, from this sidecar or from others.

pub mod backend;
pub mod health;
pub(crate) mod load_reports;

mod announcements;
mod dispatch;
mod execution;
mod handler;
mod rate_limit;
mod report;
pub(crate) mod response;
mod sending_report;
mod termination_detector;
mod unread_headers;

pub(crate) use execution::{InstanceObservers, LocalExecutor};
pub(crate) use handler::InboundHandler;
pub(crate) use termination_detector::ExecutingRequest;
pub(crate) use unread_headers::UnreadHeaders;
