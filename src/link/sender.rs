use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use h2::client::{self, SendRequest};
use rand::Rng;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::introduction::{Introduction, Verdict};
use super::outage::Outage;
use super::peer_key::{FrameContext, NONCE_BYTES};
use super::queues::Frame;
use super::receiver::{DATA_FRAME_BUDGET_BYTES, with_timeout};
use super::runtime::{LinksConfig, Sink};
use super::stream::{FrameReader, FrameWriter, collect_batch};
use super::{LinkError, LinkEvent, LinkStats, PeerClass};
use crate::model::EntryName;

/// Timeout for connecting. The round trip between zones is about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between two connection attempts. It is short so that the end of a network partition
/// is noticed well before leases expire.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Minimum delay after a peer refused a link because its slots are taken. A random jitter of
/// up to the same duration is added.
const REFUSED_RECONNECT_DELAY: Duration = Duration::from_millis(800);
/// Time without a link after which connection attempts to a peer named by its address stop
/// until the next frame is sent to it. Otherwise attempts to reach a removed machine would
/// never end.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without a frame after which a link to a peer named by its address is closed; the next
/// frame opens it again. It has to be below the receiver's `RECEIVE_TIMEOUT`.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of the keep-alive PINGs. A connection whose state a middlebox has lost stays open
/// and drops all data silently; only a missing answer reveals it.
const PING_INTERVAL: Duration = Duration::from_millis(300);
/// Time to wait for the answer to a PING before the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_millis(600);

/// Reason for the regular end of a connection.
enum SessionEnd {
    /// The queue was closed.
    Closed,
    /// Nothing was sent for [`IDLE_TIMEOUT`].
    Idle,
}

/// The sending side of a link to one peer.
pub(super) struct Sender<F> {
    pub conf: LinksConfig,
    pub peer: EntryName,
    pub address: SocketAddr,
    pub sink: Sink<F>,
    pub stats: LinkStats,
}

