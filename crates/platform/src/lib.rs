//! Client of the platform: object API, watch, status, leases and machine list.
//!
//! Every call has a timeout. A write whose answer is lost is recognised by the operation id that
//! the object carries, see [`Client::write_with_retry`].

pub mod backoff;
pub mod client;
pub mod conversion;
pub mod error;
pub mod settings;
mod transport;
pub mod watch;
pub mod wire;
pub mod write;

pub use client::Client;
pub use error::PlatformError;
pub use settings::ClientSettings;
pub use watch::WatchStream;
pub use write::{WriteAction, WriteReceipt, WriteRequest};
