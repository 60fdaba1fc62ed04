use super::State;

/// First bytes of an encoded state; the last one is the format's version.
const MAGIC: &[u8; 4] = b"RGS1";

/// Largest state that is decoded, in bytes. The limits of answers, jobs and
/// tombstones add up to less than half of it, so larger input is no valid state.
pub const MAX_STATE_BYTES: usize = 512 * 1024 * 1024;

/// Why a state could not be encoded or decoded.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum SnapshotError {
    /// The encoded state is over the limit.
    #[display("the state has {bytes} bytes, over the limit of {MAX_STATE_BYTES}")]
    TooLarge {
        /// Its size, in bytes.
        bytes: usize,
    },
    /// The bytes are no state, or one in another version of the format.
    #[display("the bytes are not a state in this version of the format")]
    BadMagic,
    /// The bytes do not decode.
    #[display("the state does not decode: {_0}")]
    Decode(bincode::error::DecodeError),
    /// Bytes follow the end of the state.
    #[display("{bytes} bytes follow the end of the state")]
    Trailing {
        /// The number of these bytes.
        bytes: usize,
    },
    /// The state does not encode.
    #[display("the state does not encode: {_0}")]
    Encode(bincode::error::EncodeError),
}

impl State {
    /// Encodes the state; equal states give equal bytes on every process.
    ///
    /// # Errors
    /// If a value has no encoding, which does not occur in a state that only
    /// commands have changed.
    pub fn encode(&self) -> Result<Vec<u8>, SnapshotError> {
        let mut bytes = MAGIC.to_vec();
        bincode::serde::encode_into_std_write(self, &mut bytes, bincode::config::standard())
            .map_err(SnapshotError::Encode)?;
        Ok(bytes)
    }

    /// Decodes a state that [`State::encode`] wrote.
    ///
    /// # Errors
    /// If the bytes are over [`MAX_STATE_BYTES`], in another version of the
    /// format, truncated or damaged.
    pub fn decode(bytes: &[u8]) -> Result<Self, SnapshotError> {
        if bytes.len() > MAX_STATE_BYTES {
            return Err(SnapshotError::TooLarge { bytes: bytes.len() });
        }
        let body = bytes
            .strip_prefix(MAGIC.as_slice())
            .ok_or(SnapshotError::BadMagic)?;
        // The limit keeps a damaged length field from allocating terabytes.
        let config = bincode::config::standard().with_limit::<MAX_STATE_BYTES>();
        let (state, read_bytes) =
            bincode::serde::decode_from_slice(body, config).map_err(SnapshotError::Decode)?;
        if read_bytes < body.len() {
            return Err(SnapshotError::Trailing {
                bytes: body.len() - read_bytes,
            });
        }
        Ok(state)
    }

    /// Returns a digest of the encoded state, to compare it between processes.
    ///
    /// # Errors
    /// As [`State::encode`].
    pub fn hash(&self) -> Result<super::Fingerprint, SnapshotError> {
        Ok(super::Fingerprint::of_bytes(&self.encode()?))
    }
}
