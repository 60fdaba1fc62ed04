//! The two directions of a link's stream, in frames.
//!
//! Messages that wait at the same time leave in one frame: each frame costs a MAC and a DATA
//! frame of its own, many times what a short message does.

use std::collections::VecDeque;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use tokio::sync::mpsc;

use super::LinkError;
use super::frame::{Opener, seal};
use super::peer_key::{PeerKey, Place};
use super::queues::Frame;

/// Messages are added to a frame until it has so many bytes: little beside a link's
/// bandwidth, so that a heartbeat does not wait for long.
const BATCH_BYTES: usize = 64 << 10;
const LENGTH_BYTES: usize = 4;

/// Takes what is waiting, after a first message.
pub(super) fn batch(first: Frame, queue: &mut mpsc::Receiver<Frame>) -> Vec<Frame> {
    let mut bytes = first.len();
    let mut messages = vec![first];
    while bytes < BATCH_BYTES {
        let Ok(next) = queue.try_recv() else { break };
        bytes += next.len();
        messages.push(next);
    }
    messages
}

/// Writes proved frames.
pub(super) struct FrameWriter {
    stream: SendStream<Bytes>,
    key: PeerKey,
    place: Place,
}

impl FrameWriter {
    /// A writer at the start of a stream.
    pub fn new(stream: SendStream<Bytes>, key: PeerKey, place: Place) -> Self {
        Self { stream, key, place }
    }

    /// Sends messages in one frame.
    ///
    /// # Errors
    /// They are too large, or the stream has ended.
    pub async fn send(&mut self, messages: &[Frame]) -> Result<(), LinkError> {
        let mut data = seal(&self.key, &self.place, &pack(messages)?)?;
        self.place.sequence += 1;
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

    /// Ends the stream in order.
    ///
    /// # Errors
    /// It has ended already.
    pub fn finish(mut self) -> Result<(), LinkError> {
        self.stream.send_data(Bytes::new(), true)?;
        Ok(())
    }
}

/// Reads proved frames.
pub(super) struct FrameReader {
    body: RecvStream,
    opener: Opener,
    messages: VecDeque<Bytes>,
}

impl FrameReader {
    /// A reader at the start of a stream.
    pub fn new(body: RecvStream, key: PeerKey, place: Place) -> Self {
        Self {
            body,
            opener: Opener::new(key, place),
            messages: VecDeque::new(),
        }
    }

    /// The next message.
    ///
    /// # Errors
    /// The stream has ended, or a frame is not proved.
    pub async fn next(&mut self) -> Result<Bytes, LinkError> {
        loop {
            if let Some(message) = self.messages.pop_front() {
                return Ok(message);
            }
            if let Some(payload) = self.opener.next()? {
                self.messages = unpack(payload)?;
                continue;
            }
            let data: Bytes = self.body.data().await.ok_or(LinkError::Ended)??;
            self.opener.push(&data);
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
