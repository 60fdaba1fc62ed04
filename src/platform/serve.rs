//! Sets up and runs an instance on the platform's machines.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use http::StatusCode;
use tokio::runtime::LocalOptions;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::watch;
use tokio::task::spawn_local;

use super::settings_fault::join_lines;
use super::status_page::status_page;
use super::{CaughtSignals, ControlCalls, EntryCalls, Platform, Settings, SettingsFault};
use crate::control::{
    self, CallBridge, ConnectionBudget, ConnectionPermits, Driver, Gateway, Node, NodeSettings,
    PeerMessage, Policy, PolicyFault, Signal, WallClock, boottime_ms,
};
use crate::http::{Handler, HttpServer, Limits, text};
use crate::intake::Intake;
use crate::link::{Directory, LinkError, Links, LinksConfig, PeerClass, PeerKey};
use crate::model::EntryName;
use crate::places::Places;
use crate::storage::{self, Disk, DiskEvent, StorageError};

/// Key of the links. The platform provides no secret that only instances share, so the key
/// merely distinguishes this protocol from others that connect to its port.
const LINK_KEY: &[u8] = b"rosemarygauge links, version 1";
/// Maximum size of a request body at a control instance. A report has at most 4 MiB, a
/// configuration less.
const MAX_CONTROL_BODY_BYTES: usize = 4 << 20;
/// Memory for calls that peers forwarded and that wait for the event loop.
const FORWARDED_CALL_BYTES: usize = 16 << 20;
/// Port of the metrics endpoint. It has to match the deploy file.
const METRICS_PORT: u16 = 9_464;
/// Path beside the metrics at which a control instance tells where the voters are.
const STATUS_PATH: &str = "/status";
/// Time for which an idle connection is kept open, as agreed with the callers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time at the end of a planned stop in which answers in flight are sent.
const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// Error that ends an instance.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum ServeError {
    /// The settings are invalid. Holds all faults.
    #[display("{}", join_lines(_0))]
    #[error(ignore)]
    #[from(skip)]
    Settings(Vec<SettingsFault>),
    /// The policy is invalid. Holds all faults.
    #[display("{}", join_lines(_0))]
    #[error(ignore)]
    #[from(skip)]
    Policy(Vec<PolicyFault>),
    /// A listener cannot be bound to its address.
    #[display(
        "{setting}: cannot listen on {address} ({source}); \
         give an address of this machine, or end the process that uses it"
    )]
    #[from(skip)]
    Listen {
        /// Field of the settings that names the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// Error of the system.
        source: std::io::Error,
    },
    /// A thread or runtime cannot be set up.
    #[display("{_0}")]
    Io(std::io::Error),
    /// The links cannot be set up.
    #[display("{_0}")]
    Link(LinkError),
    /// The data folder cannot be opened or written.
    #[display("{_0}")]
    Storage(StorageError),
}

struct PeerLinks(Links<PeerMessage>);

impl control::Links for PeerLinks {
    fn send(&self, to: &EntryName, message: &PeerMessage) {
        self.0.send(to, message);
    }
}

