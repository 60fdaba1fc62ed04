//! The client's connections when responses are late or missing, and when calls are aborted.

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use rosemarygauge::control::{
    ExternalSystems, MachineOrder, MachineOrderKind, MachineOutcome, Order, OrderKind, OrderOutcome,
};
use rosemarygauge::jobs::{JobId, TaskId};
use rosemarygauge::places::Places;
use rosemarygauge::platform::{Client, ClientError, Platform, Settings};
use serde_json::json;
use tokio::runtime::LocalOptions;

use super::deployment::settings;
use super::stand_in::read_request;

/// How a connection to the stand-in service ended.
#[derive(Debug, PartialEq)]
enum ConnectionEnd {
    Closed,
    Reset,
}

/// Starts a service that reads and never answers. It reports the number of bytes read on each
/// connection and how the connection ended.
fn unresponsive_service() -> (SocketAddr, Receiver<(usize, ConnectionEnd)>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (ends, ended) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let ends = ends.clone();
            std::thread::spawn(move || {
                // Sending fails only after the test has ended.
                let _ = ends.send(read_all(stream));
            });
        }
    });
    (address, ended)
}

fn read_all(mut stream: TcpStream) -> (usize, ConnectionEnd) {
    let mut read_bytes = 0;
    let mut buffer = [0; 4_096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return (read_bytes, ConnectionEnd::Closed),
            Ok(count) => read_bytes += count,
            Err(err) if err.kind() == ErrorKind::ConnectionReset => {
                return (read_bytes, ConnectionEnd::Reset);
            }
            Err(err) => panic!("{err}"),
        }
    }
}

fn request() -> Request<Full<Bytes>> {
    Request::post("/order")
        .header("host", "keeper")
        .body(Full::new(Bytes::from_static(b"{}")))
        .unwrap()
}

fn run_on_local_runtime(work: impl Future<Output = ()> + 'static) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())
        .unwrap();
    let work = async { tokio::task::spawn_local(work).await };
    runtime.block_on(work).unwrap();
}

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Guards against an order that times out and is executed after the orders of a newer leader.
/// The kernel would retransmit its data when a network partition heals, seconds later; only a
/// reset discards the data.
#[test]
fn a_call_that_times_out_resets_its_connection() {
    let (address, ended) = unresponsive_service();
    run_on_local_runtime(async move {
        let client = Rc::new(Client::new(2));
        let answer = client
            .call(address, request(), Duration::from_millis(100))
            .await;
        assert!(answer.is_err());
        let end = tokio::task::spawn_blocking(move || ended.recv_timeout(TEST_TIMEOUT));
        let (read_bytes, end) = end.await.unwrap().unwrap();
        assert!(read_bytes > 0);
        assert_eq!(end, ConnectionEnd::Reset);
    });
}

