use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use h2::client::SendRequest;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::frame::seal;
use super::peer_key::{NONCE_BYTES, Place};
use super::runtime::LinksConfig;
use super::{LinkError, PeerKey};
use crate::model::EntryName;

/// Bound on connecting: zones are about 1 ms apart.
const CONNECT: Duration = Duration::from_millis(500);
/// Pause between two tries to connect; short, so that a cut that ends is noticed
/// well before leases run out.
const RETRY: Duration = Duration::from_millis(100);
/// A peer found by its address that was not reached for this long is given up; the
/// next frame for it begins anew. Else a machine that was removed would be called
/// for ever.
const GIVE_UP: Duration = Duration::from_secs(5);
/// How often the peer is asked for a sign of life. A connection that something
/// in between has forgotten stays open and swallows everything; only a missing
/// answer shows it.
const PING_EVERY: Duration = Duration::from_millis(300);
/// How long the answer may take before the connection is given up.
const PING_DEADLINE: Duration = Duration::from_millis(600);

/// Sends frames to one peer for as long as `queue` is open.
pub async fn run(
    conf: LinksConfig,
    peer: EntryName,
    address: SocketAddr,
    mut queue: mpsc::Receiver<Vec<u8>>,
) {
    let mut up = Instant::now();
    loop {
        let began = Instant::now();
        match session(&conf, &peer, address, &mut queue).await {
            Ok(()) => return,
            Err(err) => tracing::debug!("link: to {peer} ended: {err}"),
        }
        if began.elapsed() > GIVE_UP {
            up = Instant::now();
        }
        if conf.gives_up() && up.elapsed() > GIVE_UP {
            tracing::info!(%peer, "link: given up until there is something to send");
            return;
        }
        // What was queued while the link was down is old: the log sends again
        // what is missing, and gossip repeats itself.
        while queue.try_recv().is_ok() {}
        if queue.is_closed() {
            return;
        }
        tokio::time::sleep(RETRY).await;
    }
}

/// One connection. `Ok` when the queue was closed.
async fn session(
    conf: &LinksConfig,
    peer: &EntryName,
    address: SocketAddr,
    queue: &mut mpsc::Receiver<Vec<u8>>,
) -> Result<(), LinkError> {
    let stream = timeout(CONNECT, TcpStream::connect(address))
        .await
        .map_err(|_| LinkError::Silent)??;
    stream.set_nodelay(true)?;
    let (client, mut connection) = timeout(CONNECT, h2::client::handshake(stream))
        .await
        .map_err(|_| LinkError::Silent)??;
    let pings = connection.ping_pong().ok_or(LinkError::Protocol)?;
    tokio::select! {
        ended = connection => match ended {
            Ok(()) => Err(LinkError::Ended),
            Err(err) => Err(err.into()),
        },
        alive = keep_alive(pings) => alive,
        sent = frames(client, &conf.key, &conf.me, peer, queue) => sent,
    }
}

async fn keep_alive(mut pings: h2::PingPong) -> Result<(), LinkError> {
    loop {
        tokio::time::sleep(PING_EVERY).await;
        timeout(PING_DEADLINE, pings.ping(h2::Ping::opaque()))
            .await
            .map_err(|_| LinkError::Silent)??;
    }
}

async fn frames(
    client: SendRequest<Bytes>,
    key: &PeerKey,
    me: &EntryName,
    peer: &EntryName,
    queue: &mut mpsc::Receiver<Vec<u8>>,
) -> Result<(), LinkError> {
    let request = http::Request::post("/frames")
        .header("rg-from", me.as_str())
        .body(())
        .map_err(|_| LinkError::Protocol)?;
    let mut client = client.ready().await?;
    let (response, mut stream) = client.send_request(request, false)?;
    let response = timeout(PING_DEADLINE, response)
        .await
        .map_err(|_| LinkError::Silent)??;
    let mut place = Place {
        nonce: nonce_of(&response)?,
        from: me.clone(),
        to: peer.clone(),
        sequence: 0,
    };
    tracing::debug!("link: to {peer} is up");
    while let Some(payload) = queue.recv().await {
        let frame = seal(key, &place, &payload)?;
        place.sequence += 1;
        send_all(&mut stream, frame).await?;
    }
    stream.send_data(Bytes::new(), true)?;
    Ok(())
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

async fn send_all(stream: &mut h2::SendStream<Bytes>, mut data: Bytes) -> Result<(), LinkError> {
    while !data.is_empty() {
        stream.reserve_capacity(data.len());
        let granted = std::future::poll_fn(|cx| stream.poll_capacity(cx))
            .await
            .ok_or(LinkError::Ended)??;
        let part = data.split_to(granted.min(data.len()));
        stream.send_data(part, false)?;
    }
    Ok(())
}
