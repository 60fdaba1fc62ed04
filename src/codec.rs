//! The binary encoding of values that go to peers and to disk.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::consensus::SNAPSHOT_LIMIT_BYTES;

/// Bounds the memory for a decoded value, in bytes. It is above any frame, snapshot chunk
/// or command, and small enough that a corrupt length cannot exhaust the memory.
pub const VALUE_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Bounds the memory for a decoded state, in bytes. A number counts at its full width,
/// which is up to eight times its encoded size in a snapshot.
const STATE_LIMIT_BYTES: usize = 8 * SNAPSHOT_LIMIT_BYTES;

/// An error from decoding bytes that are not a valid value of the expected type.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("cannot decode bytes as {type_name}: {cause}")]
pub struct CodecError {
    type_name: &'static str,
    cause: String,
}

/// Encodes a value.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("plain data without unsized sequences always encodes")
}

/// Decodes a value, which must take up all of the bytes.
///
/// # Errors
/// Returns an error if the bytes are truncated, encode another type, have trailing bytes,
/// or claim a size above [`VALUE_LIMIT_BYTES`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    match decode_prefix(bytes)? {
        (value, []) => Ok(value),
        (_, rest) => Err(CodecError {
            type_name: std::any::type_name::<T>(),
            cause: format!("{} trailing bytes", rest.len()),
        }),
    }
}

/// Decodes a value from the beginning of the bytes and returns the bytes after it.
///
/// # Errors
/// Returns an error if the bytes are truncated, encode another type, or claim a size above
/// [`VALUE_LIMIT_BYTES`].
pub fn decode_prefix<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), CodecError> {
    decode_prefix_within::<T, VALUE_LIMIT_BYTES>(bytes)
}

/// Decodes the state at the beginning of a snapshot and returns the bytes after it.
///
/// Every snapshot that can be written must be readable, because the log before it is
/// deleted. If the limit for messages applied here, an instance that restarts with a large
/// state would continue from an empty one, and all jobs would be lost.
///
/// # Errors
/// Returns an error if the bytes are truncated, encode another type, or claim a size above
/// the limit for states.
pub fn decode_state<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), CodecError> {
    decode_prefix_within::<T, STATE_LIMIT_BYTES>(bytes)
}

fn decode_prefix_within<T: DeserializeOwned, const LIMIT: usize>(
    bytes: &[u8],
) -> Result<(T, &[u8]), CodecError> {
    let conf = bincode::config::standard().with_limit::<LIMIT>();
    match bincode::serde::decode_from_slice(bytes, conf) {
        Ok((value, used)) => Ok((value, &bytes[used..])),
        Err(err) => Err(CodecError {
            type_name: std::any::type_name::<T>(),
            cause: err.to_string(),
        }),
    }
}
