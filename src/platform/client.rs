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

/// Maximum size of a response body. A listing of 500 ended and 500 running tasks has about
/// 100 kB.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Default TCP user timeout, after which the kernel gives up on unacknowledged data. It is long
/// enough for a segment that is lost twice to arrive.
const DEFAULT_TCP_USER_TIMEOUT_MS: u32 = 700;
/// Part of a call's time that has to be left when it gets a connection. A request that is sent
/// later reaches the server about when its sender gives up, and nobody knows whether it was
/// executed.
const MIN_TIME_LEFT_DIVISOR: u32 = 10;
/// Number of consecutive yields without a new part of a response after which a call past its
/// deadline ends: one to poll the socket, and one each to pass on the head, the body and its
/// end.
const FINAL_YIELDS: u32 = 4;

/// Reason why a call has no response.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum ClientError {
    /// The connection could not be opened, or it failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// The server violated HTTP, or the connection failed.
    #[display("{_0}")]
    Http(hyper::Error),
    /// The response body is too large or was cut short.
    #[display("the response body is too large or was cut short")]
    #[from(skip)]
    Body,
    /// No response arrived before the deadline.
    #[display("no answer in time")]
    #[from(skip)]
    Silent,
    /// The request was not sent in time, because all connections were in use or the event loop
    /// was blocked.
    #[display("not sent in time")]
    #[from(skip)]
    NotSent,
    /// The call was ended by [`Client::abort`].
    #[display("aborted")]
    #[from(skip)]
    Aborted,
}

/// A connection. Dropping it resets the TCP connection.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Its slot among all connections.
    _place: Place,
    /// Closing it ends the task that owns the socket.
    _open: oneshot::Sender<()>,
}

/// A response, or the error together with the request if it was never sent.
type ExchangeResult = Result<(StatusCode, Bytes), (ClientError, Option<Request<Full<Bytes>>>)>;

impl Connection {
    /// Sends a request and reads its response. After `deadline` it only reads what has already
    /// arrived.
    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> ExchangeResult {
        let parts = Cell::new(0);
        let answer = async {
            let response = self.sender.try_send_request(request).await;
            let response = response.map_err(|mut err| {
                let unsent = err.take_message();
                (err.into_error().into(), unsent)
            })?;
            parts.set(1);
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_BODY_BYTES);
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
            () = deadline_passed(deadline, &parts) => Err((ClientError::Silent, None)),
        }
    }
}

/// Completes when the deadline has passed and no further part of the response is available.
///
/// An event loop that was busy or suspended until after the deadline finds the timer and the
/// response at the same time. If the call failed at once, a working connection would be reset
/// and the order sent again, which delays an overloaded loop further and makes more responses
/// late. A yield lets the runtime poll its sockets and run the tasks that they wake, so a few
/// yields find everything that has arrived. `parts` counts the received parts.
async fn deadline_passed(deadline: Instant, parts: &Cell<u32>) {
    sleep_until(deadline).await;
    let mut found = parts.get();
    let mut idle_yields = 0;
    while idle_yields < FINAL_YIELDS {
        yield_now().await;
        idle_yields = if parts.get() == found {
            idle_yields + 1
        } else {
            0
        };
        found = parts.get();
    }
}

/// HTTP/1.1 client for the platform with a pool of persistent connections.
///
/// A connection without a timely response is reset, because a middlebox may have lost its state
/// and drop everything that follows. Closing it is not enough: the kernel keeps the unsent data
/// of a closed socket and retransmits it when a network partition heals. An order then arrived
/// 5.6 s after it was sent and 4.5 s after the orders of the next leader, so that two leaders
/// took turns on one machine. A reset discards the data that has not arrived.
///
/// At the limit of all connections, a new connection replaces an idle one or waits for a slot.
/// At the limit for one address, a call waits for a connection: opening one costs more than the
/// round trip that it saves, several times over when a scheduling pass orders a dozen starts
/// from one worker.
#[derive(Debug)]
pub struct Client {
    connections_max: usize,
    /// Slots for connections to all addresses.
    places: Places,
    tcp_user_timeout_ms: u32,
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    /// Permits for calls in flight, by address.
    permits: RefCell<HashMap<SocketAddr, Rc<Semaphore>>>,
    aborted: Arc<Notify>,
}

impl Client {
    /// Returns a client with at most `connections_max` connections to one address.
    pub fn new(connections_max: usize) -> Self {
        Self::with_places(connections_max, Places::only(usize::MAX))
    }

