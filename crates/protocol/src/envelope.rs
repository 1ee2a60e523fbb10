//! Envelope of control messages: a version byte, then one CBOR document of bounded size.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::context::DecodeError;

/// Version of the control messages that this process sends and accepts.
pub const VERSION: u8 = 1;
/// Maximum size of a message sent in one datagram, in bytes, which keeps it from being fragmented.
pub const MAX_DATAGRAM: usize = 1_200;
/// Maximum size of a message sent over a stream, in bytes. It has to fit a snapshot of the whole
/// configuration.
pub const MAX_STREAM_MESSAGE: usize = 16 * 1_024 * 1_024;

/// Encodes a control message, preceded by the version byte.
///
/// # Errors
/// Returns [`DecodeError::Cbor`] if the message contains a value that CBOR can't express.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, DecodeError> {
    let mut bytes = vec![VERSION];
    ciborium::into_writer(message, &mut bytes)
        .map_err(|error| DecodeError::Cbor(error.to_string()))?;
    Ok(bytes)
}

/// Decodes a control message of at most `limit` bytes.
///
/// # Errors
/// Returns a [`DecodeError`] if the message is too long, of another version or not the expected
/// CBOR.
pub fn decode<T: DeserializeOwned>(bytes: &[u8], limit: usize) -> Result<T, DecodeError> {
    if bytes.len() > limit {
        return Err(DecodeError::TooLong(bytes.len()));
    }
    let Some((&version, document)) = bytes.split_first() else {
        return Err(DecodeError::Cbor("empty message".to_owned()));
    };
    if version != VERSION {
        return Err(DecodeError::Version {
            found: version,
            expected: VERSION,
        });
    }
    ciborium::from_reader(document).map_err(|error| DecodeError::Cbor(error.to_string()))
}
