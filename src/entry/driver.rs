use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use tokio::sync::{Semaphore, watch};

use super::{Effect, Event, Node, NodeSettings, PeerFrame};
use crate::consensus::Recovered;
use crate::http::{
    Callers, HealthBoard, HttpServer, Limits, OperatorKeys, Operators, Outgoing, OutgoingError,
    Upstreams,
};
use crate::intake::Intake;
use crate::link::{Directory, LinkError, LinkLimits, Links, LinksConfig, PeerClass, PeerKey};
use crate::model::EntryName;
use crate::places::Places;
use crate::storage::{self, Disk, DiskEvent, StorageError};
use crate::unix_time::unix_ms;

/// Interval between ticks of the node: short enough for queue waits and election
/// timeouts, long enough to cost only a fraction of a percent of a core.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Events processed before the time is checked again.
const MAX_EVENTS_PER_BATCH: usize = 256;

/// Connections that each listener has for itself, and those that all of them share. Together
/// with [`REQUEST_BYTES`] they keep the memory for clients below 192 MiB.
const OWN_CONNECTIONS: usize = 256;
const SHARED_CONNECTIONS: usize = 1_280;
/// Memory for the requests of all clients, beside what their connections take.
const REQUEST_BYTES: usize = 64 << 20;

/// Error that keeps an entry instance from starting or ends it.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum DriverError {
    /// A thread or listener cannot be set up.
    #[display("{_0}")]
    Io(std::io::Error),
    /// The links to peers cannot be set up.
    #[display("{_0}")]
    Link(LinkError),
    /// Outgoing requests cannot be set up.
    #[display("{_0}")]
    Outgoing(OutgoingError),
    /// The data folder failed. Nothing that was not synced has been answered.
    #[display("{_0}")]
    Storage(StorageError),
    /// The node's thread panicked.
    #[display("the thread of the node panicked")]
    #[from(skip)]
    Panicked,
}

/// Listening sockets of an entry instance.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For upstreams.
    pub upstreams: TcpListener,
    /// For operators.
    pub operators: TcpListener,
    /// For peers.
    pub peers: TcpListener,
}

/// Everything needed to start an entry instance.
pub struct DriverSettings {
    /// Settings of the node.
    pub node: NodeSettings,
    /// Its listening sockets.
    pub listeners: Listeners,
    /// Addresses at which its peers accept links.
    pub peers: BTreeMap<EntryName, SocketAddr>,
    /// The key shared with the peers.
    pub key: PeerKey,
    /// Operators' tokens.
    pub keys: OperatorKeys,
    /// The data folder with the log state recovered from it; none for an entry instance
    /// without a vote.
    pub disk: Option<(Disk, Recovered)>,
}

/// Input of the node's thread.
enum Input {
    Event(Event),
    DiskFailed(StorageError),
}

/// A running entry instance: the node on its thread, the HTTP servers, the links and
/// the disk.
pub struct Driver {
    inputs: Sender<Input>,
    node: JoinHandle<Result<(), DriverError>>,
}

/// Requests a planned stop of a running entry instance.
pub struct Stopper(Sender<Input>);

impl Stopper {
    /// Starts a planned stop: nothing new is accepted, and what is in flight is
    /// finished.
    pub fn stop(&self) {
        // Sending fails only if the node has ended already.
        let _ = self.0.send(Input::Event(Event::Stop));
    }
}

impl Driver {
    /// Starts an entry instance.
    ///
    /// # Errors
    /// A listener or thread cannot be set up.
    pub fn start(settings: DriverSettings) -> Result<Self, DriverError> {
        let (tx, rx) = channel();
        let (disk, recovered) = match settings.disk {
            Some((disk, recovered)) => (Some(start_disk(disk, tx.clone())?), recovered),
            None => (None, Recovered::default()),
        };
        let sink = {
            let tx = tx.clone();
            Arc::new(move |event| tx.send(Input::Event(event)).is_ok())
        };
        let node = settings.node;
        let listeners = settings.listeners;
        let health = Arc::new(HealthBoard::default());
        let callers = Callers::new(sink.clone(), Arc::clone(&health));
        let upstreams = Upstreams::new(sink.clone());
        let operators = Operators::new(sink.clone(), settings.keys, Arc::clone(&health));
        let outgoing = Outgoing::new(&node.me, node.incarnation, sink.clone())?;
        let conf = LinksConfig {
            me: node.me.clone(),
            key: settings.key,
            limits: LinkLimits::for_peers(settings.peers.len()),
            places: Places::only(settings.peers.len()),
            peers: Directory::Listed(settings.peers),
            class: PeerClass::Replica,
        };
        let links = Links::start(conf, listeners.peers, move |from, frame| {
            sink(Event::Peer { from, frame })
        })?;
        let (stop_callers, callers_stopped) = watch::channel(false);
        let (stop_all, all_stopped) = watch::channel(false);
        let intakes = Intakes::new();
        let http = serve_http(vec![
            (
                intakes.server("callers", listeners.callers, callers.handler()),
                callers_stopped,
            ),
            (
                intakes.server("upstreams", listeners.upstreams, upstreams.handler()),
                all_stopped.clone(),
            ),
            (
                intakes.server("operators", listeners.operators, operators.handler()),
                all_stopped,
            ),
        ])?;
        let edges = Edges {
            callers,
            upstreams,
            operators,
            outgoing,
            links,
            health,
            disk,
            stop_callers,
            stop_all,
            http: Some(http),
        };
        let node = std::thread::Builder::new()
            .name("node".into())
            .spawn(move || run(node, recovered, &rx, edges))?;
        Ok(Self { inputs: tx, node })
    }

    /// Returns a handle that requests a planned stop.
    pub fn stopper(&self) -> Stopper {
        Stopper(self.inputs.clone())
    }

