use std::collections::BTreeMap;
use std::marker::PhantomData;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use super::{LinkError, PeerKey, receiver, sender};
use crate::model::EntryName;

/// Frames that may wait for one peer. More means that the peer does not keep up
/// or is cut off, and what is waiting is old.
const QUEUE_FRAMES: usize = 1024;

/// Who may connect, and where everyone takes links.
#[derive(Clone, Debug)]
pub enum Directory {
    /// All other entry instances and where they take links.
    Listed(BTreeMap<EntryName, SocketAddr>),
    /// Everyone's name is its IP address; all take links at this port.
    ByAddress {
        /// The port.
        port: u16,
    },
}

impl Directory {
    /// Where a peer takes links.
    fn address(&self, peer: &EntryName) -> Option<SocketAddr> {
        match self {
            Self::Listed(peers) => peers.get(peer).copied(),
            Self::ByAddress { port } => Some((peer.as_str().parse::<IpAddr>().ok()?, *port).into()),
        }
    }
}

/// What links need to know.
#[derive(Clone, Debug)]
pub struct LinksConfig {
    /// This entry instance.
    pub me: EntryName,
    /// The shared key.
    pub key: PeerKey,
    /// The others.
    pub peers: Directory,
}

impl LinksConfig {
    /// The peer that a header names, if there may be such a peer.
    pub(super) fn member(&self, header: Option<&http::HeaderValue>) -> Option<EntryName> {
        let name = EntryName::from(header?.to_str().ok()?);
        self.peers.address(&name).is_some().then_some(name)
    }

    /// Whether a peer that cannot be reached is given up after a while; one that is
    /// listed never is.
    pub(super) fn gives_up(&self) -> bool {
        matches!(self.peers, Directory::ByAddress { .. })
    }
}

/// The links to and from all peers, in a thread of their own.
///
/// Dropping it closes the queues and ends the thread.
#[derive(Debug)]
pub struct Links<F> {
    conf: LinksConfig,
    queues: Mutex<BTreeMap<EntryName, mpsc::Sender<Vec<u8>>>>,
    runtime: Handle,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    frames: PhantomData<fn(F)>,
}

impl<F: Serialize + DeserializeOwned + Send + 'static> Links<F> {
    /// Starts the links. `sink` gets every proved frame and returns `false` when
    /// it wants no more.
    ///
    /// # Errors
    /// The listener or the thread cannot be set up.
    pub fn start(
        conf: LinksConfig,
        listener: TcpListener,
        sink: impl Fn(EntryName, F) -> bool + Send + Sync + 'static,
    ) -> Result<Self, LinkError> {
        listener.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        let receiving = conf.clone();
        let thread = std::thread::Builder::new()
            .name("links".into())
            .spawn(move || {
                runtime.block_on(async move {
                    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
                        tracing::error!("link: listener cannot be used");
                        return;
                    };
                    tokio::select! {
                        () = receiver::run(receiving, listener, Arc::new(sink)) => {}
                        _ = stopped => {}
                    }
                });
            })?;
        let links = Self {
            conf,
            queues: Mutex::default(),
            runtime: handle,
            stop: Some(stop),
            thread: Some(thread),
            frames: PhantomData,
        };
        if let Directory::Listed(peers) = &links.conf.peers {
            let mut queues = links.queues();
            for peer in peers.keys() {
                links.open(&mut queues, peer);
            }
        }
        Ok(links)
    }

    /// Queues a frame; it is lost if the peer's queue is full.
    pub fn send(&self, to: &EntryName, frame: &F) {
        let mut queues = self.queues();
        if queues.get(to).is_none_or(mpsc::Sender::is_closed) {
            self.open(&mut queues, to);
        }
        if let Some(queue) = queues.get(to)
            && queue.try_send(crate::codec::encode(frame)).is_err()
        {
            tracing::debug!("link: queue to {to} is full, a frame is dropped");
        }
    }

    /// Begins a link to a peer whose address is known.
    fn open(&self, queues: &mut BTreeMap<EntryName, mpsc::Sender<Vec<u8>>>, peer: &EntryName) {
        let Some(address) = self.conf.peers.address(peer) else {
            return;
        };
        let (tx, rx) = mpsc::channel(QUEUE_FRAMES);
        queues.insert(peer.clone(), tx);
        let sending = sender::run(self.conf.clone(), peer.clone(), address, rx);
        self.runtime.spawn(sending);
    }
}

impl<F> Links<F> {
    /// A panic elsewhere leaves the map whole: each change is one step.
    fn queues(&self) -> MutexGuard<'_, BTreeMap<EntryName, mpsc::Sender<Vec<u8>>>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<F> Drop for Links<F> {
    fn drop(&mut self) {
        self.queues().clear();
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            // The thread only ends with the queues; a panic in it was logged.
            let _ = thread.join();
        }
    }
}
