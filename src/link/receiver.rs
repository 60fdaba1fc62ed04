use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use h2::server::SendResponse;
use h2::{RecvStream, server};
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::admission::{Admission, Refusal};
use super::introduction::{Introduction, Verdict};
use super::peer_key::FrameContext;
use super::queues::{Frame, Queues};
use super::runtime::{LinksConfig, Sink};
use super::stream::{FrameReader, FrameWriter, collect_batch};
use super::{LinkError, LinkEvent, LinkStats, PeerClass};
use crate::model::EntryName;

/// Time without a frame after which an incoming link is closed. It is longer than the
/// sender's idle timeout, so that the sender closes an unused link first.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for the authentication of a connection. It is longer than the peer waits.
const AUTHENTICATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time to wait until the answer to a refused link is flushed.
const REFUSAL_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Budget of h2 for the overhead of short DATA frames that have not been read yet. The flow
/// control window bounds their number, and each costs at most 256 bytes. With the default of
/// h2, some 200 short frames, which a busy process may find at once, would end the link.
pub(super) const DATA_FRAME_BUDGET_BYTES: usize = 1 << 20;
/// Delay after a failed accept, which is most likely due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Closes an incoming connection when it is dropped.
type Handle = oneshot::Sender<()>;

/// Accepts links from all peers and passes their frames to the sink.
pub(super) struct Receiver<F> {
    conf: LinksConfig,
    sink: Sink<F>,
    queues: Queues,
    stats: LinkStats,
    admission: Mutex<Admission<Handle>>,
}

/// A connection whose peer is authenticated.
struct AuthenticatedPeer {
    from: EntryName,
    class: PeerClass,
    reader: FrameReader,
    writer: FrameWriter,
}