/// Runs a control instance until its planned stop.
///
/// # Errors
/// The instance cannot be set up, or its data folder fails.
pub fn serve_control(
    settings: Settings,
    policy: Policy,
    caught: CaughtSignals,
) -> Result<(), ServeError> {
    let folder = settings.data_folder.clone();
    let folder = folder.ok_or_else(|| missing("data_dir", "the folder of a control instance"))?;
    let control = settings
        .control
        .ok_or_else(|| missing("listen.control", "an address IP:PORT"))?;
    let (disk, recovered) = Disk::open(&folder)?;
    let (signals, received_signals) = unbounded_channel();
    let disk = start_disk(disk, signals.clone())?;
    let budget = ConnectionBudget::control(settings.grant);
    let places = budget.places();
    let links = start_links(&settings, PeerClass::Replica, &places, signals.clone())?;
    let (bridge, calls) = CallBridge::new(rand::random::<u64>() >> 1);
    bridge.metrics().register(links.0.stats().collectors());
    let node = NodeSettings {
        me: settings.me(),
        seeds: settings.seed_names(),
        first_start: settings.first_start,
        location: settings.location.clone(),
        tolerance: settings.tolerance,
        machine_orders_per_s: settings.machine_orders_per_s,
        timing: settings.timing,
        policy,
        seed: rand::random(),
    };
    let wall = WallClock::default();
    wall.set_offset_ms(settings.clock_offset_ms);
    let node = Node::new(node, recovered, wall.unix_ms(), boottime_ms())
        .with_job_limit(settings.grant.job_bytes());
    let outside = Rc::new(Platform::new(&settings, places.workers));
    let handler = ControlCalls::new(Arc::clone(&bridge), settings.clone()).handler();
    caught.forward(signals, wall.clone())?;
    run(async move {
        let (stop, stopped) = watch::channel(false);
        let limits = Limits {
            body_bytes: MAX_CONTROL_BODY_BYTES,
            unread_bytes: budget.unread_bytes,
            head_timeout: IDLE_TIMEOUT,
            ..Limits::default()
        };
        let listener = listen("listen.control", settings.bind_address(control))?;
        let server = HttpServer::new("control", listener, limits, handler);
        let server = server
            .with_places(places.callers)
            .with_intake(&places.intake);
        bridge.metrics().register(server.collectors());
        let server = spawn_local(server.run(stopped.clone()));
        serve_metrics(
            &settings,
            &bridge,
            limits,
            &places.metrics,
            &places.intake,
            stopped.clone(),
        );
        tracing::info!(%control, ?budget, grant = ?settings.grant, "serve: a control instance is up");
        let driver = Driver::new(bridge, calls, received_signals, links);
        driver.run_control(node, disk, outside, wall).await?;
        stop.send_replace(true);
        let _ = tokio::time::timeout(FINAL_FLUSH_TIMEOUT, server).await;
        Ok(())
    })
}

/// Runs an entry instance until its planned stop.
///
/// # Errors
/// The instance cannot be set up.
pub fn serve_entry(settings: Settings, caught: CaughtSignals) -> Result<(), ServeError> {
    let wanted = "an address IP:PORT";
    let front = settings
        .front
        .ok_or_else(|| missing("listen.front", wanted))?;
    let ready = settings
        .ready
        .ok_or_else(|| missing("listen.ready", wanted))?;
    let (signals, received_signals) = unbounded_channel();
    let budget = ConnectionBudget::entry(settings.grant);
    let places = budget.places();
    let links = start_links(&settings, PeerClass::Client, &places, signals.clone())?;
    let (bridge, calls) = CallBridge::new(rand::random::<u64>() >> 1);
    bridge.metrics().register(links.0.stats().collectors());
    let gateway = Gateway::new(settings.seed_names(), rand::random::<u16>().into());
    let grace_ms = settings.timing.grace_ms;
    caught.forward(signals, WallClock::default())?;
    run(async move {
        let (stop, stopped) = watch::channel(false);
        let limits = Limits {
            unread_bytes: budget.unread_bytes,
            head_timeout: IDLE_TIMEOUT,
            ..Limits::default()
        };
        let callers = EntryCalls::new(Arc::clone(&bridge)).handler();
        let health = health(Arc::clone(&bridge));
        let listener = listen("listen.front", settings.bind_address(front))?;
        let callers = HttpServer::new("callers", listener, limits, callers);
        let callers = callers
            .with_places(places.callers)
            .with_intake(&places.intake);
        bridge.metrics().register(callers.collectors());
        let callers = spawn_local(callers.run(stopped.clone()));
        let listener = listen("listen.ready", settings.bind_address(ready))?;
        let health = HttpServer::new("health", listener, limits.without_bodies(), health);
        let health = health
            .with_places(places.health)
            .with_intake(&places.intake);
        bridge.metrics().register(health.collectors());
        spawn_local(health.run(stopped.clone()));
        serve_metrics(
            &settings,
            &bridge,
            limits,
            &places.metrics,
            &places.intake,
            stopped.clone(),
        );
        tracing::info!(%front, ?budget, grant = ?settings.grant, "serve: an entry instance is up");
        let driver = Driver::new(bridge, calls, received_signals, links);
        driver.run_entry(gateway, grace_ms).await;
        stop.send_replace(true);
        let _ = tokio::time::timeout(FINAL_FLUSH_TIMEOUT, callers).await;
        Ok(())
    })
}

