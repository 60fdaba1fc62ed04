use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{Sleep, sleep};

use super::CutShort;

/// Pause before a cut: without it the server drops head and half body unsent,
/// and the other side sees no answer instead of half of one.
const CUT_PAUSE_MS: u64 = 10;

/// The body of an answer, whole or ended half way.
#[derive(Debug)]
pub(super) struct AnswerBody {
    rest: Option<Bytes>,
    whole_bytes: u64,
    cut: CutShort,
    pause: Option<Pin<Box<Sleep>>>,
}

impl AnswerBody {
    pub(super) fn new(bytes: impl Into<Bytes>, cut: CutShort) -> Self {
        let bytes = bytes.into();
        Self {
            whole_bytes: bytes.len() as u64,
            rest: Some(bytes),
            cut,
            pause: None,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.cut == CutShort::Never {
            return Poll::Ready(self.rest.take().map(|bytes| Ok(Frame::data(bytes))));
        }
        if let Some(bytes) = self.rest.take() {
            self.pause = Some(Box::pin(sleep(Duration::from_millis(CUT_PAUSE_MS))));
            return Poll::Ready(Some(Ok(Frame::data(bytes.slice(..bytes.len() / 2)))));
        }
        if let Some(pause) = self.pause.as_mut() {
            ready!(pause.as_mut().poll(cx));
        }
        Poll::Ready(Some(Err(io::Error::other("answer cut short on purpose"))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_none() && self.cut == CutShort::Never
    }

    fn size_hint(&self) -> SizeHint {
        match self.cut {
            CutShort::Chunked => SizeHint::default(),
            CutShort::Never | CutShort::Length => SizeHint::with_exact(self.whole_bytes),
        }
    }
}