/// Guards against orders in flight of a leader that has stepped down: its successor may send
/// orders to the same machine a second before they time out. An abort ends all of them at once,
/// calls that wait for a connection are never sent, and later calls work.
#[test]
fn aborting_resets_all_calls_in_flight_at_once() {
    let (address, ended) = unresponsive_service();
    run_on_local_runtime(async move {
        let client = Rc::new(Client::new(2));
        let calls: Vec<_> = (0..5)
            .map(|_| {
                let client = Rc::clone(&client);
                tokio::task::spawn_local(async move {
                    client
                        .call(address, request(), TEST_TIMEOUT * 10)
                        .await
                        .is_err()
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(200)).await;
        client.abort();
        for call in calls {
            let given_up = tokio::time::timeout(TEST_TIMEOUT, call).await;
            assert!(given_up.expect("the call ends at once").unwrap());
        }
        let ends = tokio::task::spawn_blocking(move || {
            let first = [(); 2].map(|()| ended.recv_timeout(TEST_TIMEOUT).unwrap().1);
            let more = ended.recv_timeout(Duration::from_millis(200));
            (first, more)
        });
        let (first, more) = ends.await.unwrap();
        assert_eq!(first, [ConnectionEnd::Reset, ConnectionEnd::Reset]);
        assert!(
            more.is_err(),
            "a waiting call was sent after the abort: {more:?}"
        );
        let later = client.call(address, request(), Duration::from_millis(50));
        assert_eq!(later.await.unwrap_err().to_string(), "no answer in time");
    });
}

/// Guards against an order that reaches a machine after the orders of the next leader. A leader
/// sends an order and steps down in the same iteration of its event loop: the call is made
/// before the abort, but its future is first polled after it.
#[test]
fn a_call_that_was_made_before_an_abort_is_never_sent() {
    let (address, ended) = unresponsive_service();
    run_on_local_runtime(async move {
        let client = Rc::new(Client::new(2));
        let made = client.call(address, request(), CALL_TIMEOUT);
        client.abort();
        assert_eq!(made.await.unwrap_err().to_string(), "aborted");
        let later = client.call(address, request(), CALL_TIMEOUT);
        assert_eq!(later.await.unwrap_err().to_string(), "no answer in time");
        let ends = tokio::task::spawn_blocking(move || {
            let first = ended.recv_timeout(TEST_TIMEOUT).unwrap();
            (first, ended.recv_timeout(CALL_TIMEOUT))
        });
        let (first, more) = ends.await.unwrap();
        assert!(first.0 > 0 && more.is_err(), "{first:?}, {more:?}");
    });
}

/// Returns a platform with its machine manager at this address.
fn platform(machine_manager: SocketAddr) -> Platform {
    let mut settings = settings("127.0.0.1", 7_000);
    settings["cloud"] = json!({"address": machine_manager.to_string()});
    Platform::new(
        &Settings::parse(&settings.to_string()).unwrap(),
        Places::only(64),
    )
}

/// Returns a stop order for a worker at this address.
fn order(address: SocketAddr) -> Order {
    Order {
        id: 1,
        address,
        worker: "i-1".into(),
        fence: 7,
        timeout_ms: CALL_TIMEOUT.as_millis() as u64,
        kind: OrderKind::Stop {
            task: TaskId {
                job: JobId::from(1),
                occurrence: 0,
                step: 0,
                index: 0,
            },
            attempt: 1,
        },
    }
}

/// Guards against the same failure through the interface of the event loop, with an order to a
/// worker and one to the machine manager. Neither opens a connection.
#[test]
fn orders_that_were_given_before_an_abort_are_never_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let platform = platform(address);
    run_on_local_runtime(async move {
        let order = platform.order(order(address));
        let machine_order = platform.order_machine(MachineOrder {
            id: 2,
            machine: "m-1".to_owned(),
            fence: 7,
            kind: MachineOrderKind::Upkeep { wave: 1 },
        });
        platform.abort_orders();
        assert_eq!(order.await, OrderOutcome::Unanswered);
        assert_eq!(machine_order.await, MachineOutcome::Unanswered);
        tokio::time::sleep(CALL_TIMEOUT).await;
        let came = listener.accept().map(|(_, from)| from);
        assert_eq!(came.unwrap_err().kind(), ErrorKind::WouldBlock);
    });
}

/// Guards against wrong outcomes when a worker does not answer and has more orders than
/// connections. Orders that were sent may be executed and count as unanswered; the one that got
/// no connection counts as not sent.
#[test]
fn an_order_that_got_no_connection_counts_as_not_sent() {
    let (address, ended) = unresponsive_service();
    run_on_local_runtime(async move {
        let platform = platform(address);
        let order = || Order {
            timeout_ms: BULK_CALL_TIMEOUT.as_millis() as u64,
            ..order(address)
        };
        let orders = (0..5).map(|_| tokio::task::spawn_local(platform.order(order())));
        let mut outcomes = Vec::new();
        for outcome in orders.collect::<Vec<_>>() {
            outcomes.push(outcome.await.unwrap());
        }
        let (last, left) = outcomes.split_last().unwrap();
        assert_eq!(left, [const { OrderOutcome::Unanswered }; 4]);
        assert_eq!(*last, OrderOutcome::NotSent);
        let ends = tokio::task::spawn_blocking(move || {
            let first = [(); 4].map(|()| ended.recv_timeout(TEST_TIMEOUT).unwrap().0 > 0);
            (first, ended.recv_timeout(CALL_TIMEOUT).is_err())
        });
        assert_eq!(ends.await.unwrap(), ([true; 4], true));
    });
}

/// Guards against an order that waits for a connection until its time is nearly over and is sent
/// then: it times out at once and counts as unanswered, although it could have counted as not
/// sent. The call that holds the only connection ends 100 ms before the other one.
#[test]
fn a_call_that_gets_its_connection_at_the_end_of_its_time_is_not_sent() {
    let (address, ended) = unresponsive_service();
    run_on_local_runtime(async move {
        let client = Rc::new(Client::new(1));
        let first = client.call(address, request(), BULK_CALL_TIMEOUT * 19 / 20);
        let second = client.call(address, request(), BULK_CALL_TIMEOUT);
        let (first, second) = tokio::join!(first, second);
        assert!(matches!(first, Err(ClientError::Silent)), "{first:?}");
        assert!(matches!(second, Err(ClientError::NotSent)), "{second:?}");
        let ends = tokio::task::spawn_blocking(move || {
            let first = ended.recv_timeout(TEST_TIMEOUT).unwrap();
            (first.0 > 0, ended.recv_timeout(CALL_TIMEOUT).is_err())
        });
        assert_eq!(ends.await.unwrap(), (true, true));
    });
}

/// A service that answers a request only when the test releases it, and reports each step.
struct GatedService {
    address: SocketAddr,
    /// Receives one item for each complete request.
    requests: Receiver<()>,
    /// Lets the service answer one request.
    release: Sender<()>,
    /// Receives one item for each answer that was written.
    answered: Receiver<()>,
    /// Receives one item for each connection that ended.
    ended: Receiver<()>,
}

impl GatedService {
    /// Starts the service, which handles one connection after the other.
    fn start(body_bytes: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (received, requests) = channel();
        let (release, releases) = channel();
        let (answers, answered) = channel();
        let (ends, ended) = channel();
        let mut answer = format!("HTTP/1.1 200 X\r\ncontent-length: {body_bytes}\r\n\r\n");
        answer.extend(std::iter::repeat_n('x', body_bytes));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut rdr = BufReader::new(stream.try_clone().unwrap());
                let mut wtr = stream;
                while read_request(&mut rdr).is_some() {
                    // Sending fails only after the test has ended.
                    let _ = received.send(());
                    if releases.recv().is_err() {
                        return;
                    }
                    wtr.write_all(answer.as_bytes()).unwrap();
                    let _ = answers.send(());
                }
                let _ = ends.send(());
            }
        });
        Self {
            address,
            requests,
            release,
            answered,
            ended,
        }
    }

    /// Yields to the event loop until the next request was received completely.
    async fn next_request(&self) {
        let since = Instant::now();
        while self.requests.try_recv().is_err() {
            assert!(since.elapsed() < TEST_TIMEOUT, "no request arrived");
            tokio::task::yield_now().await;
        }
    }

    /// Lets the service answer and blocks the event loop until the call's timeout has passed.
    fn answer_while_blocked(&self, limit: Duration) {
        let since = Instant::now();
        self.release.send(()).unwrap();
        self.answered.recv_timeout(TEST_TIMEOUT).unwrap();
        // The call began earlier, so its timeout has passed by then.
        std::thread::sleep(limit.saturating_sub(since.elapsed()));
    }
}

