//! One way of turning values into bytes and back, for peers and disk.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::consensus::SNAPSHOT_LIMIT_BYTES;

/// Largest value that is read: above any frame, snapshot chunk or command, and
/// small enough that a corrupt length cannot exhaust the memory.
pub const LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// The same for a whole state. A number counts at its full width, which is up to eight
/// times the bytes that it takes in a snapshot.
const STATE_LIMIT_BYTES: usize = 8 * SNAPSHOT_LIMIT_BYTES;

/// Bytes that are not a value of the wanted type.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("bytes cannot be read as {wanted}: {cause}")]
pub struct CodecError {
    wanted: &'static str,
    cause: String,
}

/// A value's bytes.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("plain data without unsized sequences always encodes")
}

/// The value in these bytes, all of which must belong to it.
///
/// # Errors
/// The bytes are cut short, of another type, too many, or claim a size above
/// [`LIMIT_BYTES`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    decode_within::<T, LIMIT_BYTES>(bytes)
}

/// The state in the bytes of a snapshot.
///
/// Whatever is written as a snapshot has to be read again: the log behind it is gone. Read
/// with the limit of a message, an instance that restarts under a large state goes on from
/// an empty one, and nobody knows the jobs any more.
///
/// # Errors
/// The bytes are cut short, of another type or too many.
pub fn decode_state<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    decode_within::<T, STATE_LIMIT_BYTES>(bytes)
}

fn decode_within<T: DeserializeOwned, const LIMIT: usize>(bytes: &[u8]) -> Result<T, CodecError> {
    let wanted = std::any::type_name::<T>();
    let conf = bincode::config::standard().with_limit::<LIMIT>();
    match bincode::serde::decode_from_slice(bytes, conf) {
        Ok((value, used)) if used == bytes.len() => Ok(value),
        Ok((_, used)) => Err(CodecError {
            wanted,
            cause: format!("{} bytes too many", bytes.len() - used),
        }),
        Err(err) => Err(CodecError {
            wanted,
            cause: err.to_string(),
        }),
    }
}
