use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

use super::queues::{Queued, Queues};
use super::receiver::Receiver;
use super::sender::Sender;
use super::{LinkError, LinkEvent, LinkLimits, LinkStats, PeerClass, PeerKey};
use crate::model::EntryName;
use crate::places::Places;

/// Takes proved frames; `false` when it wants no more.
pub(super) type Sink<F> = Arc<dyn Fn(EntryName, F) -> bool + Send + Sync>;

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
    /// What this instance takes part in.
    pub class: PeerClass,
    /// How many connections there may be beside incoming links.
    pub limits: LinkLimits,
    /// Places for incoming links.
    pub places: Places,
}

impl LinksConfig {
    /// The peer that a header names, if there may be such a peer.
    pub(super) fn member(&self, header: Option<&http::HeaderValue>) -> Option<EntryName> {
        let name = EntryName::from(header?.to_str().ok()?);
        self.peers.address(&name).is_some().then_some(name)
    }

    /// Whether peers are found by their address. A link to such a peer is closed when it is
    /// not used, and given up when it does not come up; one to a listed peer never is.
    pub(super) fn found_by_address(&self) -> bool {
        matches!(self.peers, Directory::ByAddress { .. })
    }
}

/// The links to and from all peers, in a thread of their own.
///
/// Dropping it closes the queues and ends the thread.
pub struct Links<F> {
    conf: LinksConfig,
    queues: Queues,
    stats: LinkStats,
    sink: Sink<F>,
    runtime: Handle,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
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
        let (stop, stopped) = oneshot::channel::<()>();
        let (queues, stats) = (Queues::default(), LinkStats::default());
        let sink: Sink<F> = Arc::new(sink);
        let receiver = Receiver::new(
            conf.clone(),
            Arc::clone(&sink),
            queues.clone(),
            stats.clone(),
        );
        let thread = std::thread::Builder::new()
            .name("links".into())
            .spawn(move || {
                runtime.block_on(async move {
                    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
                        tracing::error!("link: listener cannot be used");
                        return;
                    };
                    tokio::select! {
                        () = receiver.run(listener) => {}
                        _ = stopped => {}
                    }
                });
            })?;
        let links = Self {
            conf,
            queues,
            stats,
            sink,
            runtime: handle,
            stop: Some(stop),
            thread: Some(thread),
        };
        if let Directory::Listed(peers) = &links.conf.peers {
            for peer in peers.keys() {
                links.open(peer);
            }
        }
        Ok(links)
    }

    /// What happened to the links so far.
    pub fn stats(&self) -> &LinkStats {
        &self.stats
    }

    /// Queues a frame; it is lost if the peer's queue is full or no link can be opened.
    pub fn send(&self, to: &EntryName, frame: &F) {
        if !self.queues.has(to) {
            self.open(to);
        }
        match self.queues.push(to, crate::codec::encode(frame)) {
            Queued::Waits => {}
            lost @ (Queued::Full | Queued::NoLink) => {
                self.stats.count(LinkEvent::FrameDropped);
                tracing::debug!(%to, ?lost, "link: a frame is dropped");
            }
        }
    }

    /// Begins a link to a peer whose address is known.
    fn open(&self, peer: &EntryName) {
        let Some(address) = self.conf.peers.address(peer) else {
            return;
        };
        let Some(queue) = self.queues.open(peer, self.conf.limits.outgoing) else {
            self.stats.count(LinkEvent::NotOpened);
            let limit = self.conf.limits.outgoing;
            tracing::info!(%peer, %address, limit, "link: not opened, all places are taken");
            return;
        };
        self.stats.set_outgoing(self.queues.outgoing());
        let sender = Sender {
            conf: self.conf.clone(),
            peer: peer.clone(),
            address,
            sink: Arc::clone(&self.sink),
            stats: self.stats.clone(),
        };
        self.runtime.spawn(sender.run(queue));
    }
}

impl<F> Drop for Links<F> {
    fn drop(&mut self) {
        self.queues.close();
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            // The thread only ends with the queues; a panic in it was logged.
            let _ = thread.join();
        }
    }
}
