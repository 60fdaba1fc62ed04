use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

use super::queues::{PushOutcome, Queues};
use super::receiver::Receiver;
use super::sender::Sender;
use super::{LinkError, LinkEvent, LinkLimits, LinkStats, PeerClass, PeerKey};
use crate::model::EntryName;
use crate::places::Places;

/// Receives authenticated frames. Returns `false` to receive no more.
pub(super) type Sink<F> = Arc<dyn Fn(EntryName, F) -> bool + Send + Sync>;

/// The peers that may connect, and the addresses of their listeners.
#[derive(Clone, Debug)]
pub enum Directory {
    /// A fixed list of all other instances and their listeners.
    Listed(BTreeMap<EntryName, SocketAddr>),
    /// Every instance is named by its IP address and listens on the same port.
    ByAddress {
        /// Port of every instance's listener.
        port: u16,
    },
}

impl Directory {
    /// Returns the address of a peer's listener.
    fn address(&self, peer: &EntryName) -> Option<SocketAddr> {
        match self {
            Self::Listed(peers) => peers.get(peer).copied(),
            Self::ByAddress { port } => Some((peer.as_str().parse::<IpAddr>().ok()?, *port).into()),
        }
    }
}

/// Configuration of an instance's links.
#[derive(Clone, Debug)]
pub struct LinksConfig {
    /// Name of this instance.
    pub me: EntryName,
    /// The key that all instances share.
    pub key: PeerKey,
    /// The other instances.
    pub peers: Directory,
    /// Class of this instance.
    pub class: PeerClass,
    /// Limits on the connections other than incoming links.
    pub limits: LinkLimits,
    /// Slots for incoming links.
    pub places: Places,
}

impl LinksConfig {
    /// Returns the peer that a header names, if the directory allows it.
    pub(super) fn peer_from_header(&self, header: Option<&http::HeaderValue>) -> Option<EntryName> {
        let name = EntryName::from(header?.to_str().ok()?);
        self.peers.address(&name).is_some().then_some(name)
    }

    /// Returns whether peers are named by their address. A link to such a peer is closed when
    /// it is idle and abandoned when it does not come up; a link to a listed peer is kept.
    pub(super) fn has_dynamic_peers(&self) -> bool {
        matches!(self.peers, Directory::ByAddress { .. })
    }
}

/// The links to and from all peers, served by a dedicated thread.
///
/// Dropping it closes the queues and joins the thread.
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
    /// Starts the links. `sink` gets every authenticated frame and returns `false` to receive
    /// no more.
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
                        tracing::error!("link: the listener cannot be registered with the runtime");
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

    /// Returns the metrics of the links.
    pub fn stats(&self) -> &LinkStats {
        &self.stats
    }

    /// Queues a frame. It is dropped if the peer's queue is full or no link can be opened.
    pub fn send(&self, to: &EntryName, frame: &F) {
        if !self.queues.has_link(to) {
            self.open(to);
        }
        match self.queues.push(to, crate::codec::encode(frame)) {
            PushOutcome::Accepted => {}
            lost @ (PushOutcome::Full | PushOutcome::NoLink) => {
                self.stats.increment(LinkEvent::FrameDropped);
                tracing::debug!(%to, ?lost, "link: dropped a frame");
            }
        }
    }

    /// Opens a link to a peer whose address is known.
    fn open(&self, peer: &EntryName) {
        let Some(address) = self.conf.peers.address(peer) else {
            return;
        };
        let Some(queue) = self.queues.open_outgoing(peer, self.conf.limits.outgoing) else {
            self.stats.increment(LinkEvent::NotOpened);
            let limit = self.conf.limits.outgoing;
            tracing::info!(%peer, %address, limit, "link: not opened, all places are taken");
            return;
        };
        self.stats.set_outgoing(self.queues.outgoing_count());
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
        self.queues.close_all();
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            // The result only tells of a panic, which was logged already.
            let _ = thread.join();
        }
    }
}
