use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::announcer;
use super::member::{Member, lock};
use super::service::{self, Scope};
use super::{Faults, RunBook, RunTimes, Spec, Step, Worker};
use crate::unix_time::unix_ms;

/// How often an instance looks at the clock for what no event announces.
const STEP_MS: u64 = 20;

/// What a host is started with.
#[derive(Debug)]
pub struct HostSettings {
    /// The instances, each with the entry instances it announces itself to.
    pub instances: Vec<(Spec, Vec<String>)>,
    /// Real run times.
    pub run_times: RunTimes,
    /// What is wrong with every instance at first.
    pub faults: Faults,
    /// Incarnation of every instance at first.
    pub incarnation: u64,
    /// How long a reboot takes, in milliseconds.
    pub reboot_ms: u64,
    /// Bytes of padding in each answer.
    pub pad_bytes: usize,
}

/// One process with several stand-in instances and one control address.
#[derive(Debug)]
pub struct Host {
    pub(super) members: Vec<Arc<Member>>,
    pub(super) runs: Mutex<RunBook>,
    pub(super) run_times: Mutex<RunTimes>,
    pub(super) pad_bytes: usize,
    reboot_ms: u64,
}

impl Host {
    /// Starts the instances and their announcers, calls `ready` with the control
    /// address once all ports are bound, and returns after every instance left.
    ///
    /// Must run on a tokio runtime. A message on `leave` makes all leave.
    ///
    /// # Errors
    /// A port or thread could not be had.
    pub async fn run(
        settings: HostSettings,
        leave: Arc<Notify>,
        ready: impl FnOnce(&Self, SocketAddr),
    ) -> io::Result<()> {
        let mut members = Vec::new();
        let mut entries = Vec::new();
        for (spec, addresses) in settings.instances {
            let worker = Worker::new(spec, settings.incarnation, settings.faults.clone());
            members.push(Arc::new(Member::new(worker)));
            entries.push(addresses);
        }
        let host = Arc::new(Self {
            members,
            runs: Mutex::default(),
            run_times: Mutex::new(settings.run_times),
            pad_bytes: settings.pad_bytes,
            reboot_ms: settings.reboot_ms,
        });

        let mut lives = JoinSet::new();
        for member in &host.members {
            let listener = host.bind(member).await?;
            lives.spawn(live(Arc::clone(&host), Arc::clone(member), listener));
        }
        for (member, addresses) in host.members.iter().zip(entries) {
            for address in addresses {
                announcer::start(member, address)?;
            }
        }
        let control = TcpListener::bind("127.0.0.1:0").await?;
        ready(&host, control.local_addr()?);
        tokio::spawn(accept_control(Arc::clone(&host), control));
        tokio::spawn(leave_all(Arc::clone(&host), leave));
        while let Some(ended) = lives.join_next().await {
            ended.map_err(io::Error::other)??;
        }
        Ok(())
    }

    /// Name and address of each instance.
    pub fn addresses(&self) -> Vec<(String, String)> {
        let one = |member: &Arc<Member>| {
            let worker = member.worker();
            (worker.spec().name.to_string(), worker.address().to_owned())
        };
        self.members.iter().map(one).collect()
    }

    /// Binds a new port, unless one is set.
    async fn bind(&self, member: &Member) -> io::Result<TcpListener> {
        let spec = member.worker().spec().clone();
        let listener = match spec.listen {
            Some(address) => TcpListener::bind(address).await?,
            None => TcpListener::bind("127.0.0.1:0").await?,
        };
        let address = spec.advertise.map_or_else(|| listener.local_addr(), Ok)?;
        member.worker().set_address(address.to_string());
        Ok(listener)
    }
}

/// One instance through all its incarnations.
async fn live(host: Arc<Host>, member: Arc<Member>, mut listener: TcpListener) -> io::Result<()> {
    loop {
        let step = serve(&host, &member, listener).await;
        member.worker().set_address(String::new());
        match step {
            Step::Leave => {
                member.end_announcers();
                return Ok(());
            }
            Step::Reboot => sleep(Duration::from_millis(host.reboot_ms)).await,
            Step::Die | Step::Stay => await_life(&member).await,
        }
        member.worker().restart(unix_ms());
        listener = host.bind(&member).await?;
        member.announce_now();
    }
}

/// Serves one incarnation. On return its port is closed and its connections,
/// with the runs on them, are gone.
async fn serve(host: &Arc<Host>, member: &Arc<Member>, listener: TcpListener) -> Step {
    let limit = member.worker().spec().connections as usize;
    let slots = Arc::new(Semaphore::new(limit.max(1)));
    let mut tasks = JoinSet::new();
    loop {
        let step = member.worker().step(unix_ms());
        if step != Step::Stay {
            return step;
        }
        tokio::select! {
            () = member.changed.notified() => {}
            () = sleep(Duration::from_millis(STEP_MS)) => {}
            Some(_) = tasks.join_next() => {}
            stream = accept(&listener, &slots) => {
                if let Some((stream, permit)) = stream {
                    let scope = Scope::Instance(Arc::clone(member));
                    let connection = answer(Arc::clone(host), scope, stream);
                    tasks.spawn(async move {
                        connection.await;
                        drop(permit);
                    });
                }
            }
        }
    }
}

/// Connections over the limit wait unaccepted, as they would at a worker whose
/// connections are all in use.
async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let permit = Arc::clone(slots).acquire_owned().await.ok()?;
    let (stream, _) = listener.accept().await.ok()?;
    Some((stream, permit))
}

async fn await_life(member: &Member) {
    while member.worker().faults().dead {
        // The timeout bounds the wait should a wake-up go to another waiter.
        let _ = timeout(Duration::from_millis(STEP_MS), member.changed.notified()).await;
    }
}

async fn leave_all(host: Arc<Host>, leave: Arc<Notify>) {
    leave.notified().await;
    for member in &host.members {
        member.leave(unix_ms());
    }
}

async fn accept_control(host: Arc<Host>, listener: TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(Arc::clone(&host), Scope::Control, stream));
        }
    }
}

async fn answer(host: Arc<Host>, scope: Scope, stream: TcpStream) {
    // Without it a small answer may wait for an acknowledgement (40 ms).
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| service::answer(&host, &scope, request));
    let served = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(e) = served {
        tracing::debug!("upstream: connection ended: {e}");
    }
}

impl Host {
    /// Records the start of a run.
    pub(super) fn start_run(&self, record: super::RunRecord) -> u64 {
        lock(&self.runs).start(record)
    }
}