impl<F: DeserializeOwned + Send + 'static> Receiver<F> {
    pub fn new(conf: LinksConfig, sink: Sink<F>, queues: Queues, stats: LinkStats) -> Self {
        let admission = Admission::new(conf.limits.unproved, conf.places.clone());
        let admission = Mutex::new(admission);
        Self {
            conf,
            sink,
            queues,
            stats,
            admission,
        }
    }

    /// Accepts connections until the future is dropped.
    pub async fn run(self, listener: TcpListener) {
        let receiver = Arc::new(self);
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let receiver = Arc::clone(&receiver);
                    tokio::spawn(async move { receiver.connection(stream).await });
                }
                Err(err) => {
                    tracing::warn!("link: accept failed: {err}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn connection(&self, stream: TcpStream) {
        let (handle, closed) = oneshot::channel();
        let (id, evicted) = self.admission().register(handle);
        if evicted.is_some() {
            self.stats.increment(LinkEvent::Evicted);
            tracing::debug!("link: an unauthenticated connection was evicted");
        }
        drop(evicted);
        let mut from = None;
        let ended = tokio::select! {
            // Another connection has taken its slot.
            _ = closed => Ok(()),
            ended = self.session(stream, id, &mut from) => ended,
        };
        if let Err(err) = ended {
            if matches!(err, LinkError::Unauthenticated) {
                self.stats.increment(LinkEvent::Unauthenticated);
            }
            tracing::debug!(
                from = from.as_ref().map(EntryName::as_str),
                "link: incoming connection ended: {err}"
            );
        }
        self.release(id, from.as_ref());
    }

    async fn session(
        &self,
        stream: TcpStream,
        id: u64,
        from: &mut Option<EntryName>,
    ) -> Result<(), LinkError> {
        stream.set_nodelay(true)?;
        let first = async {
            let mut builder = server::Builder::new();
            builder.data_frame_budget(DATA_FRAME_BUDGET_BYTES);
            let mut connection = builder.handshake(stream).await?;
            let accepted = connection.accept().await.ok_or(LinkError::Ended)??;
            Ok::<_, LinkError>((connection, accepted))
        };
        let (mut connection, (request, respond)) =
            with_timeout(AUTHENTICATION_TIMEOUT, first).await?;
        let served = tokio::select! {
            // Drives the connection. Further streams are ignored.
            _ = async { while let Some(Ok(_)) = connection.accept().await {} } => Err(LinkError::Ended),
            served = self.serve(request, respond, id, from) => served,
        };
        if let Err(LinkError::Refused) = served {
            connection.graceful_shutdown();
            let closed = std::future::poll_fn(|cx| connection.poll_closed(cx));
            // The link is refused in any case, and the peer may have disconnected.
            let _ = timeout(REFUSAL_FLUSH_TIMEOUT, closed).await;
        }
        served
    }

    async fn serve(
        &self,
        request: http::Request<RecvStream>,
        respond: SendResponse<bytes::Bytes>,
        id: u64,
        from: &mut Option<EntryName>,
    ) -> Result<(), LinkError> {
        let mut peer =
            with_timeout(AUTHENTICATION_TIMEOUT, self.authenticate(request, respond)).await?;
        *from = Some(peer.from.clone());
        self.admit(id, &mut peer).await?;
        let AuthenticatedPeer {
            from,
            class,
            reader,
            writer,
        } = peer;
        if class == PeerClass::Replica {
            return self.read(&from, reader).await;
        }
        let replies = self.queues.open_incoming(&from, id);
        tokio::select! {
            read = self.read(&from, reader) => read,
            written = write(writer, replies) => written,
        }
    }

    /// Reads the first frame, whose MAC authenticates the name in the request.
    async fn authenticate(
        &self,
        request: http::Request<RecvStream>,
        mut respond: SendResponse<bytes::Bytes>,
    ) -> Result<AuthenticatedPeer, LinkError> {
        let from = self
            .conf
            .peer_from_header(request.headers().get("rg-from"))
            .ok_or(LinkError::Unauthenticated)?;
        let nonce: u128 = rand::random();
        let response = http::Response::builder()
            .header("rg-nonce", format!("{nonce:032x}"))
            .body(())
            .map_err(|_| LinkError::Protocol)?;
        let answers = respond.send_response(response, false)?;
        let context = FrameContext {
            nonce: nonce.to_be_bytes(),
            from: from.clone(),
            to: self.conf.me.clone(),
            sequence: 0,
        };
        let writer = FrameWriter::new(answers, self.conf.key.clone(), context.reversed());
        let mut reader = FrameReader::new(request.into_body(), self.conf.key.clone(), context);
        let introduction = crate::codec::decode::<Introduction>(&reader.next().await?)?;
        Ok(AuthenticatedPeer {
            from,
            class: introduction.class,
            reader,
            writer,
        })
    }

    /// Admits the link of an authenticated peer, or tells the peer that it is refused.
    async fn admit(&self, id: u64, peer: &mut AuthenticatedPeer) -> Result<(), LinkError> {
        let (admitted, links) = {
            let mut admission = self.admission();
            let admitted = admission.admit(id, &peer.from, peer.class);
            (admitted, admission.authenticated())
        };
        self.stats.set_incoming(links);
        let verdict = match &admitted {
            Ok(_) => Verdict::Admitted,
            Err(Refusal::Evicted) => return Err(LinkError::Ended),
            Err(Refusal::Full) => Verdict::Full,
        };
        // Closes the connection that was replaced or evicted.
        drop(admitted);
        peer.writer
            .send(&[crate::codec::encode(&verdict).into()])
            .await?;
        match verdict {
            Verdict::Admitted => {
                self.stats.increment(LinkEvent::Admitted);
                Ok(())
            }
            Verdict::Full => {
                self.stats.increment(LinkEvent::Refused);
                tracing::info!(
                    from = %peer.from, class = %peer.class, links, "link: refused, all places are taken"
                );
                Err(LinkError::Refused)
            }
        }
    }

    async fn read(&self, from: &EntryName, mut reader: FrameReader) -> Result<(), LinkError> {
        loop {
            let payload = with_timeout(RECEIVE_TIMEOUT, reader.next()).await?;
            let frame = crate::codec::decode::<F>(&payload)?;
            if !(self.sink)(from.clone(), frame) {
                return Ok(());
            }
        }
    }

    /// Releases what an ended connection held.
    fn release(&self, id: u64, from: Option<&EntryName>) {
        let links = {
            let mut admission = self.admission();
            admission.remove(id, from);
            admission.authenticated()
        };
        self.stats.set_incoming(links);
        if let Some(from) = from {
            self.queues.close_incoming(from, id);
        }
    }

    /// Locks the admission state. A poisoned lock is safe to use because each change is a
    /// single step.
    fn admission(&self) -> MutexGuard<'_, Admission<Handle>> {
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends queued messages until the queue is closed.
async fn write(mut writer: FrameWriter, mut queue: mpsc::Receiver<Frame>) -> Result<(), LinkError> {
    while let Some(message) = queue.recv().await {
        writer.send(&collect_batch(message, &mut queue)).await?;
    }
    writer.finish()
}

/// Runs `work` and returns [`LinkError::Silent`] if it takes longer than `limit`.
pub(super) async fn with_timeout<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    timeout(limit, work).await.map_err(|_| LinkError::Silent)?
}
