//! The control plane of a sidecar: membership by gossip, and the configuration, which a few sidecars
//! read from the platform and all pass on.

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
/// A text that says what CBOR can't express.
fn encode(configuration: &Configuration) -> Result<Payload, String> {
    let mut bytes = Vec::new();
    ciborium::into_writer(configuration, &mut bytes).map_err(|error| error.to_string())?;
    Ok(Payload::from(bytes))
}

/// Decodes what [`encode`] made.
///
/// # Errors
/// A text that says what does not fit.
fn decode(payload: &Payload) -> Result<Configuration, String> {
    ciborium::from_reader(payload.as_bytes()).map_err(|error| error.to_string())
}
