use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt::set_tcp_user_timeout;
use tokio::net::TcpStream;
use tokio::sync::{Notify, Semaphore, oneshot};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::control::boottime_ms;
use crate::places::{Place, Places};

/// The largest answer that is read: a listing of 500 ends and as many runs has some
/// 100 kB.
const ANSWER_LIMIT_BYTES: usize = 4 << 20;
/// How long the kernel keeps what the other side has not acknowledged, unless told
/// otherwise: a segment that is lost twice still arrives.
const UNACKNOWLEDGED_MS: u32 = 700;
/// Looks at the sockets in a row that find nothing more of an answer whose limit is
/// over: one for the socket, one each to hand on the head, the body and its end.
const LAST_LOOKS: u32 = 4;

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
    /// It did not leave in time: all connections were taken, or the loop was held.
    #[display("not sent in time")]
    #[from(skip)]
    NotSent,
    /// The call was thrown away.
    #[display("aborted")]
    #[from(skip)]
    Aborted,
}

/// A connection; dropping it resets it.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Its place among all.
    _place: Place,
    /// The task that owns the socket ends when this closes.
    _open: oneshot::Sender<()>,
}

/// An answer, or why there is none and the request if it never left.
type Exchanged = Result<(StatusCode, Bytes), (ClientError, Option<Request<Full<Bytes>>>)>;

impl Connection {
    /// Sends a request and reads its answer; after `due` only what is already there.
    async fn exchange(&mut self, request: Request<Full<Bytes>>, due: Instant) -> Exchanged {
        let parts = Cell::new(0);
        let answer = async {
            let response = self.sender.try_send_request(request).await;
            let response = response.map_err(|mut err| {
                let unsent = err.take_message();
                (err.into_error().into(), unsent)
            })?;
            parts.set(1);
            let (head, body) = response.into_parts();
            let body = Limited::new(body, ANSWER_LIMIT_BYTES);
            let counted = body.map_frame(|part| {
                parts.set(parts.get() + 1);
                part
            });
            let body = counted.collect().await;
            let body = body.map_err(|_| (ClientError::Body, None))?;
            Ok((head.status, body.to_bytes()))
        };
        tokio::select! {
            biased;
            answer = answer => answer,
            () = given_up(due, &parts) => Err((ClientError::Silent, None)),
        }
    }
}

/// Ends when an answer's limit is over and nothing more of it is there to be read.
///
/// A loop that was busy, or suspended, until after the limit finds the timer and the
/// answer at the same time. Given up at once, a good connection would be reset and the
/// order sent again: more work for a loop that is behind already, which makes more
/// answers late. A yield lets the runtime look at its sockets and run what they woke, so
/// some yields find all that has arrived; `parts` counts what was found.
async fn given_up(due: Instant, parts: &Cell<u32>) {
    sleep_until(due).await;
    let mut found = parts.get();
    let mut looks = 0;
    while looks < LAST_LOOKS {
        yield_now().await;
        looks = if parts.get() == found { looks + 1 } else { 0 };
        found = parts.get();
    }
}

/// The one client for the platform: HTTP/1.1 with connections that are kept.
///
/// A connection on which an answer did not come in time is reset: it may be one that
/// something in between has forgotten, which swallows all that follows. Closing it would
/// not do. What a cut holds up stays in the kernel of a socket that is closed and is sent
/// again when the cut heals: an order arrived 5.6 s after it was sent, and 4.5 s after
/// those of the next leader, so that two leaders took turns on one machine. A reset
/// throws away what has not arrived.
///
/// A connection beyond the limit of all takes the place of one that is idle, or waits.
/// Calls to one address beyond its connections wait for one: opening a connection costs
/// more than the answer's round trip that it saves, several times over when a pass
/// orders a dozen starts of one worker.
#[derive(Debug)]
pub struct Client {
    connections_max: usize,
    /// Places for connections to all addresses.
    places: Places,
    unacknowledged_ms: u32,
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    room: RefCell<HashMap<SocketAddr, Rc<Semaphore>>>,
    aborted: Arc<Notify>,
}

impl Client {
    /// A client with at most so many connections to one address.
    pub fn new(connections_max: usize) -> Self {
        Self::within(connections_max, Places::only(usize::MAX))
    }

    /// A client with at most so many connections to one address, and these places for all.
    pub fn within(connections_max: usize, places: Places) -> Self {
        Self {
            connections_max,
            places,
            unacknowledged_ms: UNACKNOWLEDGED_MS,
            idle: RefCell::default(),
            room: RefCell::default(),
            aborted: Arc::default(),
        }
    }