const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout in which a hundred calls can be sent, and one on a starved machine.
const BULK_CALL_TIMEOUT: Duration = Duration::from_secs(2);

type CallHandle = tokio::task::JoinHandle<Result<usize, String>>;

/// Makes a call. Returns the length of the response body, or the error's text.
fn call(client: &Rc<Client>, address: SocketAddr, limit: Duration) -> CallHandle {
    let client = Rc::clone(client);
    tokio::task::spawn_local(async move {
        match client.call(address, request(), limit).await {
            Ok((_, body)) => Ok(body.len()),
            Err(err) => Err(err.to_string()),
        }
    })
}

/// Guards against discarding a timely answer. The event loop is busy, or the process suspended,
/// until after the order's timeout, and then finds the timer and the answer at the same time. A
/// timeout would reset a working connection and send the order again, which is more work for a
/// loop that is already overloaded.
#[test]
fn an_answer_that_arrived_in_time_is_accepted_when_read_late() {
    // The first body is read at once, the second in several reads.
    for body_bytes in [2, 60_000] {
        let service = GatedService::start(body_bytes);
        run_on_local_runtime(async move {
            let client = Rc::new(Client::new(1));
            for _ in 0..3 {
                let called = call(&client, service.address, BULK_CALL_TIMEOUT);
                service.next_request().await;
                service.answer_while_blocked(BULK_CALL_TIMEOUT);
                assert_eq!(called.await.unwrap(), Ok(body_bytes));
            }
            assert!(service.ended.try_recv().is_err(), "a connection was reset");
        });
    }
}

