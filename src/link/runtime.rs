use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;

use tokio::sync::mpsc;

use super::{LinkError, PeerKey, receiver, sender};
use crate::entry::PeerFrame;
use crate::model::EntryName;

/// Frames that may wait for one peer. More means that the peer does not keep up
/// or is cut off, and what is waiting is old.
const QUEUE_FRAMES: usize = 1024;

/// What links need to know.
#[derive(Clone, Debug)]
pub struct LinksConfig {
    /// This entry instance.
    pub me: EntryName,
    /// The shared key.
    pub key: PeerKey,
    /// All other entry instances and where they take links.
    pub peers: BTreeMap<EntryName, SocketAddr>,
}

impl LinksConfig {
    /// The peer that a header names, if there is such a peer.
    pub(super) fn member(&self, header: Option<&http::HeaderValue>) -> Option<EntryName> {
        let name = EntryName::from(header?.to_str().ok()?);
        self.peers.contains_key(&name).then_some(name)
    }
}

/// The links to and from all peers, in a thread of their own.
///
/// Dropping it closes the queues and ends the thread.
#[derive(Debug)]
pub struct Links {
    queues: BTreeMap<EntryName, mpsc::Sender<Vec<u8>>>,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Links {
    /// Starts the links. `sink` gets every proved frame and returns `false` when
    /// it wants no more.
    ///
    /// # Errors
    /// The listener or the thread cannot be set up.
    pub fn start(
        conf: LinksConfig,
        listener: TcpListener,
        sink: impl Fn(EntryName, PeerFrame) -> bool + Send + Sync + 'static,
    ) -> Result<Self, LinkError> {
        listener.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        let mut queues = BTreeMap::new();
        let mut waiting = Vec::new();
        for (peer, address) in &conf.peers {
            let (tx, rx) = mpsc::channel(QUEUE_FRAMES);
            queues.insert(peer.clone(), tx);
            waiting.push((peer.clone(), *address, rx));
        }
        let thread = std::thread::Builder::new()
            .name("links".into())
            .spawn(move || {
                runtime.block_on(async move {
                    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
                        tracing::error!("link: listener cannot be used");
                        return;
                    };
                    for (peer, address, rx) in waiting {
                        tokio::spawn(sender::run(conf.clone(), peer, address, rx));
                    }
                    tokio::select! {
                        () = receiver::run(conf, listener, Arc::new(sink)) => {}
                        _ = stopped => {}
                    }
                });
            })?;
        Ok(Self {
            queues,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Queues a frame; it is lost if the peer's queue is full.
    pub fn send(&self, to: &EntryName, frame: &PeerFrame) {
        if let Some(queue) = self.queues.get(to)
            && queue.try_send(crate::codec::encode(frame)).is_err()
        {
            tracing::debug!("link: queue to {to} is full, a frame is dropped");
        }
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.queues.clear();
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            // The thread only ends with the queues; a panic in it was logged.
            let _ = thread.join();
        }
    }
}
