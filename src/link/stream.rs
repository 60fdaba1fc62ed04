//! The two directions of a link's stream, in frames.

use bytes::Bytes;
use h2::{RecvStream, SendStream};

use super::LinkError;
use super::frame::{Opener, seal};
use super::peer_key::{PeerKey, Place};

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

    /// Sends one frame.
    ///
    /// # Errors
    /// It is too large, or the stream has ended.
    pub async fn send(&mut self, payload: &[u8]) -> Result<(), LinkError> {
        let mut data = seal(&self.key, &self.place, payload)?;
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
}

impl FrameReader {
    /// A reader at the start of a stream.
    pub fn new(body: RecvStream, key: PeerKey, place: Place) -> Self {
        Self {
            body,
            opener: Opener::new(key, place),
        }
    }

    /// The next frame.
    ///
    /// # Errors
    /// The stream has ended, or a frame is not proved.
    pub async fn next(&mut self) -> Result<Bytes, LinkError> {
        loop {
            if let Some(payload) = self.opener.next()? {
                return Ok(payload);
            }
            let data: Bytes = self.body.data().await.ok_or(LinkError::Ended)??;
            self.opener.push(&data);
            self.body.flow_control().release_capacity(data.len())?;
        }
    }
}