/// Guards against the same failure with many calls at once: the answers are found together with
/// the timers of all calls, and each takes several iterations of the event loop to read.
#[test]
fn many_answers_that_arrived_in_time_are_accepted_when_read_late() {
    let services: Vec<_> = (0..100).map(|_| GatedService::start(9_000)).collect();
    run_on_local_runtime(async move {
        let client = Rc::new(Client::new(1));
        let call = |s: &GatedService| call(&client, s.address, BULK_CALL_TIMEOUT);
        let called: Vec<_> = services.iter().map(call).collect();
        for service in &services {
            service.next_request().await;
        }
        for service in &services {
            service.release.send(()).unwrap();
        }
        for service in &services {
            service.answered.recv_timeout(TEST_TIMEOUT).unwrap();
        }
        std::thread::sleep(BULK_CALL_TIMEOUT);
        for called in called {
            assert_eq!(called.await.unwrap(), Ok(9_000));
        }
    });
}

/// Guards against waiting on for an answer that has not arrived when the event loop was blocked
/// until after the timeout. The worker may be lost, so the call ends at once and its connection
/// is reset.
#[test]
fn a_missing_answer_times_out_at_once_after_a_blocked_event_loop() {
    let (address, ended) = unresponsive_service();
    run_on_local_runtime(async move {
        let client = Rc::new(Client::new(1));
        let called = call(&client, address, CALL_TIMEOUT);
        tokio::time::sleep(CALL_TIMEOUT / 3).await;
        std::thread::sleep(CALL_TIMEOUT);
        let since = Instant::now();
        assert_eq!(called.await.unwrap(), Err("no answer in time".to_owned()));
        assert!(since.elapsed() < CALL_TIMEOUT, "{:?}", since.elapsed());
        let end = tokio::task::spawn_blocking(move || ended.recv_timeout(TEST_TIMEOUT));
        let (read_bytes, end) = end.await.unwrap().unwrap();
        assert!(read_bytes > 0);
        assert_eq!(end, ConnectionEnd::Reset);
    });
}

/// Guards against sending an order after its timeout, perhaps after the orders of another
/// leader. The event loop is blocked until after the timeouts of two orders, the second of which
/// waits for the connection of the first. The answer to the first one then frees the connection.
#[test]
fn a_call_whose_timeout_has_passed_is_not_sent() {
    let service = GatedService::start(2);
    run_on_local_runtime(async move {
        let client = Rc::new(Client::new(1));
        let first = call(&client, service.address, BULK_CALL_TIMEOUT);
        service.next_request().await;
        let second = call(&client, service.address, BULK_CALL_TIMEOUT);
        tokio::task::yield_now().await;
        service.answer_while_blocked(BULK_CALL_TIMEOUT);
        assert_eq!(first.await.unwrap(), Ok(2));
        assert_eq!(second.await.unwrap(), Err("not sent in time".to_owned()));
        assert!(
            service.requests.recv_timeout(CALL_TIMEOUT).is_err(),
            "the second call was sent"
        );
        assert!(service.ended.try_recv().is_err(), "a connection was reset");
    });
}
