//! Client of the platform: object API, watch, status, leases and machine list.
//!
//! Every call has a timeout. A write whose reply is lost is recognised by the operation id in the
//! stored object, see [`Client::write_with_retry`]. [`source`] implements a reader of the
//! configuration that recovers from every failure of the store.

pub mod backoff;
pub mod client;
pub mod conversion;
pub mod error;
pub mod lease;
pub mod settings;
pub mod source;
mod transport;
pub mod watch;
pub mod wire;
pub mod write;

pub use client::Client;
pub use error::PlatformError;
pub use lease::{ReaderLease, ReaderLeaseSettings};
pub use settings::ClientSettings;
pub use source::{ConfigurationSource, SourceEvent, SourceSettings};
pub use watch::WatchStream;
pub use write::{WriteAction, WriteReceipt, WriteRequest};
