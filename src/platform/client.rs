use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// The largest answer that is read: a listing of 500 ends and as many runs has some
/// 100 kB.
const ANSWER_LIMIT_BYTES: usize = 4 << 20;

/// Why a call has no answer.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum ClientError {
    /// No connection, or it broke.
    #[display("{_0}")]
    Io(std::io::Error),
    /// The other side does not keep to the protocol, or the connection broke.
    #[display("{_0}")]
    Http(hyper::Error),
    /// The answer is too large or was cut short.
    #[display("the answer cannot be read whole")]
    #[from(skip)]
    Body,
    /// Nothing came in time.
    #[display("no answer in time")]
    #[from(skip)]
    Silent,
}

type Sender = SendRequest<Full<Bytes>>;

/// The one client for the platform: HTTP/1.1 with connections that are kept.
///
/// A connection on which an answer did not come in time is dropped: it may be one
/// that something in between has forgotten, which swallows all that follows.
///
/// Calls to one address beyond its connections wait for one: opening a connection costs
/// more than the answer's round trip that it saves, several times over when a pass
/// orders a dozen starts of one worker.
#[derive(Debug)]
pub struct Client {
    connections_max: usize,
    idle: RefCell<HashMap<SocketAddr, Vec<Sender>>>,
    room: RefCell<HashMap<SocketAddr, Rc<Semaphore>>>,
}

impl Client {
    /// A client with at most so many connections to one address.
    pub fn new(connections_max: usize) -> Self {
        Self {
            connections_max,
            idle: RefCell::default(),
            room: RefCell::default(),
        }
    }

    /// Sends a request and reads its whole answer within `limit`.
    ///
    /// # Errors
    /// There is no whole answer; the request may have been carried out.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let exchange = self.exchange(address, request);
        match timeout(limit, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(ClientError::Silent),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let room = self.room(address);
        let _place = room.acquire().await.map_err(|_| ClientError::Silent)?;
        loop {
            let (mut sender, kept) = match self.take(address) {
                Some(sender) => (sender, true),
                None => (connect(address).await?, false),
            };
            let response = match sender.try_send_request(request).await {
                Ok(response) => response,
                Err(mut err) => match err.take_message() {
                    // It never left: the kept connection had been closed.
                    Some(unsent) if kept => {
                        request = unsent;
                        continue;
                    }
                    _ => return Err(err.into_error().into()),
                },
            };
            let status = response.status();
            let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES);
            let body = body.collect().await.map_err(|_| ClientError::Body)?;
            self.keep(address, sender);
            return Ok((status, body.to_bytes()));
        }
    }

    fn room(&self, address: SocketAddr) -> Rc<Semaphore> {
        let mut room = self.room.borrow_mut();
        let all = || Rc::new(Semaphore::new(self.connections_max));
        Rc::clone(room.entry(address).or_insert_with(all))
    }

    fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        kept.retain(|sender| !sender.is_closed());
        let ready = kept.iter().rposition(|sender| sender.is_ready())?;
        Some(kept.swap_remove(ready))
    }

    fn keep(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        if !sender.is_closed() {
            kept.push(sender);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, ClientError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(async move {
        if let Err(err) = connection.await {
            tracing::debug!(%err, "client: a connection ended");
        }
    });
    Ok(sender)
}
