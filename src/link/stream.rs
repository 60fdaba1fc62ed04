//! Framed reading and writing of a link's stream.
//!
//! Messages that are queued at the same time are sent in one frame, because each frame costs
//! a MAC and an HTTP/2 DATA frame, many times the cost of a short message.

use std::collections::VecDeque;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use tokio::sync::mpsc;

use super::LinkError;
use super::frame::{FrameDecoder, encode_frame};
use super::peer_key::{FrameContext, PeerKey};
use super::queues::Frame;

/// Size from which no further message is added to a frame. It is small compared with a link's
/// bandwidth, so that a heartbeat is not delayed for long.
const BATCH_TARGET_BYTES: usize = 64 << 10;
const LENGTH_BYTES: usize = 4;

/// Returns `first` together with the queued messages, up to the target size of a batch.
pub(super) fn collect_batch(first: Frame, queue: &mut mpsc::Receiver<Frame>) -> Vec<Frame> {
    let mut bytes = first.len();
    let mut messages = vec![first];
    while bytes < BATCH_TARGET_BYTES {
        let Ok(next) = queue.try_recv() else { break };
        bytes += next.len();
        messages.push(next);
    }
    messages
}

/// Writes authenticated frames to a stream.
pub(super) struct FrameWriter {
    stream: SendStream<Bytes>,
    key: PeerKey,
    context: FrameContext,
}

impl FrameWriter {
    /// Returns a writer for the start of a stream.
    pub fn new(stream: SendStream<Bytes>, key: PeerKey, context: FrameContext) -> Self {
        Self {
            stream,
            key,
            context,
        }
    }

    /// Sends messages in one frame.
    ///
    /// # Errors
    /// The messages are too large, or the stream has ended.
    pub async fn send(&mut self, messages: &[Frame]) -> Result<(), LinkError> {
        let mut data = encode_frame(&self.key, &self.context, &pack(messages)?)?;
        self.context.sequence += 1;
        while !data.is_empty() {
            self.stream.reserve_capacity(data.len());
            let granted = std::future::poll_fn(|cx| self.stream.poll_capacity(cx))
                .await
                .ok_or(LinkError::Ended)??;
            let part = data.split_to(granted.min(data.len()));
            self.stream.send_data(part, false)?;
        }
        Ok(())
    }

    /// Ends the stream gracefully.
    ///
    /// # Errors
    /// The stream has ended already.
    pub fn finish(mut self) -> Result<(), LinkError> {
        self.stream.send_data(Bytes::new(), true)?;
        Ok(())
    }
}

/// Reads authenticated frames from a stream.
pub(super) struct FrameReader {
    body: RecvStream,
    decoder: FrameDecoder,
    messages: VecDeque<Bytes>,
}

impl FrameReader {
    /// Returns a reader for the start of a stream.
    pub fn new(body: RecvStream, key: PeerKey, context: FrameContext) -> Self {
        Self {
            body,
            decoder: FrameDecoder::new(key, context),
            messages: VecDeque::new(),
        }
    }

    /// Returns the next message.
    ///
    /// # Errors
    /// The stream has ended, or a frame is malformed or not authenticated.
    pub async fn next(&mut self) -> Result<Bytes, LinkError> {
        loop {
            if let Some(message) = self.messages.pop_front() {
                return Ok(message);
            }
            if let Some(payload) = self.decoder.next()? {
                self.messages = unpack(payload)?;
                continue;
            }
            let data: Bytes = self.body.data().await.ok_or(LinkError::Ended)??;
            self.decoder.push(&data);
            self.body.flow_control().release_capacity(data.len())?;
        }
    }
}

fn pack(messages: &[Frame]) -> Result<Bytes, LinkError> {
    let bytes = messages.iter().map(|m| LENGTH_BYTES + m.len()).sum();
    let mut packed = BytesMut::with_capacity(bytes);
    for message in messages {
        let length = u32::try_from(message.len());
        packed.put_u32(length.map_err(|_| LinkError::TooLarge(message.len()))?);
        packed.put_slice(message);
    }
    Ok(packed.freeze())
}

fn unpack(mut packed: Bytes) -> Result<VecDeque<Bytes>, LinkError> {
    let mut messages = VecDeque::new();
    while packed.has_remaining() {
        let length = packed.try_get_u32().map_err(|_| LinkError::Protocol)? as usize;
        if length > packed.len() {
            return Err(LinkError::Protocol);
        }
        messages.push_back(packed.split_to(length));
    }
    Ok(messages)
}
