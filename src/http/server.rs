use std::convert::Infallible;
use std::future::Future;
use std::net::TcpListener;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use hyper::body::Incoming as Body;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus::core::Collector;
use prometheus::{IntCounter, IntCounterVec, Opts};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::timeout;

use super::Limits;
use super::client_stream::ClientStream;
use super::receive::{BodyFault, no_room, receive};
use super::reply::Reply;
use crate::intake::{Client, Hold, Intake, Shortage};
use crate::places::Places;

/// A whole request.
#[derive(Debug)]
pub struct Incoming {
    /// Its head.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
    /// What it makes the process hold.
    pub hold: Hold,
}

impl Incoming {
    /// A header's text, if it is there and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        text_header(&self.head, name)
    }
}

/// A header's text, if it is there and is text.
pub fn text_header<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}

/// What answers requests. The future is dropped when the peer goes away first.
pub type Handler =
    Arc<dyn Fn(Incoming) -> Pin<Box<dyn Future<Output = Reply> + Send>> + Send + Sync>;

/// A handler that hands each request to one shared object.
pub fn handler<T, A>(
    shared: Arc<T>,
    answer: impl Fn(Arc<T>, Incoming) -> A + Send + Sync + 'static,
) -> Handler
where
    T: Send + Sync + 'static,
    A: Future<Output = Reply> + Send + 'static,
{
    Arc::new(move |incoming| Box::pin(answer(Arc::clone(&shared), incoming)))
}

/// One listener and its handler.
pub struct HttpServer {
    /// Where it listens.
    listener: TcpListener,
    /// How its connections are served.
    service: Service,
}

/// How the connections of a listener are served.
struct Service {
    /// For logs.
    name: &'static str,
    /// What it lets in.
    limits: Limits,
    /// What answers.
    handler: Handler,
    /// Places for connections.
    places: Places,
    /// What its clients make the process hold, together with those of other listeners.
    intake: Arc<Intake>,
    /// Connections that were refused.
    refused: IntCounter,
    /// Requests whose body was refused, by the reason.
    refused_bodies: IntCounterVec,
}

/// Connections that wait for a place or are being told that there is none; further ones are
/// reset.
pub const REFUSALS_MAX: usize = 32;
/// How long a connection without a place has to get one, or to send its request and take the
/// refusal.
const REFUSAL: Duration = Duration::from_secs(1);
/// How long an evicted client has to take an answer.
const EVICTION: Duration = Duration::from_millis(100);
/// Memory for requests of a server that shares no account with others.
const REQUEST_BYTES: usize = 64 << 20;
/// The kernel doubles the size that is set, for its own overhead.
const KERNEL_BUFFER_FACTOR: usize = 2;

impl HttpServer {
    /// A server with a name for logs and metrics. It has as many places as its limits say,
    /// and an account of its own.
    pub fn new(
        name: &'static str,
        listener: TcpListener,
        limits: Limits,
        handler: Handler,
    ) -> Self {
        let refused = Opts::new(
            "rosemarygauge_connections_refused_total",
            "Connections that were refused, as all were taken",
        );
        let refused = refused.const_label("listener", name);
        let refused_bodies = Opts::new(
            "rosemarygauge_bodies_refused_total",
            "Requests whose body was refused, by the reason",
        );
        let refused_bodies = refused_bodies.const_label("listener", name);
        let service = Service {
            name,
            places: Places::only(limits.connections),
            intake: Intake::new(REQUEST_BYTES),
            limits,
            handler,
            refused: IntCounter::with_opts(refused).expect("a plain name and label"),
            refused_bodies: IntCounterVec::new(refused_bodies, &["reason"])
                .expect("a plain name and label"),
        };
        Self { listener, service }
    }

    /// The same server with other places.
    pub fn with_places(mut self, places: Places) -> Self {
        self.service.places = places;
        self
    }

    /// The same server with an account that it may share with other listeners.
    pub fn with_intake(mut self, intake: &Arc<Intake>) -> Self {
        self.service.intake = Arc::clone(intake);
        self
    }

    /// What a registry takes.
    pub fn collectors(&self) -> Vec<Box<dyn Collector>> {
        vec![
            Box::new(self.service.refused.clone()),
            Box::new(self.service.refused_bodies.clone()),
        ]
    }

