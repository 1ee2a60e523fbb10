//! The envelope of control messages: a version byte, then one CBOR document of bounded size.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::context::DecodeError;

/// Version of the control messages that this process speaks.
pub const VERSION: u8 = 1;
/// Largest message that goes in one datagram, in bytes, so that it is not fragmented.
pub const MAX_DATAGRAM: usize = 1_200;
/// Largest message that goes over a stream, in bytes: a snapshot of the whole configuration.
pub const MAX_STREAM_MESSAGE: usize = 16 * 1_024 * 1_024;

/// Encodes a control message with its version.
///
/// # Errors
/// [`DecodeError::Cbor`] when the message holds a value that CBOR can't express.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, DecodeError> {
    let mut bytes = vec![VERSION];
    ciborium::into_writer(message, &mut bytes)
        .map_err(|error| DecodeError::Cbor(error.to_string()))?;
    Ok(bytes)
}

/// Decodes a control message of at most `limit` bytes.
///
/// # Errors
/// [`DecodeError`] when the message is too long, of another version or not the expected CBOR.
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
