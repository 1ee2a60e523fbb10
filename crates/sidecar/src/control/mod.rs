//! The control plane of a sidecar: gossip membership, and the configuration, which a few sidecars
//! read from the platform and all forward.

mod directory;
mod reader;
mod task;
mod transport;

pub(crate) use task::{ControlChannels, ControlTask};
pub(crate) use transport::StreamInbox;

use wharfquay_membership::message::Payload;

use crate::configuration::Configuration;

/// Encodes a configuration for other sidecars.
///
/// # Errors
/// A description of the value that CBOR can't represent.
fn encode(configuration: &Configuration) -> Result<Payload, String> {
    let mut bytes = Vec::new();
    ciborium::into_writer(configuration, &mut bytes).map_err(|error| error.to_string())?;
    Ok(Payload::from(bytes))
}

/// Decodes the output of [`encode`].
///
/// # Errors
/// A description of the value that can't be decoded.
fn decode(payload: &Payload) -> Result<Configuration, String> {
    ciborium::from_reader(payload.as_bytes()).map_err(|error| error.to_string())
}
