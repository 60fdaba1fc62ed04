use bytes::{Buf, BufMut, Bytes, BytesMut};

use super::LinkError;
use super::peer_key::{MAC_BYTES, PeerKey, Place};

/// Largest payload of one frame. The log cuts its batches and snapshots into
/// chunks well below it.
pub const PAYLOAD_LIMIT_BYTES: usize = 4 * 1024 * 1024;
const HEAD_BYTES: usize = 4 + MAC_BYTES;

/// A payload with its length and MAC in front.
pub fn seal(key: &PeerKey, place: &Place, payload: &[u8]) -> Result<Bytes, LinkError> {
    if payload.len() > PAYLOAD_LIMIT_BYTES {
        return Err(LinkError::TooLarge(payload.len()));
    }
    let len = u32::try_from(payload.len()).map_err(|_| LinkError::TooLarge(payload.len()))?;
    let mut out = BytesMut::with_capacity(HEAD_BYTES + payload.len());
    out.put_u32(len);
    out.put_slice(&key.sign(place, payload));
    out.put_slice(payload);
    Ok(out.freeze())
}

/// Cuts a stream of bytes into proved payloads.
#[derive(Debug)]
pub struct Opener {
    key: PeerKey,
    place: Place,
    buf: BytesMut,
}

impl Opener {
    /// An opener at the start of a stream.
    pub fn new(key: PeerKey, place: Place) -> Self {
        Self {
            key,
            place,
            buf: BytesMut::new(),
        }
    }

    /// Adds bytes from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole payload, proved; none until more bytes come.
    ///
    /// # Errors
    /// The length is over the limit or the MAC is wrong: the stream is to be
    /// given up.
    pub fn next(&mut self) -> Result<Option<Bytes>, LinkError> {
        if self.buf.len() < HEAD_BYTES {
            return Ok(None);
        }
        let len = (&self.buf[..4]).get_u32() as usize;
        if len > PAYLOAD_LIMIT_BYTES {
            return Err(LinkError::TooLarge(len));
        }
        if self.buf.len() < HEAD_BYTES + len {
            return Ok(None);
        }
        let frame = self.buf.split_to(HEAD_BYTES + len).freeze();
        let payload = frame.slice(HEAD_BYTES..);
        self.key
            .verify(&self.place, &payload, &frame[4..HEAD_BYTES])?;
        self.place.sequence += 1;
        Ok(Some(payload))
    }
}