impl<F: DeserializeOwned + Send + 'static> Sender<F> {
    /// Sends the frames of `queue`, reconnecting as needed, until the queue is closed or the
    /// link is idle or abandoned.
    pub async fn run(self, mut queue: mpsc::Receiver<Frame>) {
        let mut outage = Outage::new(self.peer.clone(), self.address, Instant::now());
        loop {
            let ended = self.run_connection(&mut queue, &mut outage).await;
            let err = match ended {
                Ok(SessionEnd::Closed | SessionEnd::Idle) => return,
                Err(err) => err,
            };
            self.stats.increment(LinkEvent::Failed);
            outage.record_failure(Instant::now(), &err);
            if self.conf.has_dynamic_peers()
                && outage.duration(Instant::now()) > UNREACHABLE_TIMEOUT
            {
                outage.log_abandoned(Instant::now());
                return;
            }
            // Frames that were queued while the link was down are out of date: the log
            // resends what is missing, and gossip is repeated.
            while queue.try_recv().is_ok() {}
            if queue.is_closed() {
                return;
            }
            sleep(reconnect_delay(&err)).await;
        }
    }

    /// Connects once and transfers frames until the connection ends.
    async fn run_connection(
        &self,
        queue: &mut mpsc::Receiver<Frame>,
        outage: &mut Outage,
    ) -> Result<SessionEnd, LinkError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| LinkError::Silent)??;
        stream.set_nodelay(true)?;
        let (client, mut connection) = timeout(CONNECT_TIMEOUT, connect(stream))
            .await
            .map_err(|_| LinkError::Silent)??;
        let pings = connection.ping_pong().ok_or(LinkError::Protocol)?;
        tokio::select! {
            ended = connection => match ended {
                Ok(()) => Err(LinkError::Ended),
                Err(err) => Err(err.into()),
            },
            alive = keep_alive(pings) => alive.map(|()| SessionEnd::Closed),
            sent = self.transfer(client, queue, outage) => sent,
        }
    }

    /// Opens the stream and transfers frames in both directions.
    async fn transfer(
        &self,
        client: SendRequest<Bytes>,
        queue: &mut mpsc::Receiver<Frame>,
        outage: &mut Outage,
    ) -> Result<SessionEnd, LinkError> {
        let (writer, reader) = with_timeout(PING_TIMEOUT, self.open(client)).await?;
        self.stats.increment(LinkEvent::Up);
        outage.record_up(Instant::now());
        tokio::select! {
            sent = self.write(writer, queue) => sent,
            read = self.read(reader) => read.map(|()| SessionEnd::Closed),
        }
    }

    /// Opens the stream, authenticates and waits for admission.
    async fn open(
        &self,
        client: SendRequest<Bytes>,
    ) -> Result<(FrameWriter, FrameReader), LinkError> {
        let request = http::Request::post("/frames")
            .header("rg-from", self.conf.me.as_str())
            .body(())
            .map_err(|_| LinkError::Protocol)?;
        let mut client = client.ready().await?;
        let (response, stream) = client.send_request(request, false)?;
        let response = response.await?;
        let context = FrameContext {
            nonce: nonce_of(&response)?,
            from: self.conf.me.clone(),
            to: self.peer.clone(),
            sequence: 0,
        };
        let key = &self.conf.key;
        let mut reader = FrameReader::new(response.into_body(), key.clone(), context.reversed());
        let mut writer = FrameWriter::new(stream, key.clone(), context);
        let class = self.conf.class;
        let introduction = crate::codec::encode(&Introduction { class });
        writer.send(&[introduction.into()]).await?;
        match crate::codec::decode::<Verdict>(&reader.next().await?)? {
            Verdict::Admitted => Ok((writer, reader)),
            Verdict::Full => Err(LinkError::Refused),
        }
    }

    async fn write(
        &self,
        mut writer: FrameWriter,
        queue: &mut mpsc::Receiver<Frame>,
    ) -> Result<SessionEnd, LinkError> {
        loop {
            let message = match timeout(IDLE_TIMEOUT, queue.recv()).await {
                Ok(Some(message)) => message,
                Ok(None) => {
                    writer.finish()?;
                    return Ok(SessionEnd::Closed);
                }
                Err(_) if self.conf.has_dynamic_peers() => {
                    // A frame that was queued in the meantime is still sent.
                    queue.close();
                    while let Some(message) = queue.recv().await {
                        writer.send(&collect_batch(message, queue)).await?;
                    }
                    writer.finish()?;
                    return Ok(SessionEnd::Idle);
                }
                Err(_) => continue,
            };
            writer.send(&collect_batch(message, queue)).await?;
        }
    }

    /// Passes the frames that come back to the sink. A replica gets none, because its peers
    /// send theirs on links that they open themselves.
    async fn read(&self, mut reader: FrameReader) -> Result<(), LinkError> {
        if self.conf.class == PeerClass::Replica {
            return std::future::pending().await;
        }
        loop {
            let frame = crate::codec::decode::<F>(&reader.next().await?)?;
            if !(self.sink)(self.peer.clone(), frame) {
                return Ok(());
            }
        }
    }
}

async fn connect(
    stream: TcpStream,
) -> Result<(SendRequest<Bytes>, client::Connection<TcpStream>), h2::Error> {
    let mut builder = client::Builder::new();
    builder.data_frame_budget(DATA_FRAME_BUDGET_BYTES);
    builder.handshake(stream).await
}

/// Returns the delay before the next connection attempt.
fn reconnect_delay(err: &LinkError) -> Duration {
    match err {
        LinkError::Refused => {
            REFUSED_RECONNECT_DELAY + REFUSED_RECONNECT_DELAY.mul_f64(rand::rng().random())
        }
        _ => RECONNECT_DELAY,
    }
}

async fn keep_alive(mut pings: h2::PingPong) -> Result<(), LinkError> {
    loop {
        sleep(PING_INTERVAL).await;
        timeout(PING_TIMEOUT, pings.ping(h2::Ping::opaque()))
            .await
            .map_err(|_| LinkError::Silent)??;
    }
}

fn nonce_of<T>(response: &http::Response<T>) -> Result<[u8; NONCE_BYTES], LinkError> {
    let text = response
        .headers()
        .get("rg-nonce")
        .and_then(|value| value.to_str().ok())
        .ok_or(LinkError::Protocol)?;
    let number = u128::from_str_radix(text, 16).map_err(|_| LinkError::Protocol)?;
    Ok(number.to_be_bytes())
}
