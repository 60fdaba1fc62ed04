use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::watch;

use super::{Effect, Event, Node, NodeSettings};
use crate::consensus::Recovered;
use crate::http::{
    Callers, HealthBoard, HttpServer, Limits, OperatorKeys, Operators, Outgoing, OutgoingError,
    Upstreams,
};
use crate::link::{LinkError, Links, LinksConfig, PeerKey};
use crate::model::EntryName;

/// How often time is fed to the node. Fine enough for queue waits and election
/// timeouts, coarse enough to cost a fraction of a percent of a core.
const TICK: Duration = Duration::from_millis(20);
/// Events taken in one go before time is looked at again.
const BATCH: usize = 256;

/// What can go wrong when an entry instance is set up.
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
}

/// Where an entry instance listens.
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

/// Everything an entry instance is started with.
pub struct DriverSettings {
    /// For the node.
    pub node: NodeSettings,
    /// Where it listens.
    pub listeners: Listeners,
    /// Where its peers take links.
    pub peers: BTreeMap<EntryName, SocketAddr>,
    /// The key shared with the peers.
    pub key: PeerKey,
    /// Operators' tokens.
    pub keys: OperatorKeys,
    /// The data folder and what it remembers; none for one without a vote.
    pub disk: Option<Recovered>,
}

/// A running entry instance: the node, its clock and its edges.
pub struct Driver {
    events: Sender<Event>,
    node: Option<JoinHandle<()>>,
}

impl Driver {
    /// Starts an entry instance.
    ///
    /// # Errors
    /// A listener or thread cannot be set up.
    pub fn start(
        settings: DriverSettings,
    ) -> Result<Self, DriverError> {
        let DriverSettings {
            node: settings,
            listeners,
            peers,
            key,
            keys,
            disk,
        } = settings;
        let (tx, rx) = channel();
        let sink = {
            let tx = tx.clone();
            Arc::new(move |event| tx.send(event).is_ok())
        };
        let health = Arc::new(HealthBoard::default());
        let callers = Callers::new(sink.clone(), Arc::clone(&health));
        let upstreams = Upstreams::new(sink.clone());
        let operators = Operators::new(sink.clone(), keys, Arc::clone(&health));
        let outgoing = Outgoing::new(&settings.me, settings.incarnation, sink.clone())?;
        let conf = LinksConfig {
            me: settings.me.clone(),
            key,
            peers,
        };
        let links = Links::start(conf, listeners.peers, move |from, frame| {
            sink(Event::Peer { from, frame })
        })?;
        let recovered = disk.unwrap_or_default();
        let (stop, stopped) = watch::channel(false);
        let servers = [
            ("callers", listeners.callers, callers.handler()),
            ("upstreams", listeners.upstreams, upstreams.handler()),
            ("operators", listeners.operators, operators.handler()),
        ]
        .map(|(name, listener, handler)| HttpServer {
            name,
            listener,
            limits: Limits::default(),
            handler,
        });
        let http = serve_http(servers, stopped)?;
        let edges = Edges {
            callers,
            upstreams,
            operators,
            outgoing,
            links,
            health,
            events: tx.clone(),
            stop,
            http: Some(http),
        };
        let node = std::thread::Builder::new()
            .name("node".into())
            .spawn(move || run(settings, recovered, &rx, edges))?;
        Ok(Self {
            events: tx,
            node: Some(node),
        })
    }

    /// Begins a planned stop: nothing new is taken, what is in flight ends.
    pub fn stop(&self) {
        // The node has ended already if nobody takes the event.
        let _ = self.events.send(Event::Stop);
    }

    /// Waits for the end of a planned stop.
    pub fn join(mut self) {
        if let Some(node) = self.node.take() {
            let _ = node.join();
        }
    }
}

struct Edges {
    callers: Arc<Callers>,
    upstreams: Arc<Upstreams>,
    operators: Arc<Operators>,
    outgoing: Outgoing,
    links: Links,
    health: Arc<HealthBoard>,
    events: Sender<Event>,
    stop: watch::Sender<bool>,
    http: Option<JoinHandle<()>>,
}

impl Edges {
    /// Carries out an effect; `true` at the end of a planned stop.
    fn carry_out(&self, effect: Effect) -> bool {
        match effect {
            Effect::AnswerCall { id, answer } => self.callers.answer(id, answer),
            Effect::AnswerAnnounce { id, reply } => self.upstreams.answer(id, reply),
            Effect::AnswerOperator { id, answer } => self.operators.answer(id, answer),
            Effect::Send(sending) => self.outgoing.send(sending),
            Effect::Persist { token, .. } => drop(self.events.send(Event::Persisted { token })),
            Effect::Health(health) => self.health.show(health),
            Effect::CloseCallers => {}
            Effect::Peer { to, frame } => self.links.send(&to, &frame),
            Effect::Stopped => return true,
        }
        false
    }
}

fn serve_http(
    servers: [HttpServer; 3],
    stop: watch::Receiver<bool>,
) -> Result<JoinHandle<()>, DriverError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let thread = std::thread::Builder::new()
        .name("http".into())
        .spawn(move || {
            runtime.block_on(async move {
                let mut open = tokio::task::JoinSet::new();
                for server in servers {
                    open.spawn(server.run(stop.clone()));
                }
                while open.join_next().await.is_some() {}
            });
        })?;
    Ok(thread)
}

fn run(settings: NodeSettings, recovered: Recovered, events: &Receiver<Event>, mut edges: Edges) {
    let start = Instant::now();
    let since_ms = || u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
    let unix_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX));
    let mut node = Node::new(settings, recovered, unix_ms, since_ms());
    let mut next_tick = start;
    loop {
        let wait = next_tick.saturating_duration_since(Instant::now());
        let mut event = match events.recv_timeout(wait) {
            Ok(event) => Some(event),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let mut taken = 0;
        while let Some(next) = event {
            if finish(&edges, node.handle(since_ms(), next)) {
                shut_down(&mut edges);
                return;
            }
            taken += 1;
            event = (taken < BATCH).then(|| events.try_recv().ok()).flatten();
        }
        if Instant::now() >= next_tick {
            next_tick = Instant::now() + TICK;
            if finish(&edges, node.handle(since_ms(), Event::Tick)) {
                shut_down(&mut edges);
                return;
            }
        }
    }
}

fn finish(edges: &Edges, effects: Vec<Effect>) -> bool {
    let mut stopped = false;
    for effect in effects {
        stopped |= edges.carry_out(effect);
    }
    stopped
}

fn shut_down(edges: &mut Edges) {
    let _ = edges.stop.send(true);
    if let Some(http) = edges.http.take() {
        let _ = http.join();
    }
}
