use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};

use tokio::runtime::Handle;
use tokio::sync::oneshot;

use super::Link;

/// The thread that all links run in; dropped, it ends with them.
#[derive(Debug)]
pub struct Hub {
    runtime: Handle,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Hub {
    /// Starts the thread.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start() -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = thread::Builder::new()
            .name("proxy".to_owned())
            .spawn(move || {
                // Ends when the sender is dropped, too.
                let _ = runtime.block_on(stopped);
            })?;
        Ok(Self {
            runtime: handle,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Opens a link from `listen` (port 0: any) to `target`.
    ///
    /// # Errors
    /// The port cannot be had.
    pub fn link(&self, listen: SocketAddr, target: SocketAddr) -> io::Result<Link> {
        let listener = TcpListener::bind(listen)?;
        Link::start(&self.runtime, listener, target)
    }
}

impl Drop for Hub {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            // A panic in it was printed already.
            let _ = thread.join();
        }
    }
}
