use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::pump::{Gate, pump};
use super::{Accept, Flow, LinkFaults};

/// Connections of one link at once. Silenced ones are never noticed to be
/// closed, so that without a bound they would use up the descriptors.
const CONNECTIONS_MAX: usize = 2_048;

/// Pause before a port that could not be bound again is tried again.
const REBIND_MS: u64 = 10;

/// One port that passes connections on to one target; dropped, it closes.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    plan: watch::Sender<Plan>,
}

/// What the tasks of a link go by.
#[derive(Clone, Debug, Default)]
pub(super) struct Plan {
    pub(super) faults: LinkFaults,
    /// Connections opened so far.
    opened: u64,
    /// Connections with a lower number never carry a byte again.
    pub(super) silent_below: u64,
    /// Connections with a lower number are reset.
    reset_below: u64,
}

impl Link {
    pub(super) fn start(
        runtime: &Handle,
        listener: StdListener,
        target: SocketAddr,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (plan, _) = watch::channel(Plan::default());
        let _entered = runtime.enter();
        let listener = TcpListener::from_std(listener)?;
        runtime.spawn(run(plan.clone(), plan.subscribe(), listener, target));
        Ok(Self { address, plan })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces all faults, for new connections and open ones.
    pub fn set(&self, faults: LinkFaults) {
        self.plan.send_modify(|plan| plan.faults = faults);
    }

    /// Goes back to no fault.
    pub fn heal(&self) {
        self.set(LinkFaults::default());
    }

    /// Makes the connections that are open now silent for good; new ones work.
    /// This is what a middlebox does that has lost track of them.
    pub fn silence_open(&self) {
        self.plan
            .send_modify(|plan| plan.silent_below = plan.opened);
    }

    /// Resets the connections that are open now.
    pub fn reset_open(&self) {
        self.plan.send_modify(|plan| plan.reset_below = plan.opened);
    }

    /// Connections taken since the start.
    pub fn opened(&self) -> u64 {
        self.plan.borrow().opened
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        // The tasks hold senders too, so that the channel does not close itself.
        self.plan.send_modify(|plan| plan.reset_below = u64::MAX);
    }
}

/// Runs until the link is dropped.
async fn run(
    plan: watch::Sender<Plan>,
    mut plan_rx: watch::Receiver<Plan>,
    listener: TcpListener,
    target: SocketAddr,
) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let room = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let mut listener = Some(listener);
    let mut open = JoinSet::new();
    loop {
        let now = plan_rx.borrow_and_update().clone();
        if now.reset_below == u64::MAX {
            return;
        }
        if now.faults.accept == Accept::Refuse {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(address).await.ok();
        }
        tokio::select! {
            _ = plan_rx.changed() => {}
            Some(_) = open.join_next() => {}
            () = sleep(Duration::from_millis(REBIND_MS)), if is_due(&listener, &now) => {}
            accepted = accept(listener.as_ref(), &room) => {
                let Some((stream, permit)) = accepted else { continue };
                // As it is now: the faults may have been set after `now` was read.
                if plan.borrow().faults.accept != Accept::Pass {
                    reset(&stream);
                    continue;
                }
                let mut number = 0;
                plan.send_modify(|plan| {
                    number = plan.opened;
                    plan.opened += 1;
                });
                let plan_rx = plan_rx.clone();
                open.spawn(async move {
                    connection(plan_rx, number, stream, target).await;
                    drop(permit);
                });
            }
        }
    }
}

fn is_due(listener: &Option<TcpListener>, plan: &Plan) -> bool {
    listener.is_none() && plan.faults.accept != Accept::Refuse
}

async fn accept(
    listener: Option<&TcpListener>,
    room: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    let permit = Arc::clone(room).acquire_owned().await.ok()?;
    let (stream, _) = listener.accept().await.ok()?;
    Some((stream, permit))
}

async fn connection(
    mut plan: watch::Receiver<Plan>,
    number: u64,
    near: TcpStream,
    target: SocketAddr,
) {
    let mut passing = plan.clone();
    let passes = passing.wait_for(|plan| {
        let faults = &plan.faults;
        faults.forward == Flow::Pass && faults.backward == Flow::Pass
    });
    let far = tokio::select! {
        _ = plan.wait_for(|plan| plan.reset_below > number) => None,
        // A handshake needs both directions.
        far = async { let _ = passes.await; TcpStream::connect(target).await.ok() } => far,
    };
    let Some(far) = far else {
        reset(&near);
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (mut near_rd, mut near_wr) = near.into_split();
    let (mut far_rd, mut far_wr) = far.into_split();
    let forward = Gate::forward(passing.clone(), number);
    let backward = Gate::backward(passing, number);
    let whole = tokio::select! {
        _ = plan.wait_for(|plan| plan.reset_below > number) => false,
        both = async {
            tokio::try_join!(
                pump(forward, &mut near_rd, &mut far_wr),
                pump(backward, &mut far_rd, &mut near_wr),
            )
        } => both.is_ok(),
    };
    if !whole {
        reset(near_rd.as_ref());
        reset(far_rd.as_ref());
        // Dropped, the write halves would end the streams in good order first,
        // and the peer would take what it has got for the whole.
        near_wr.forget();
        far_wr.forget();
    }
}

/// Makes the socket's close a reset.
fn reset(stream: &TcpStream) {
    // If the option is refused the close is an ordinary one.
    let _ = stream.set_zero_linger();
}