    /// Serves until `stop` turns true, then takes no more connections, lets open
    /// requests end and returns.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let Self { listener, service } = self;
        let service = Arc::new(service);
        let buffer_bytes = service.limits.unread_bytes / KERNEL_BUFFER_FACTOR;
        if let Err(err) = set_socket_recv_buffer_size(&listener, buffer_bytes) {
            tracing::warn!(%err, listener = service.name, "http: unread bytes are not bounded");
        }
        let Ok(listener) = listener
            .set_nonblocking(true)
            .and_then(|()| tokio::net::TcpListener::from_std(listener))
        else {
            tracing::error!("http: the {} listener cannot be used", service.name);
            return;
        };
        let refusals = Arc::new(Semaphore::new(REFUSALS_MAX));
        let mut open = tokio::task::JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.wait_for(|stop| *stop) => break,
            };
            match accepted {
                Ok((stream, _)) => match service.places.try_take() {
                    Some(place) => {
                        let client = service
                            .intake
                            .open(Instant::now(), service.name, Some(place));
                        open.spawn(connection(
                            stream,
                            client,
                            Arc::clone(&service),
                            stop.clone(),
                        ));
                    }
                    None => {
                        if let Ok(permit) = Arc::clone(&refusals).try_acquire_owned() {
                            open.spawn(late_connection(
                                stream,
                                permit,
                                Arc::clone(&service),
                                stop.clone(),
                            ));
                        } else {
                            service.count_refused_connection();
                        }
                    }
                },
                Err(err) => {
                    // Out of descriptors, most likely: going on at once would spin.
                    tracing::warn!("http: accept on {} failed: {err}", service.name);
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
            while open.try_join_next().is_some() {}
        }
        for stream in waiting(listener) {
            let client = service.intake.open(Instant::now(), service.name, None);
            open.spawn(connection(
                stream,
                client,
                Arc::clone(&service),
                stop.clone(),
            ));
        }
        while open.join_next().await.is_some() {}
    }
}

impl Service {
    fn count_refused_connection(&self) {
        self.refused.inc();
        tracing::info!(
            listener = self.name,
            "http: a connection is refused, all are taken"
        );
    }
}

/// Serves a connection for which there was no place once a stalled client has made room, or
/// tells its caller that there is none. It has a permit until it has a place.
async fn late_connection(
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    service: Arc<Service>,
    stop: watch::Receiver<bool>,
) {
    let shortage = Shortage::Places(service.name);
    let place = match service.intake.evict(Instant::now(), shortage) {
        true => timeout(REFUSAL, service.places.take()).await.ok(),
        false => None,
    };
    let is_refused = place.is_none();
    let client = service.intake.open(Instant::now(), service.name, place);
    if !is_refused {
        drop(permit);
        return connection(stream, client, service, stop).await;
    }
    client.discard();
    service.count_refused_connection();
    // It is refused either way; its caller may be too slow to hear.
    let _ = timeout(REFUSAL, connection(stream, client, service, stop)).await;
}

/// How long a connection that was taken just before a stop has for its first request,
/// which its caller sends at once: some round trips.
const FIRST_REQUEST: Duration = Duration::from_millis(100);

/// Closes a listener and returns the connections that waited to be accepted.
///
/// The system has taken them, and their requests may have been sent whole. Closing the
/// listener alone resets them, and callers cannot tell that from a lost answer; only
/// what connects between the last of these and the close, microseconds, still meets
/// that.
fn waiting(listener: tokio::net::TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    // It does not block: the first error says that nobody waits.
    let accepted = std::iter::from_fn(|| listener.accept().ok());
    accepted
        .filter_map(|(stream, _)| {
            stream.set_nonblocking(true).ok()?;
            TcpStream::from_std(stream).ok()
        })
        .collect()
}

async fn connection(
    stream: TcpStream,
    client: Arc<Client>,
    service: Arc<Service>,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let limits = service.limits;
    let stream = ClientStream::new(stream, Arc::clone(&client), limits.write_timeout);
    let begun = Arc::new(AtomicBool::new(false));
    let first = Arc::clone(&begun);
    let requests = Arc::clone(&client);
    let answers = service_fn(move |request: http::Request<Body>| {
        first.store(true, Ordering::Relaxed);
        let (service, client) = (Arc::clone(&service), Arc::clone(&requests));
        async move { Ok::<_, Infallible>(answer(request, &service, &client).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(8192))
        .serve_connection(TokioIo::new(stream), answers);
    let mut conn = std::pin::pin!(conn);
    let is_evicted = tokio::select! {
        _ = conn.as_mut() => return,
        () = client.evicted() => true,
        _ = stop.wait_for(|stop| *stop) => false,
    };
    if is_evicted {
        conn.as_mut().graceful_shutdown();
        // Its room is needed, whether it takes an answer or not.
        let _ = timeout(EVICTION, conn).await;
        return;
    }
    if !begun.load(Ordering::Relaxed) && timeout(FIRST_REQUEST, conn.as_mut()).await.is_ok() {
        return;
    }
    // An idle connection is closed, one with a request open ends after its
    // answer, which says `Connection: close`.
    conn.as_mut().graceful_shutdown();
    let _ = conn.await;
}

async fn answer(request: http::Request<Body>, service: &Service, client: &Arc<Client>) -> Reply {
    let (head, body) = request.into_parts();
    if client.discards() {
        return no_room("connection");
    }
    let mut hold = client.hold();
    let received = receive(body, &service.limits, &mut hold).await;
    let received = received.and_then(|body| match client.begin_serving() {
        true => Ok(body),
        false => Err(BodyFault::Evicted),
    });
    match received {
        Ok(body) => {
            let reply = (service.handler)(Incoming { head, body, hold }).await;
            client.end_serving(Instant::now());
            reply
        }
        Err(fault) => {
            service
                .refused_bodies
                .with_label_values(&[&fault.to_string()])
                .inc();
            tracing::info!(
                listener = service.name, %fault, held_bytes = service.intake.held_bytes(),
                "http: a request's body is refused"
            );
            client.discard();
            fault.reply(&service.limits)
        }
    }
}
