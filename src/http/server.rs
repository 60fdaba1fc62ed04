use std::convert::Infallible;
use std::future::Future;
use std::net::TcpListener;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http::request::Parts;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming as Body;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus::core::Collector;
use prometheus::{IntCounter, Opts};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;

use super::Limits;
use super::reply::{Reply, set, text};
use crate::places::Places;

/// A whole request.
#[derive(Debug)]
pub struct Incoming {
    /// Its head.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
}

impl Incoming {
    /// A header's text, if it is there and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }
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
    /// For logs.
    name: &'static str,
    /// Where it listens.
    listener: TcpListener,
    /// What it lets in.
    limits: Limits,
    /// What answers.
    handler: Handler,
    /// Places for connections.
    places: Places,
    /// Connections that were refused.
    refused: IntCounter,
}

/// Connections that are being told that there is no room, at once; further ones are reset.
const REFUSALS_MAX: usize = 64;
/// When a caller that found no room may come again, in seconds.
const REFUSED_RETRY_S: &str = "1";
/// How long a connection without room has for its request and answer.
const REFUSAL: Duration = Duration::from_secs(1);

impl HttpServer {
    /// A server with a name for logs and metrics. It has as many places as its limits say.
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
        Self {
            name,
            listener,
            places: Places::only(limits.connections),
            limits,
            handler,
            refused: IntCounter::with_opts(refused).expect("a plain name and label"),
        }
    }

    /// The same server with other places.
    pub fn with_places(self, places: Places) -> Self {
        Self { places, ..self }
    }

    /// What a registry takes.
    pub fn collectors(&self) -> Vec<Box<dyn Collector>> {
        vec![Box::new(self.refused.clone())]
    }

    /// Serves until `stop` turns true, then takes no more connections, lets open
    /// requests end and returns.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let Ok(listener) = self
            .listener
            .set_nonblocking(true)
            .and_then(|()| tokio::net::TcpListener::from_std(self.listener))
        else {
            tracing::error!("http: the {} listener cannot be used", self.name);
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
                Ok((stream, _)) => match self.places.try_take() {
                    Some(place) => {
                        let handler = Arc::clone(&self.handler);
                        let served = connection(stream, self.limits, handler, stop.clone());
                        open.spawn(async move {
                            served.await;
                            drop(place);
                        });
                    }
                    None => {
                        self.refused.inc();
                        tracing::info!(
                            listener = self.name,
                            "http: a connection is refused, all are taken"
                        );
                        if let Ok(permit) = Arc::clone(&refusals).try_acquire_owned() {
                            let refusal = connection(stream, self.limits, no_room(), stop.clone());
                            open.spawn(async move {
                                // It is refused either way; its caller may be too slow to hear.
                                let _ = timeout(REFUSAL, refusal).await;
                                drop(permit);
                            });
                        }
                    }
                },
                Err(err) => {
                    // Out of descriptors, most likely: going on at once would spin.
                    tracing::warn!("http: accept on {} failed: {err}", self.name);
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
            while open.try_join_next().is_some() {}
        }
        for stream in waiting(listener) {
            let handler = Arc::clone(&self.handler);
            open.spawn(connection(stream, self.limits, handler, stop.clone()));
        }
        while open.join_next().await.is_some() {}
    }
}

/// Tells a caller that there is no room for its connection.
fn no_room() -> Handler {
    Arc::new(|_| {
        Box::pin(async {
            let line = "no room for another connection; nothing was done: come again\n";
            let mut reply = text(StatusCode::SERVICE_UNAVAILABLE, line);
            set(&mut reply, "retry-after", REFUSED_RETRY_S);
            set(&mut reply, "connection", "close");
            reply
        })
    })
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
    limits: Limits,
    handler: Handler,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let begun = Arc::new(AtomicBool::new(false));
    let first = Arc::clone(&begun);
    let service = service_fn(move |request: http::Request<Body>| {
        first.store(true, Ordering::Relaxed);
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(answer(request, limits, handler).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(8192))
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    tokio::select! {
        _ = conn.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => {}
    }
    if !begun.load(Ordering::Relaxed) && timeout(FIRST_REQUEST, conn.as_mut()).await.is_ok() {
        return;
    }
    // An idle connection is closed, one with a request open ends after its
    // answer, which says `Connection: close`.
    conn.as_mut().graceful_shutdown();
    let _ = conn.await;
}

async fn answer(request: http::Request<Body>, limits: Limits, handler: Handler) -> Reply {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, limits.body_bytes).collect();
    match timeout(limits.body_timeout, body).await {
        Ok(Ok(body)) => {
            let body = body.to_bytes();
            handler(Incoming { head, body }).await
        }
        Ok(Err(_)) => text(
            StatusCode::PAYLOAD_TOO_LARGE,
            format!(
                "body: cut short or over {} bytes: send a whole, smaller one\n",
                limits.body_bytes
            ),
        ),
        Err(_) => text(
            StatusCode::REQUEST_TIMEOUT,
            "body: did not come in time: send it again\n",
        ),
    }
}
