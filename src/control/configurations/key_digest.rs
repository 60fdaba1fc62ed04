use std::fmt;

use secrecy::{ExposeSecret, SecretString};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of leading bytes of a digest that logs show: enough to compare two log lines, and
/// too few to search for the key.
const SHOWN_BYTES: usize = 4;

/// SHA-256 digest of an API key.
///
/// Instances compare, store and send digests only. Neither `Debug` nor `Display` shows more
/// than a prefix.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &SecretString) -> Self {
        Self(Sha256::digest(key.expose_secret().as_bytes()).into())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in &self.0[..SHOWN_BYTES] {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self}..)")
    }
}
