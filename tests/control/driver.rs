//! The loop that feeds events to the decisions, beside what else its thread has to do.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rosemarygauge::consensus::Recovered;
use rosemarygauge::control::{
    Desk, Driver, Links, Local, Machine, MachineOrder, MachineOutcome, Node, NodeSettings, Order,
    OrderOutcome, Outside, PeerMessage, Policy, Signal, WallClock, steady_ms,
};
use rosemarygauge::jobs::TaskId;
use rosemarygauge::model::{EntryName, InstanceName};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;

use crate::world::TIMING;

/// What one message costs to send.
const SEND: Duration = Duration::from_millis(1);

/// Links that take long, and count.
struct SlowLinks(Rc<Cell<usize>>);

impl Links for SlowLinks {
    fn send(&self, _to: &EntryName, _message: &PeerMessage) {
        std::thread::sleep(SEND);
        self.0.set(self.0.get() + 1);
    }
}

/// Nothing outside of the system.
struct Nothing;

impl Outside for Nothing {
    fn order(&self, _order: Order) -> Local<OrderOutcome> {
        Box::pin(async { OrderOutcome::Unanswered })
    }

    fn order_machine(&self, _order: MachineOrder) -> Local<MachineOutcome> {
        Box::pin(async { MachineOutcome::Overloaded })
    }

    fn abort_orders(&self) {}

    fn list_machines(&self) -> Local<Option<Vec<Machine>>> {
        Box::pin(async { None })
    }

    fn advise(
        &self,
        _step: TaskId,
        _workers: Vec<InstanceName>,
        _timeout_ms: u64,
    ) -> Local<Option<Vec<(InstanceName, String)>>> {
        Box::pin(async { None })
    }
}

fn node(me: &str) -> Node {
    let settings = NodeSettings {
        me: me.into(),
        seeds: vec![me.into()],
        first_start: false,
        losses_borne: 1,
        timing: TIMING,
        policy: Policy::default(),
        seed: 1,
    };
    Node::new(settings, Recovered::default(), 0, steady_ms())
}

/// Workers that are well count as silent, and links to peers that are well as dead.
/// Hundreds of events wait at once, and each takes the loop a while; as long as it finds
/// more of them it does not let its thread look at sockets and timers. It has to, every
/// few milliseconds, while there is still much to handle.
#[test]
fn a_loop_with_much_to_handle_lets_sockets_and_timers_be_looked_at() {
    const GREETINGS: usize = 600;
    let sent = Rc::new(Cell::new(0));
    let (desk, calls) = Desk::new(1);
    let (signals, signalled) = unbounded_channel();
    let greeting = || {
        let hello = PeerMessage::Hello { has_folder: true };
        Signal::Peer("127.0.0.1:7002".into(), hello)
    };
    for _ in 0..GREETINGS {
        signals.send(greeting()).unwrap();
    }
    let driver = Driver::new(desk, calls, signalled, SlowLinks(Rc::clone(&sent)));
    let (disk, _jobs) = std::sync::mpsc::channel();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let turns = LocalSet::new().block_on(&runtime, async {
        let node = node("127.0.0.1:7001");
        let running = driver.run_control(node, disk, Rc::new(Nothing), WallClock::default());
        let others = async {
            let mut turns = 0;
            while sent.get() < GREETINGS {
                tokio::task::yield_now().await;
                turns += 1;
            }
            turns
        };
        tokio::select! {
            _ = running => panic!("the loop ended"),
            turns = others => turns,
        }
    });
    assert!(turns >= GREETINGS / 10, "{turns} looks only");
}
