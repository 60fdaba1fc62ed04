use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::model::EntryName;

use super::LinkError;

/// Length of a MAC.
pub const MAC_BYTES: usize = 32;
/// Length of a stream's nonce.
pub const NONCE_BYTES: usize = 16;

/// The MAC key that all instances share.
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

/// Identifies a frame's position: its stream, direction and sequence number.
/// The MAC covers it together with the payload.
#[derive(Clone, Debug)]
pub struct FrameContext {
    /// The stream's nonce, chosen by the receiver.
    pub nonce: [u8; NONCE_BYTES],
    /// Name of the sender.
    pub from: EntryName,
    /// Name of the receiver.
    pub to: EntryName,
    /// Sequence number of the frame in its direction of the stream, from 0.
    pub sequence: u64,
}

impl FrameContext {
    /// Returns the context of the first frame in the opposite direction of the same stream.
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
    /// Returns the MAC of a payload in its context.
    pub fn sign(&self, context: &FrameContext, payload: &[u8]) -> [u8; MAC_BYTES] {
        self.mac(context, payload).finalize().into_bytes().into()
    }

    /// Verifies a MAC in constant time.
    ///
    /// # Errors
    /// [`LinkError::Unauthenticated`] if the MAC does not match payload and context.
    pub fn verify(
        &self,
        context: &FrameContext,
        payload: &[u8],
        tag: &[u8],
    ) -> Result<(), LinkError> {
        self.mac(context, payload)
            .verify_slice(tag)
            .map_err(|_| LinkError::Unauthenticated)
    }

    fn mac(&self, context: &FrameContext, payload: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts a key of any length");
        mac.update(&context.nonce);
        mac.update(&context.sequence.to_be_bytes());
        for name in [&context.from, &context.to] {
            mac.update(&(name.as_str().len() as u64).to_be_bytes());
            mac.update(name.as_str().as_bytes());
        }
        mac.update(payload);
        mac
    }
}
