use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::model::EntryName;

use super::LinkError;

/// Bytes of a MAC.
pub const MAC_BYTES: usize = 32;
/// Bytes of a stream's nonce.
pub const NONCE_BYTES: usize = 16;

/// The key that all entry instances share.
#[derive(Clone)]
pub struct PeerKey(Vec<u8>);

impl std::fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

impl From<Vec<u8>> for PeerKey {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }
}

/// Where a frame belongs.
#[derive(Clone, Debug)]
pub struct Place {
    /// The stream's nonce, chosen by the receiver.
    pub nonce: [u8; NONCE_BYTES],
    /// Who sends.
    pub from: EntryName,
    /// Who receives.
    pub to: EntryName,
    /// Counts the frames of the stream, from 0.
    pub sequence: u64,
}

impl Place {
    /// The start of the other direction of the same stream.
    pub fn reversed(&self) -> Self {
        Self {
            nonce: self.nonce,
            from: self.to.clone(),
            to: self.from.clone(),
            sequence: 0,
        }
    }
}

impl PeerKey {
    /// The MAC of a payload at its place.
    pub fn sign(&self, place: &Place, payload: &[u8]) -> [u8; MAC_BYTES] {
        self.mac(place, payload).finalize().into_bytes().into()
    }

    /// Checks a MAC in constant time.
    ///
    /// # Errors
    /// [`LinkError::Unproved`] if it is not the payload's at this place.
    pub fn verify(&self, place: &Place, payload: &[u8], tag: &[u8]) -> Result<(), LinkError> {
        self.mac(place, payload)
            .verify_slice(tag)
            .map_err(|_| LinkError::Unproved)
    }

    fn mac(&self, place: &Place, payload: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes a key of any length");
        mac.update(&place.nonce);
        mac.update(&place.sequence.to_be_bytes());
        for name in [&place.from, &place.to] {
            mac.update(&(name.as_str().len() as u64).to_be_bytes());
            mac.update(name.as_str().as_bytes());
        }
        mac.update(payload);
        mac
    }
}
