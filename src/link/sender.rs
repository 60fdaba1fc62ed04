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
use super::peer_key::{NONCE_BYTES, Place};
use super::queues::Frame;
use super::receiver::{FRAME_OVERHEAD_BYTES, within};
use super::runtime::{LinksConfig, Sink};
use super::stream::{FrameReader, FrameWriter, batch};
use super::{LinkError, LinkEvent, LinkStats, PeerClass};
use crate::model::EntryName;

/// Bound on connecting: zones are about 1 ms apart.
const CONNECT: Duration = Duration::from_millis(500);
/// Pause between two tries to connect; short, so that a cut that ends is noticed
/// well before leases run out.
const RETRY: Duration = Duration::from_millis(100);
/// Longest pause after a peer has refused a link for want of room, drawn from this and
/// the same again.
const REFUSED_RETRY: Duration = Duration::from_millis(800);
/// A peer found by its address that was not reached for this long is given up; the
/// next frame for it begins anew. Else a machine that was removed would be called
/// for ever.
const GIVE_UP: Duration = Duration::from_secs(5);
/// A link that carried nothing for so long is closed if the peer was found by its
/// address; the next frame opens it again. Below what the receiver takes for silence.
const IDLE: Duration = Duration::from_secs(2);
/// How often the peer is asked for a sign of life. A connection that something
/// in between has forgotten stays open and swallows everything; only a missing
/// answer shows it.
const PING_EVERY: Duration = Duration::from_millis(300);
/// How long the answer may take before the connection is given up.
const PING_DEADLINE: Duration = Duration::from_millis(600);

/// Why a session ended in order.
enum Ended {
    /// The queue was closed.
    Closed,
    /// Nothing was sent for a while.
    Idle,
}

/// A link to one peer.
pub(super) struct Sender<F> {
    pub conf: LinksConfig,
    pub peer: EntryName,
    pub address: SocketAddr,
    pub sink: Sink<F>,
    pub stats: LinkStats,
}

impl<F: DeserializeOwned + Send + 'static> Sender<F> {
    /// Sends frames for as long as `queue` is open.
    pub async fn run(self, mut queue: mpsc::Receiver<Frame>) {
        let mut outage = Outage::new(self.peer.clone(), self.address, Instant::now());
        loop {
            let ended = self.session(&mut queue, &mut outage).await;
            let err = match ended {
                Ok(Ended::Closed | Ended::Idle) => return,
                Err(err) => err,
            };
            self.stats.count(LinkEvent::Failed);
            outage.failed(Instant::now(), &err);
            if self.conf.found_by_address() && outage.lasted(Instant::now()) > GIVE_UP {
                outage.given_up(Instant::now());
                return;
            }
            // What was queued while the link was down is old: the log sends again
            // what is missing, and gossip repeats itself.
            while queue.try_recv().is_ok() {}
            if queue.is_closed() {
                return;
            }
            sleep(pause(&err)).await;
        }
    }

    /// One connection.
    async fn session(
        &self,
        queue: &mut mpsc::Receiver<Frame>,
        outage: &mut Outage,
    ) -> Result<Ended, LinkError> {
        let stream = timeout(CONNECT, TcpStream::connect(self.address))
            .await
            .map_err(|_| LinkError::Silent)??;
        stream.set_nodelay(true)?;
        let (client, mut connection) = timeout(CONNECT, connect(stream))
            .await
            .map_err(|_| LinkError::Silent)??;
        let pings = connection.ping_pong().ok_or(LinkError::Protocol)?;
        tokio::select! {
            ended = connection => match ended {
                Ok(()) => Err(LinkError::Ended),
                Err(err) => Err(err.into()),
            },
            alive = keep_alive(pings) => alive.map(|()| Ended::Closed),
            sent = self.carry(client, queue, outage) => sent,
        }
    }

    /// Opens the stream and carries frames both ways.
    async fn carry(
        &self,
        client: SendRequest<Bytes>,
        queue: &mut mpsc::Receiver<Frame>,
        outage: &mut Outage,
    ) -> Result<Ended, LinkError> {
        let (writer, reader) = within(PING_DEADLINE, self.open(client)).await?;
        self.stats.count(LinkEvent::Up);
        outage.over(Instant::now());
        tokio::select! {
            sent = self.write(writer, queue) => sent,
            read = self.read(reader) => read.map(|()| Ended::Closed),
        }
    }

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
        let place = Place {
            nonce: nonce_of(&response)?,
            from: self.conf.me.clone(),
            to: self.peer.clone(),
            sequence: 0,
        };
        let key = &self.conf.key;
        let mut reader = FrameReader::new(response.into_body(), key.clone(), place.reversed());
        let mut writer = FrameWriter::new(stream, key.clone(), place);
        let class = self.conf.class;
        let introduction = crate::codec::encode(&Introduction { class });
        writer.send(&[introduction]).await?;
        match crate::codec::decode::<Verdict>(&reader.next().await?)? {
            Verdict::Admitted => Ok((writer, reader)),
            Verdict::Full => Err(LinkError::Refused),
        }
    }

    async fn write(
        &self,
        mut writer: FrameWriter,
        queue: &mut mpsc::Receiver<Frame>,
    ) -> Result<Ended, LinkError> {
        loop {
            let message = match timeout(IDLE, queue.recv()).await {
                Ok(Some(message)) => message,
                Ok(None) => {
                    writer.finish()?;
                    return Ok(Ended::Closed);
                }
                Err(_) if self.conf.found_by_address() => {
                    // A frame that is queued at this moment still leaves.
                    queue.close();
                    while let Some(message) = queue.recv().await {
                        writer.send(&batch(message, queue)).await?;
                    }
                    writer.finish()?;
                    return Ok(Ended::Idle);
                }
                Err(_) => continue,
            };
            writer.send(&batch(message, queue)).await?;
        }
    }

    /// Hands on what comes back. Replicas get none: theirs come by links of their own.
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
    builder.data_frame_budget(FRAME_OVERHEAD_BYTES);
    builder.handshake(stream).await
}

/// How long to wait for the next try.
fn pause(err: &LinkError) -> Duration {
    match err {
        LinkError::Refused => REFUSED_RETRY + REFUSED_RETRY.mul_f64(rand::rng().random()),
        _ => RETRY,
    }
}

async fn keep_alive(mut pings: h2::PingPong) -> Result<(), LinkError> {
    loop {
        sleep(PING_EVERY).await;
        timeout(PING_DEADLINE, pings.ping(h2::Ping::opaque()))
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
