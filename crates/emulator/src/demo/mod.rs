//! A complete deployment on loopback in one process, with callers and an audit.

pub mod deployment;
pub mod layout;
mod report;
pub mod resources;
mod run;
pub mod time_scale;

pub use deployment::{Deployment, DeploymentError};
pub use report::DemoReport;
pub use run::{DemoSettings, ProgressSample, run};
