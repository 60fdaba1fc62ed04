use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::LinkError;
use super::frame::Opener;
use super::peer_key::Place;
use super::runtime::LinksConfig;
use crate::model::EntryName;

/// How long a connection may be silent: the sender pings about three times in
/// this time, and gossips more often.
const SILENCE: Duration = Duration::from_secs(3);
/// Connections at once. Each peer needs one and may leave a forgotten one behind
/// until it falls silent for [`SILENCE`].
const CONNECTIONS_MAX: usize = 64;

/// Hands frames from all peers to `sink` until it says that it is closed.
pub async fn run<F: DeserializeOwned + Send + 'static>(
    conf: LinksConfig,
    listener: TcpListener,
    sink: Arc<dyn Fn(EntryName, F) -> bool + Send + Sync>,
) {
    let room = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        let Ok(permit) = Arc::clone(&room).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                tracing::warn!("link: accept failed: {err}");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let (conf, sink) = (conf.clone(), Arc::clone(&sink));
        tokio::spawn(async move {
            if let Err(err) = session(conf, stream, sink).await {
                tracing::debug!("link: incoming ended: {err}");
            }
            drop(permit);
        });
    }
}

async fn session<F: DeserializeOwned>(
    conf: LinksConfig,
    stream: TcpStream,
    sink: Arc<dyn Fn(EntryName, F) -> bool + Send + Sync>,
) -> Result<(), LinkError> {
    stream.set_nodelay(true)?;
    let mut connection = timeout(SILENCE, h2::server::handshake(stream))
        .await
        .map_err(|_| LinkError::Silent)??;
    let accepted = timeout(SILENCE, connection.accept())
        .await
        .map_err(|_| LinkError::Silent)?;
    let (request, mut respond) = accepted.ok_or(LinkError::Ended)??;
    let from = conf
        .member(request.headers().get("rg-from"))
        .ok_or(LinkError::Unproved)?;
    let nonce: u128 = rand::random();
    let response = http::Response::builder()
        .header("rg-nonce", format!("{nonce:032x}"))
        .body(())
        .map_err(|_| LinkError::Protocol)?;
    let _open = respond.send_response(response, false)?;
    let place = Place {
        nonce: nonce.to_be_bytes(),
        from: from.clone(),
        to: conf.me.clone(),
        sequence: 0,
    };
    let opener = Opener::new(conf.key.clone(), place);
    let body = request.into_body();
    tokio::select! {
        // Drives the connection; no second stream is ever taken.
        _ = async { while let Some(Ok(_)) = connection.accept().await {} } => Err(LinkError::Ended),
        read = read_frames(from, body, opener, sink) => read,
    }
}

async fn read_frames<F: DeserializeOwned>(
    from: EntryName,
    mut body: h2::RecvStream,
    mut opener: Opener,
    sink: Arc<dyn Fn(EntryName, F) -> bool + Send + Sync>,
) -> Result<(), LinkError> {
    loop {
        let data: Bytes = timeout(SILENCE, body.data())
            .await
            .map_err(|_| LinkError::Silent)?
            .ok_or(LinkError::Ended)??;
        opener.push(&data);
        body.flow_control().release_capacity(data.len())?;
        while let Some(payload) = opener.next()? {
            let frame = crate::codec::decode::<F>(&payload)?;
            if !sink(from.clone(), frame) {
                return Ok(());
            }
        }
    }
}
