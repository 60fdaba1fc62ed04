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
use super::peer_key::Place;
use super::queues::{Frame, Queues};
use super::runtime::{LinksConfig, Sink};
use super::stream::{FrameReader, FrameWriter, batch};
use super::{LinkError, LinkEvent, LinkStats, PeerClass};
use crate::model::EntryName;

/// How long a link may be silent: the sender pings about three times in this time, and
/// closes what it does not use before.
const SILENCE: Duration = Duration::from_secs(3);
/// How long a connection may take to prove whose it is. Longer than the other side waits.
const PROOF_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long the answer to a refused link may take to leave.
const FAREWELL: Duration = Duration::from_millis(200);
/// What short DATA frames that were not read yet may cost beyond their bytes. The window
/// bounds how many there can be, each by 256 bytes at most; with the library's own limit some
/// 200 of them, which a busy process finds at once, would end the link.
pub(super) const FRAME_OVERHEAD_BYTES: usize = 1 << 20;
/// Pause after the system gave no connection, most likely for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Closes an incoming connection when it is dropped.
type Handle = oneshot::Sender<()>;

/// Takes links of all peers and hands their frames to the sink.
pub(super) struct Receiver<F> {
    conf: LinksConfig,
    sink: Sink<F>,
    queues: Queues,
    stats: LinkStats,
    admission: Mutex<Admission<Handle>>,
}

/// A connection whose peer is proved.
struct Proved {
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

    /// Runs until it is dropped.
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
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn connection(&self, stream: TcpStream) {
        let (handle, closed) = oneshot::channel();
        let (id, evicted) = self.admission().arrive(handle);
        if evicted.is_some() {
            self.stats.count(LinkEvent::Evicted);
            tracing::debug!("link: an unproved connection makes room");
        }
        drop(evicted);
        let mut from = None;
        let ended = tokio::select! {
            // Another connection has its place now.
            _ = closed => Ok(()),
            ended = self.session(stream, id, &mut from) => ended,
        };
        if let Err(err) = ended {
            if matches!(err, LinkError::Unproved) {
                self.stats.count(LinkEvent::Unproved);
            }
            tracing::debug!(
                from = from.as_ref().map(EntryName::as_str),
                "link: incoming ended: {err}"
            );
        }
        self.forget(id, from.as_ref());
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
            builder.data_frame_budget(FRAME_OVERHEAD_BYTES);
            let mut connection = builder.handshake(stream).await?;
            let accepted = connection.accept().await.ok_or(LinkError::Ended)??;
            Ok::<_, LinkError>((connection, accepted))
        };
        let (mut connection, (request, respond)) = within(PROOF_TIMEOUT, first).await?;
        let served = tokio::select! {
            // Drives the connection; no second stream is ever taken.
            _ = async { while let Some(Ok(_)) = connection.accept().await {} } => Err(LinkError::Ended),
            served = self.serve(request, respond, id, from) => served,
        };
        if let Err(LinkError::Refused) = served {
            connection.graceful_shutdown();
            let closed = std::future::poll_fn(|cx| connection.poll_closed(cx));
            // It is refused either way; the other side may have gone.
            let _ = timeout(FAREWELL, closed).await;
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
        let mut proved = within(PROOF_TIMEOUT, self.prove(request, respond)).await?;
        *from = Some(proved.from.clone());
        self.admit(id, &mut proved).await?;
        let Proved {
            from,
            class,
            reader,
            writer,
        } = proved;
        if class == PeerClass::Replica {
            return self.read(&from, reader).await;
        }
        let replies = self.queues.accepted(&from, id);
        tokio::select! {
            read = self.read(&from, reader) => read,
            written = write(writer, replies) => written,
        }
    }

    /// Reads the first frame, which proves the name that the request gives.
    async fn prove(
        &self,
        request: http::Request<RecvStream>,
        mut respond: SendResponse<bytes::Bytes>,
    ) -> Result<Proved, LinkError> {
        let from = self
            .conf
            .member(request.headers().get("rg-from"))
            .ok_or(LinkError::Unproved)?;
        let nonce: u128 = rand::random();
        let response = http::Response::builder()
            .header("rg-nonce", format!("{nonce:032x}"))
            .body(())
            .map_err(|_| LinkError::Protocol)?;
        let answers = respond.send_response(response, false)?;
        let place = Place {
            nonce: nonce.to_be_bytes(),
            from: from.clone(),
            to: self.conf.me.clone(),
            sequence: 0,
        };
        let writer = FrameWriter::new(answers, self.conf.key.clone(), place.reversed());
        let mut reader = FrameReader::new(request.into_body(), self.conf.key.clone(), place);
        let introduction = crate::codec::decode::<Introduction>(&reader.next().await?)?;
        Ok(Proved {
            from,
            class: introduction.class,
            reader,
            writer,
        })
    }

    /// Gives a proved link its place, or says that there is none.
    async fn admit(&self, id: u64, proved: &mut Proved) -> Result<(), LinkError> {
        let (admitted, links) = {
            let mut admission = self.admission();
            let admitted = admission.prove(id, &proved.from, proved.class);
            (admitted, admission.proved())
        };
        self.stats.set_incoming(links);
        let verdict = match &admitted {
            Ok(_) => Verdict::Admitted,
            Err(Refusal::Evicted) => return Err(LinkError::Ended),
            Err(Refusal::Full) => Verdict::Full,
        };
        // Closes the connection that made room.
        drop(admitted);
        proved
            .writer
            .send(&[crate::codec::encode(&verdict)])
            .await?;
        match verdict {
            Verdict::Admitted => {
                self.stats.count(LinkEvent::Admitted);
                Ok(())
            }
            Verdict::Full => {
                self.stats.count(LinkEvent::Refused);
                tracing::info!(
                    from = %proved.from, class = %proved.class, links, "link: refused, all places are taken"
                );
                Err(LinkError::Refused)
            }
        }
    }

    async fn read(&self, from: &EntryName, mut reader: FrameReader) -> Result<(), LinkError> {
        loop {
            let payload = within(SILENCE, reader.next()).await?;
            let frame = crate::codec::decode::<F>(&payload)?;
            if !(self.sink)(from.clone(), frame) {
                return Ok(());
            }
        }
    }

    fn forget(&self, id: u64, from: Option<&EntryName>) {
        let links = {
            let mut admission = self.admission();
            admission.leave(id, from);
            admission.proved()
        };
        self.stats.set_incoming(links);
        if let Some(from) = from {
            self.queues.ended(from, id);
        }
    }

    /// A panic elsewhere leaves the maps whole: each change is one step.
    fn admission(&self) -> MutexGuard<'_, Admission<Handle>> {
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends what is queued until the queue is closed.
async fn write(mut writer: FrameWriter, mut queue: mpsc::Receiver<Frame>) -> Result<(), LinkError> {
    while let Some(message) = queue.recv().await {
        writer.send(&batch(message, &mut queue)).await?;
    }
    writer.finish()
}

/// Waits no longer than this.
pub(super) async fn within<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    timeout(limit, work).await.map_err(|_| LinkError::Silent)?
}