/// Runs an instance's work on the current thread.
///
/// The work is spawned as a task. Waking the future passed to `block_on`, or a `LocalSet` in
/// it, goes through a file descriptor, which costs a write and another poll of the sockets for
/// every event. Waking a spawned task from the runtime's own thread costs neither.
fn run(work: impl Future<Output = Result<(), ServeError>> + 'static) -> Result<(), ServeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())?;
    let ended = runtime.block_on(async { spawn_local(work).await });
    tracing::info!("serve: stopped");
    // The task is never cancelled, so a join error is a panic, which is propagated.
    ended.unwrap_or_else(|err| std::panic::resume_unwind(err.into_panic()))
}

fn missing(field: &str, wanted: &'static str) -> ServeError {
    ServeError::Settings(vec![SettingsFault::Missing {
        field: field.to_owned(),
        wanted,
    }])
}

fn listen(setting: &'static str, address: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(address).map_err(|source| ServeError::Listen {
        setting,
        address,
        source,
    })
}

fn health(bridge: Arc<CallBridge>) -> Handler {
    Arc::new(move |_| {
        let ready = bridge.listener_status().ready;
        Box::pin(async move {
            match ready {
                true => text(StatusCode::OK, "ready\n"),
                false => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            }
        })
    })
}

/// Serves the metrics at [`METRICS_PORT`]. If the port is in use, the instance runs without
/// metrics.
fn serve_metrics(
    settings: &Settings,
    bridge: &Arc<CallBridge>,
    limits: Limits,
    places: &Places,
    intake: &Arc<Intake>,
    stopped: watch::Receiver<bool>,
) {
    let address = settings.bind_address((settings.ip, METRICS_PORT).into());
    let listener = match listen("metrics", address) {
        Ok(listener) => listener,
        Err(err) => {
            tracing::warn!(%err, "serve: cannot listen for metrics, continuing without them");
            return;
        }
    };
    let metrics = Arc::clone(bridge);
    let handler: Handler = Arc::new(move |incoming| {
        let reply = match incoming.head.uri.path() {
            STATUS_PATH => status_page(&metrics),
            _ => text(StatusCode::OK, metrics.metrics().text(metrics.waiting())),
        };
        Box::pin(async move { reply })
    });
    let server = HttpServer::new("metrics", listener, limits.without_bodies(), handler);
    let server = server.with_places(places.clone()).with_intake(intake);
    bridge.metrics().register(server.collectors());
    spawn_local(server.run(stopped));
}

fn start_links(
    settings: &Settings,
    class: PeerClass,
    places: &ConnectionPermits,
    signals: UnboundedSender<Signal>,
) -> Result<PeerLinks, ServeError> {
    let conf = LinksConfig {
        me: settings.me(),
        key: PeerKey::from(LINK_KEY.to_vec()),
        peers: Directory::ByAddress {
            port: settings.link_port,
        },
        class,
        limits: places.limits,
        places: places.incoming.clone(),
    };
    let address = settings.bind_address((settings.ip, settings.link_port).into());
    let listener = listen("port_range", address)?;
    let forwarded = Intake::new(FORWARDED_CALL_BYTES).open(Instant::now(), "links", None);
    let links = Links::start(conf, listener, move |from, message| {
        let PeerMessage::Call { id, call } = message else {
            return signals.send(Signal::Peer(from, message)).is_ok();
        };
        let mut hold = forwarded.hold();
        if !hold.resize(call.memory_bytes()) {
            // The peer sends it again, and ends it as unknown after its caller's time.
            tracing::warn!(%from, id, "links: a call is dropped, too many wait for the loop");
            return true;
        }
        let call = Signal::Call {
            from,
            id,
            call,
            hold,
        };
        signals.send(call).is_ok()
    })?;
    Ok(PeerLinks(links))
}

fn start_disk(
    disk: Disk,
    signals: UnboundedSender<Signal>,
) -> Result<mpsc::Sender<storage::WriteJob>, ServeError> {
    let (tx, rx) = mpsc::channel();
    storage::spawn(disk, rx, move |event| {
        let signal = match event {
            DiskEvent::Synced(token) => Signal::Persisted(token),
            DiskEvent::Full(err) => Signal::DiskFull(err),
            DiskEvent::HasRoom => Signal::DiskHasRoom,
            DiskEvent::Failed(err) => Signal::DiskFailed(err),
        };
        // Sending fails only after the event loop has ended.
        let _ = signals.send(signal);
    })?;
    Ok(tx)
}
