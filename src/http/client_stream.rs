use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::intake::Client;

/// Time for which the rest of a refused request is discarded. Closing a socket with unread bytes
/// resets the connection, which may take the answer with it.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// A client's connection. It records the client's progress, ends if the client takes no byte for
/// too long, and closes without losing the answer to a refused request.
pub(super) struct ClientStream {
    stream: TcpStream,
    client: Arc<Client>,
    write_timeout: Duration,
    write_deadline: Option<Pin<Box<Sleep>>>,
    discard_deadline: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    pub fn new(stream: TcpStream, client: Arc<Client>, write_timeout: Duration) -> Self {
        Self {
            stream,
            client,
            write_timeout,
            write_deadline: None,
            discard_deadline: None,
        }
    }

    /// Passes on the result of a write, or an error if none has succeeded for too long.
    fn track_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.write_deadline = None;
            self.client.record_progress(Instant::now());
            return written;
        }
        let timeout = self.write_timeout;
        let deadline = self
            .write_deadline
            .get_or_insert_with(|| Box::pin(sleep(timeout)));
        ready!(deadline.as_mut().poll(cx));
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }

    /// Discards what arrives until the client ends the connection or its time is over.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let deadline = self
            .discard_deadline
            .get_or_insert_with(|| Box::pin(sleep(DISCARD_TIMEOUT)));
        if deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        loop {
            let mut bytes = [0; DISCARD_BUFFER_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(());
            }
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.client.record_progress(Instant::now());
        }
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.track_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.track_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.discard_deadline.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        if self.client.discards() {
            ready!(self.poll_discard(cx));
        }
        Poll::Ready(Ok(()))
    }
}