    /// Waits until the entry instance has ended.
    ///
    /// # Errors
    /// Its data folder failed or its thread panicked.
    pub fn join(self) -> Result<(), DriverError> {
        self.node.join().map_err(|_| DriverError::Panicked)?
    }
}

fn start_disk(disk: Disk, inputs: Sender<Input>) -> Result<Sender<storage::WriteJob>, DriverError> {
    let (tx, rx) = channel();
    storage::spawn(disk, rx, move |event| {
        let input = match event {
            DiskEvent::Synced(token) => Input::Event(Event::Persisted { token }),
            DiskEvent::Full(err) => {
                tracing::warn!(%err, "disk: lost, nothing is written until it has room");
                return;
            }
            DiskEvent::HasRoom => {
                tracing::info!("disk: regained, it has room again");
                return;
            }
            DiskEvent::Failed(err) => {
                tracing::error!(%err, "disk: failed, the instance stops");
                Input::DiskFailed(err)
            }
        };
        // Sending fails only if the node has ended.
        let _ = inputs.send(input);
    })?;
    Ok(tx)
}

/// The places and the account that the three listeners share.
struct Intakes {
    intake: Arc<Intake>,
    shared: Arc<Semaphore>,
}

impl Intakes {
    fn new() -> Self {
        Self {
            intake: Intake::new(REQUEST_BYTES),
            shared: Arc::new(Semaphore::new(SHARED_CONNECTIONS)),
        }
    }

    fn server(
        &self,
        name: &'static str,
        listener: TcpListener,
        handler: crate::http::Handler,
    ) -> HttpServer {
        HttpServer::new(name, listener, Limits::default(), handler)
            .with_places(Places::sharing(OWN_CONNECTIONS, &self.shared))
            .with_intake(&self.intake)
    }
}

fn serve_http(
    servers: Vec<(HttpServer, watch::Receiver<bool>)>,
) -> Result<JoinHandle<()>, DriverError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let thread = std::thread::Builder::new()
        .name("http".into())
        .spawn(move || {
            runtime.block_on(async move {
                let mut open = tokio::task::JoinSet::new();
                for (server, stop) in servers {
                    open.spawn(server.run(stop));
                }
                while open.join_next().await.is_some() {}
            });
        })?;
    Ok(thread)
}

struct Edges {
    callers: Arc<Callers>,
    upstreams: Arc<Upstreams>,
    operators: Arc<Operators>,
    outgoing: Outgoing,
    links: Links<PeerFrame>,
    health: Arc<HealthBoard>,
    disk: Option<Sender<storage::WriteJob>>,
    stop_callers: watch::Sender<bool>,
    stop_all: watch::Sender<bool>,
    http: Option<JoinHandle<()>>,
}

impl Edges {
    /// Carries out an effect; returns `true` at the end of a planned stop.
    fn execute(&self, effect: Effect) -> bool {
        match effect {
            Effect::AnswerCall { id, answer } => self.callers.answer(id, answer),
            Effect::AnswerAnnounce { id, reply } => self.upstreams.answer(id, reply),
            Effect::AnswerOperator { id, answer } => self.operators.answer(id, answer),
            Effect::Send(sending) => self.outgoing.send(sending),
            Effect::Checkpoint {
                address,
                request,
                attempt,
            } => self.outgoing.checkpoint(address, request, attempt),
            Effect::Persist { token, records } => {
                if let Some(disk) = &self.disk {
                    // If the disk thread has ended, it has reported why; see
                    // `Input::DiskFailed`.
                    let _ = disk.send(storage::WriteJob { token, records });
                }
            }
            Effect::Health(health) => self.health.show(health),
            Effect::CloseCallers => {
                self.stop_callers.send_replace(true);
            }
            Effect::Peer { to, frame } => self.links.send(&to, &frame),
            Effect::Stopped => return true,
        }
        false
    }

    fn execute_all(&self, effects: Vec<Effect>) -> bool {
        let mut stopped = false;
        for effect in effects {
            stopped |= self.execute(effect);
        }
        stopped
    }

    fn shut_down(&mut self) {
        self.stop_callers.send_replace(true);
        self.stop_all.send_replace(true);
        if let Some(http) = self.http.take() {
            // A panic of the HTTP thread was logged; there is nothing left to do.
            let _ = http.join();
        }
    }
}

fn run(
    settings: NodeSettings,
    recovered: Recovered,
    inputs: &Receiver<Input>,
    mut edges: Edges,
) -> Result<(), DriverError> {
    let start = Instant::now();
    let elapsed_ms = || u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
    let mut node = Node::new(settings, recovered, unix_ms(), elapsed_ms());
    let mut next_tick = start;
    loop {
        let wait = next_tick.saturating_duration_since(Instant::now());
        let mut input = match inputs.recv_timeout(wait) {
            Ok(input) => Some(input),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return Ok(()),
        };
        let mut taken = 0;
        while let Some(next) = input {
            let event = match next {
                Input::Event(event) => event,
                // The contents of the disk are unknown now. Continuing could break a
                // promise already given to the log, so the process ends at once.
                Input::DiskFailed(err) => return Err(err.into()),
            };
            if edges.execute_all(node.handle(elapsed_ms(), event)) {
                edges.shut_down();
                return Ok(());
            }
            taken += 1;
            input = (taken < MAX_EVENTS_PER_BATCH)
                .then(|| inputs.try_recv().ok())
                .flatten();
        }
        if Instant::now() >= next_tick {
            next_tick = Instant::now() + TICK_INTERVAL;
            if edges.execute_all(node.handle(elapsed_ms(), Event::Tick)) {
                edges.shut_down();
                return Ok(());
            }
        }
    }
}