    /// Returns a client with at most `connections_max` connections to one address, each of
    /// which takes a slot of `places`.
    pub fn with_places(connections_max: usize, places: Places) -> Self {
        Self {
            connections_max,
            places,
            tcp_user_timeout_ms: DEFAULT_TCP_USER_TIMEOUT_MS,
            idle: RefCell::default(),
            permits: RefCell::default(),
            aborted: Arc::default(),
        }
    }

    /// Sets the TCP user timeout, after which the kernel gives up on unacknowledged data.
    pub fn with_tcp_user_timeout_ms(self, tcp_user_timeout_ms: u32) -> Self {
        Self {
            tcp_user_timeout_ms,
            ..self
        }
    }

    /// Aborts all calls made so far and resets their connections. Calls that wait for a
    /// connection or were not polled yet are never sent.
    pub fn abort(&self) {
        self.aborted.notify_waiters();
    }

    /// Sends a request and reads its complete response within `limit`.
    ///
    /// The call registers for [`Self::abort`] here rather than when the future is first polled,
    /// and checks for an abort before anything is sent. A leader may send an order and step
    /// down in the same iteration of its event loop, before the future is polled. If the call
    /// registered only then, it would be sent after the abort and reach a machine after the
    /// orders of the next leader.
    ///
    /// # Errors
    /// There is no complete response. The request may have been executed nevertheless, except
    /// after [`ClientError::NotSent`].
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
                answer = client.send(address, request, limit) => answer,
            }
        }
    }

    async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let deadline = Instant::now() + limit;
        let deadline_ms = boottime_ms() + limit.as_millis() as u64;
        let permits = self.permits(address);
        let latest_turn = deadline - limit / MIN_TIME_LEFT_DIVISOR;
        let permit = timeout_at(latest_turn, permits.acquire()).await;
        let Ok(Ok(_permit)) = permit else {
            return Err(ClientError::NotSent);
        };
        loop {
            let (mut connection, reused) = match self.take_idle(address) {
                Some(connection) => (connection, true),
                None => {
                    let place = self.take_place(deadline).await?;
                    match timeout_at(deadline, connect(address, place, self.tcp_user_timeout_ms))
                        .await
                    {
                        Ok(opened) => (opened?, false),
                        Err(_) => return Err(ClientError::Silent),
                    }
                }
            };
            // An event loop that was blocked or suspended may find a free connection only after
            // the deadline. A request sent now would arrive after its sender has timed out.
            if boottime_ms() >= deadline_ms {
                self.put_idle(address, connection);
                return Err(ClientError::NotSent);
            }
            match connection.exchange(request, deadline).await {
                Ok(answer) => {
                    self.put_idle(address, connection);
                    return Ok(answer);
                }
                // The request was not sent because the reused connection had been closed.
                Err((_, Some(unsent))) if reused => request = unsent,
                Err((err, _)) => return Err(err),
            }
        }
    }

    fn permits(&self, address: SocketAddr) -> Rc<Semaphore> {
        let mut permits = self.permits.borrow_mut();
        let all = || Rc::new(Semaphore::new(self.connections_max));
        Rc::clone(permits.entry(address).or_insert_with(all))
    }

    /// Takes a slot for a new connection, closing an idle connection if none is free.
    async fn take_place(&self, deadline: Instant) -> Result<Place, ClientError> {
        if let Some(place) = self.places.try_take() {
            return Ok(place);
        }
        self.close_idle();
        timeout_at(deadline, self.places.take()).await.map_err(|_| {
            tracing::info!("client: a call was not sent because all connections are in use");
            ClientError::NotSent
        })
    }

    /// Closes one idle connection, if there is one.
    fn close_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let closed = idle.values_mut().find_map(Vec::pop);
        drop(closed);
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(|connection| !connection.sender.is_closed());
        let ready = connections.iter().rposition(|c| c.sender.is_ready())?;
        Some(connections.swap_remove(ready))
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if !connection.sender.is_closed() {
            connections.push(connection);
        }
    }
}

async fn connect(
    address: SocketAddr,
    place: Place,
    tcp_user_timeout_ms: u32,
) -> Result<Connection, ClientError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.set_zero_linger()?;
    set_tcp_user_timeout(&stream, tcp_user_timeout_ms).map_err(std::io::Error::from)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let (open, closed) = oneshot::channel();
    tokio::task::spawn_local(async move {
        tokio::select! {
            // The branch for `closed` comes first, because a connection whose call has ended
            // would otherwise shut down gracefully.
            biased;
            // Dropping the socket with the task resets the connection at once.
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
