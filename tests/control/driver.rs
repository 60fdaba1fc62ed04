//! The event loop and the other work of its thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use rosemarygauge::consensus::Recovered;
use rosemarygauge::control::{
    Answer, Call, CallBridge, Driver, ExternalSystems, Links, LocalFuture, Machine, MachineOrder,
    MachineOutcome, Node, NodeSettings, Order, OrderOutcome, PeerMessage, Policy, Signal,
    WallClock, boottime_ms,
};
use rosemarygauge::intake::Intake;
use rosemarygauge::jobs::TaskId;
use rosemarygauge::model::{EntryName, InstanceName};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;

use crate::world::TIMING;

/// Time that it takes to send one message.
const SEND_DURATION: Duration = Duration::from_millis(1);

/// Links that are slow to send and count their messages.
struct SlowLinks(Rc<Cell<usize>>);

impl Links for SlowLinks {
    fn send(&self, _to: &EntryName, _message: &PeerMessage) {
        std::thread::sleep(SEND_DURATION);
        self.0.set(self.0.get() + 1);
    }
}

/// External systems that are all unreachable.
struct UnreachableSystems;

impl ExternalSystems for UnreachableSystems {
    fn order(&self, _order: Order) -> LocalFuture<OrderOutcome> {
        Box::pin(async { OrderOutcome::Unanswered })
    }

    fn order_machine(&self, _order: MachineOrder) -> LocalFuture<MachineOutcome> {
        Box::pin(async { MachineOutcome::Overloaded })
    }

    fn abort_orders(&self) {}

    fn list_machines(&self) -> LocalFuture<Option<Vec<Machine>>> {
        Box::pin(async { None })
    }

    fn advise(
        &self,
        _step: TaskId,
        _workers: Vec<InstanceName>,
        _timeout_ms: u64,
    ) -> LocalFuture<Option<Vec<(InstanceName, String)>>> {
        Box::pin(async { None })
    }
}

fn node(me: &str) -> Node {
    let settings = NodeSettings {
        me: me.into(),
        seeds: vec![me.into()],
        first_start: false,
        location: rosemarygauge::control::Location {
            region: None,
            zone: "a".into(),
        },
        tolerance: rosemarygauge::control::Tolerance {
            instances: 1,
            ..Default::default()
        },
        machine_orders_per_s: 600.0,
        timing: TIMING,
        policy: Policy::default(),
        seed: 1,
    };
    Node::new(settings, Recovered::default(), 0, boottime_ms())
}

/// Guards against an event loop that starves sockets and timers. Hundreds of events are
/// queued and each takes a while to handle. A loop that handled them all before it yielded
/// made healthy workers look silent and links to healthy peers look dead. It must yield
/// every few milliseconds while there is still much to handle.
#[test]
fn a_loop_with_much_to_handle_lets_sockets_and_timers_be_looked_at() {
    const HELLOS: usize = 600;
    let sent = Rc::new(Cell::new(0));
    let (bridge, calls) = CallBridge::new(1);
    let (signals, signalled) = unbounded_channel();
    let hello_signal = || {
        let hello = PeerMessage::Hello { has_folder: true };
        Signal::Peer("127.0.0.1:7002".into(), hello)
    };
    for _ in 0..HELLOS {
        signals.send(hello_signal()).unwrap();
    }
    let driver = Driver::new(bridge, calls, signalled, SlowLinks(Rc::clone(&sent)));
    let (disk, _jobs) = std::sync::mpsc::channel();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let yields = LocalSet::new().block_on(&runtime, async {
        let node = node("127.0.0.1:7001");
        let running = driver.run_control(
            node,
            disk,
            Rc::new(UnreachableSystems),
            WallClock::default(),
        );
        let others = async {
            let mut yields = 0;
            while sent.get() < HELLOS {
                tokio::task::yield_now().await;
                yields += 1;
            }
            yields
        };
        tokio::select! {
            _ = running => panic!("the loop ended"),
            yields = others => yields,
        }
    });
    assert!(yields >= HELLOS / 10, "only {yields} yields");
}

/// Links that record what kind of message is sent.
struct RecordingLinks(Rc<RefCell<Vec<bool>>>);

impl Links for RecordingLinks {
    fn send(&self, _to: &EntryName, message: &PeerMessage) {
        let is_answer = matches!(message, PeerMessage::Answer { .. });
        self.0.borrow_mut().push(is_answer);
    }
}

/// Guards against messages between control instances that wait behind all calls which other
/// instances have forwarded: in a peak these are thousands, and each step of the log waits.
#[test]
fn forwarded_calls_do_not_hold_up_other_messages() {
    const CALLS: u64 = 500;
    let sent = Rc::new(RefCell::new(Vec::new()));
    let (bridge, calls) = CallBridge::new(1);
    let (signals, signalled) = unbounded_channel();
    let send = |message| {
        let signal = Signal::Peer("127.0.0.1:7002".into(), message);
        signals.send(signal).unwrap();
    };
    for id in 0..CALLS {
        let call = Call::ReadConfiguration;
        send(PeerMessage::Call { id, call });
    }
    send(PeerMessage::Hello { has_folder: true });
    let driver = Driver::new(bridge, calls, signalled, RecordingLinks(Rc::clone(&sent)));
    let (disk, _jobs) = std::sync::mpsc::channel();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let node = node("127.0.0.1:7001");
        let outside = Rc::new(UnreachableSystems);
        let running = driver.run_control(node, disk, outside, WallClock::default());
        let answered = async {
            while sent.borrow().iter().filter(|is_answer| **is_answer).count() < CALLS as usize {
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            _ = running => panic!("the loop ended"),
            () = answered => {}
        }
    });
    let sent = sent.borrow();
    let before = sent.iter().take_while(|is_answer| **is_answer).count();
    assert!(before <= 2, "{before} calls are answered before");
}

/// Guards against callers that leave and are remembered for good: a control instance never asks
/// for them.
#[test]
fn a_caller_that_has_left_is_remembered_until_its_call_is_answered() {
    let (bridge, mut calls) = CallBridge::new(0);
    let client = Intake::new(1 << 20).open(Instant::now(), "test", None);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    let mut leave = || {
        runtime.block_on(async {
            let call = bridge.call(Call::ReadConfiguration, 100, client.hold());
            tokio::select! {
                biased;
                _ = call => panic!("nobody answers"),
                () = std::future::ready(()) => {}
            }
        });
        calls.try_recv().unwrap().id
    };
    let (answered, open) = (leave(), leave());
    bridge.answer(answered, Answer::Done);
    assert_eq!(bridge.take_left(), [open]);
    assert!(bridge.take_left().is_empty());
    bridge.answer(open, Answer::Done);
    assert_eq!(bridge.waiting(), 0);
}
