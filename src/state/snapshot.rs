use super::State;

/// First bytes of an encoded state; the last is the format's number.
const MAGIC: &[u8; 4] = b"RGS1";

/// Largest state that is decoded, in bytes. The limits of answers, jobs and
/// tombstones add up to less than half of it; more is not a state of ours.
pub const MAX_STATE_BYTES: usize = 512 * 1024 * 1024;

/// Why bytes could not be read as a state.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum SnapshotError {
    /// Over the limit.
    #[display("state of {bytes} bytes is over the limit of {MAX_STATE_BYTES}")]
    TooLarge {
        /// Its size.
        bytes: usize,
    },
    /// Not a state, or one of another version of this program.
    #[display("these bytes are not a state of this version")]
    BadMagic,
    /// The bytes do not decode.
    #[display("state does not decode: {_0}")]
    Decode(bincode::error::DecodeError),
    /// Bytes are left over after the state.
    #[display("{bytes} bytes are left over after the state")]
    Trailing {
        /// How many.
        bytes: usize,
    },
    /// The state does not encode.
    #[display("state does not encode: {_0}")]
    Encode(bincode::error::EncodeError),
}

impl State {
    /// The state's bytes; equal states give equal bytes on every process.
    ///
    /// # Errors
    /// If a value has no encoding, which a state that was applied never has.
    pub fn encode(&self) -> Result<Vec<u8>, SnapshotError> {
        let mut bytes = MAGIC.to_vec();
        bincode::serde::encode_into_std_write(self, &mut bytes, bincode::config::standard())
            .map_err(SnapshotError::Encode)?;
        Ok(bytes)
    }

    /// Reads what [`State::encode`] wrote.
    ///
    /// # Errors
    /// If the bytes are too many, of another version, cut or damaged.
    pub fn decode(bytes: &[u8]) -> Result<Self, SnapshotError> {
        if bytes.len() > MAX_STATE_BYTES {
            return Err(SnapshotError::TooLarge { bytes: bytes.len() });
        }
        let body = bytes
            .strip_prefix(MAGIC.as_slice())
            .ok_or(SnapshotError::BadMagic)?;
        // The limit stops a damaged length from asking for terabytes.
        let config = bincode::config::standard().with_limit::<MAX_STATE_BYTES>();
        let (state, read) =
            bincode::serde::decode_from_slice(body, config).map_err(SnapshotError::Decode)?;
        if read < body.len() {
            return Err(SnapshotError::Trailing {
                bytes: body.len() - read,
            });
        }
        Ok(state)
    }

    /// Digest of the state's bytes, to compare processes.
    ///
    /// # Errors
    /// As [`State::encode`].
    pub fn hash(&self) -> Result<super::Fingerprint, SnapshotError> {
        Ok(super::Fingerprint::of_bytes(&self.encode()?))
    }
}
