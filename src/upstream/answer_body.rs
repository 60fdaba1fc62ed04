use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::CutShort;

/// The body of an answer, whole or ended half way.
#[derive(Debug)]
pub(super) struct AnswerBody {
    rest: Option<Bytes>,
    whole_bytes: u64,
    cut: CutShort,
}

impl AnswerBody {
    pub(super) fn new(bytes: impl Into<Bytes>, cut: CutShort) -> Self {
        let bytes = bytes.into();
        Self {
            whole_bytes: bytes.len() as u64,
            rest: Some(bytes),
            cut,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Poll::Ready(match (self.rest.take(), self.cut) {
            (Some(bytes), CutShort::Never) => Some(Ok(Frame::data(bytes))),
            (Some(bytes), _) => Some(Ok(Frame::data(bytes.slice(..bytes.len() / 2)))),
            (None, CutShort::Never) => None,
            (None, _) => Some(Err(io::Error::other("answer cut short on purpose"))),
        })
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