    /// The same client, whose kernel keeps no longer than this what is not acknowledged.
    pub fn with_unacknowledged_ms(self, unacknowledged_ms: u32) -> Self {
        Self {
            unacknowledged_ms,
            ..self
        }
    }

    /// Ends all calls that were made so far without an answer and resets their
    /// connections; those that wait for a connection, or did not run yet, never leave.
    pub fn abort(&self) {
        self.aborted.notify_waiters();
    }

    /// Sends a request and reads its whole answer within `limit`.
    ///
    /// The call is made here, not when it first runs. A leader that orders something and
    /// steps down in the same go of its loop aborts calls that have not run yet. Counted
    /// from their first run they would leave after the abort, and reach a machine after
    /// the orders of the next leader. What waits for [`Self::abort`] counts from here, and
    /// is looked at before anything leaves.
    ///
    /// # Errors
    /// There is no whole answer; the request may have been carried out.
    pub fn call(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> impl Future<Output = Result<(StatusCode, Bytes), ClientError>> + use<> {
        let aborted = Arc::clone(&self.aborted).notified_owned();
        let client = Rc::clone(self);
        async move {
            tokio::select! {
                biased;
                () = aborted => Err(ClientError::Aborted),
                answer = client.answered(address, request, limit) => answer,
            }
        }
    }

    async fn answered(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let due = Instant::now() + limit;
        let due_ms = boottime_ms() + limit.as_millis() as u64;
        let room = self.room(address);
        let place = timeout_at(due, room.acquire()).await;
        let Ok(Ok(_place)) = place else {
            return Err(ClientError::NotSent);
        };
        loop {
            let (mut connection, kept) = match self.take(address) {
                Some(connection) => (connection, true),
                None => {
                    let place = self.place(due).await?;
                    match timeout_at(due, connect(address, place, self.unacknowledged_ms)).await {
                        Ok(opened) => (opened?, false),
                        Err(_) => return Err(ClientError::Silent),
                    }
                }
            };
            // A loop that was held, or suspended, finds a free connection beside the end
            // of the limit. What left now would arrive after its sender gave it up.
            if boottime_ms() >= due_ms {
                self.keep(address, connection);
                return Err(ClientError::NotSent);
            }
            match connection.exchange(request, due).await {
                Ok(answer) => {
                    self.keep(address, connection);
                    return Ok(answer);
                }
                // It never left: the kept connection had been closed.
                Err((_, Some(unsent))) if kept => request = unsent,
                Err((err, _)) => return Err(err),
            }
        }
    }

    fn room(&self, address: SocketAddr) -> Rc<Semaphore> {
        let mut room = self.room.borrow_mut();
        let all = || Rc::new(Semaphore::new(self.connections_max));
        Rc::clone(room.entry(address).or_insert_with(all))
    }

    /// A place for one more connection.
    async fn place(&self, due: Instant) -> Result<Place, ClientError> {
        if let Some(place) = self.places.try_take() {
            return Ok(place);
        }
        self.close_idle();
        timeout_at(due, self.places.take()).await.map_err(|_| {
            tracing::info!("client: a call did not leave, all connections are taken");
            ClientError::NotSent
        })
    }

    /// Closes one idle connection, if there is one.
    fn close_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let closed = idle.values_mut().find_map(Vec::pop);
        drop(closed);
        idle.retain(|_, kept| !kept.is_empty());
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        kept.retain(|connection| !connection.sender.is_closed());
        let ready = kept.iter().rposition(|c| c.sender.is_ready())?;
        Some(kept.swap_remove(ready))
    }

    fn keep(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        if !connection.sender.is_closed() {
            kept.push(connection);
        }
    }
}

async fn connect(
    address: SocketAddr,
    place: Place,
    unacknowledged_ms: u32,
) -> Result<Connection, ClientError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.set_zero_linger()?;
    set_tcp_user_timeout(&stream, unacknowledged_ms).map_err(std::io::Error::from)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let (open, closed) = oneshot::channel();
    tokio::task::spawn_local(async move {
        tokio::select! {
            // First: left to itself, a connection whose call is over shuts down orderly.
            biased;
            // The socket goes with the task, at once and with a reset.
            _ = closed => {}
            ended = connection => if let Err(err) = ended {
                tracing::debug!(%err, "client: a connection ended");
            },
        }
    });
    Ok(Connection {
        sender,
        _place: place,
        _open: open,
    })
}
