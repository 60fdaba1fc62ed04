use bytes::{Buf, BufMut, Bytes, BytesMut};

use super::LinkError;
use super::peer_key::{FrameContext, MAC_BYTES, PeerKey};

/// Maximum payload of one frame. The log splits its batches and snapshots into chunks
/// well below this size.
pub const MAX_PAYLOAD_BYTES: usize = 4 * 1024 * 1024;
const HEADER_BYTES: usize = 4 + MAC_BYTES;

/// Returns a payload prefixed with its length and MAC.
pub fn encode_frame(
    key: &PeerKey,
    context: &FrameContext,
    payload: &[u8],
) -> Result<Bytes, LinkError> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(LinkError::TooLarge(payload.len()));
    }
    let len = u32::try_from(payload.len()).map_err(|_| LinkError::TooLarge(payload.len()))?;
    let mut out = BytesMut::with_capacity(HEADER_BYTES + payload.len());
    out.put_u32(len);
    out.put_slice(&key.sign(context, payload));
    out.put_slice(payload);
    Ok(out.freeze())
}

/// Splits a stream of bytes into frames and verifies their MACs.
#[derive(Debug)]
pub struct FrameDecoder {
    key: PeerKey,
    context: FrameContext,
    buf: BytesMut,
}

impl FrameDecoder {
    /// Returns a decoder for the start of a stream.
    pub fn new(key: PeerKey, context: FrameContext) -> Self {
        Self {
            key,
            context,
            buf: BytesMut::new(),
        }
    }

    /// Appends bytes received from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next verified payload, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// The length exceeds the limit or the MAC is wrong. The stream cannot be used any
    /// further.
    pub fn next(&mut self) -> Result<Option<Bytes>, LinkError> {
        if self.buf.len() < HEADER_BYTES {
            return Ok(None);
        }
        let len = (&self.buf[..4]).get_u32() as usize;
        if len > MAX_PAYLOAD_BYTES {
            return Err(LinkError::TooLarge(len));
        }
        if self.buf.len() < HEADER_BYTES + len {
            return Ok(None);
        }
        let frame = self.buf.split_to(HEADER_BYTES + len).freeze();
        let payload = frame.slice(HEADER_BYTES..);
        self.key
            .verify(&self.context, &payload, &frame[4..HEADER_BYTES])?;
        self.context.sequence += 1;
        Ok(Some(payload))
    }
}
