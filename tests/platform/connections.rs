//! What becomes of connections on which an answer did not come.

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
use rosemarygauge::platform::{Client, Platform, Settings};
use serde_json::json;
use tokio::runtime::LocalOptions;

use super::settings::settings;
use super::stand_in::read_request;

/// How a connection to the stand-in ended, with the bytes that came before.
#[derive(Debug, PartialEq)]
enum End {
    Closed,
    Reset,
}

/// A service that reads and never answers; tells how each connection ended.
fn silent_service() -> (SocketAddr, Receiver<(usize, End)>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (ends, ended) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let ends = ends.clone();
            std::thread::spawn(move || {
                // The test is over if nobody takes it.
                let _ = ends.send(read_all(stream));
            });
        }
    });
    (address, ended)
}

fn read_all(mut stream: TcpStream) -> (usize, End) {
    let mut read_bytes = 0;
    let mut buffer = [0; 4_096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return (read_bytes, End::Closed),
            Ok(count) => read_bytes += count,
            Err(err) if err.kind() == ErrorKind::ConnectionReset => {
                return (read_bytes, End::Reset);
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

fn on_a_loop(work: impl Future<Output = ()> + 'static) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())
        .unwrap();
    let work = async { tokio::task::spawn_local(work).await };
    runtime.block_on(work).unwrap();
}

const SOON: Duration = Duration::from_secs(30);

/// An order is not answered in time and given up. What its connection's kernel still
/// holds would be sent again when a cut on the way heals, seconds later, and be carried
/// out after the orders of a newer leader. Only a reset throws it away.
#[test]
fn a_call_that_is_given_up_resets_its_connection() {
    let (address, ended) = silent_service();
    on_a_loop(async move {
        let client = Rc::new(Client::new(2));
        let answer = client
            .call(address, request(), Duration::from_millis(100))
            .await;
        assert!(answer.is_err());
        let end = tokio::task::spawn_blocking(move || ended.recv_timeout(SOON));
        let (read_bytes, end) = end.await.unwrap().unwrap();
        assert!(read_bytes > 0);
        assert_eq!(end, End::Reset);
    });
}

/// A leader steps down while orders are open: a second before their own limits would
/// give them up, a successor may order the same machine. All are thrown away at once,
/// those that wait for a connection never leave, and later calls go through.
#[test]
fn aborting_resets_all_open_calls_at_once() {
    let (address, ended) = silent_service();
    on_a_loop(async move {
        let client = Rc::new(Client::new(2));
        let calls: Vec<_> = (0..5)
            .map(|_| {
                let client = Rc::clone(&client);
                tokio::task::spawn_local(async move {
                    client.call(address, request(), SOON * 10).await.is_err()
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(200)).await;
        client.abort();
        for call in calls {
            let given_up = tokio::time::timeout(SOON, call).await;
            assert!(given_up.expect("the call ends at once").unwrap());
        }
        let ends = tokio::task::spawn_blocking(move || {
            let first = [(); 2].map(|()| ended.recv_timeout(SOON).unwrap().1);
            let more = ended.recv_timeout(Duration::from_millis(200));
            (first, more)
        });
        let (first, more) = ends.await.unwrap();
        assert_eq!(first, [End::Reset, End::Reset]);
        assert!(more.is_err(), "a call that waited left after all: {more:?}");
        let later = client.call(address, request(), Duration::from_millis(50));
        assert_eq!(later.await.unwrap_err().to_string(), "no answer in time");
    });
}

/// A leader orders something and steps down in the same go of its loop. The call is made
/// before all are thrown away, but runs for the first time after that. Did it leave, a
/// machine could get it after the orders of the next leader.
#[test]
fn a_call_that_was_made_before_an_abort_never_leaves() {
    let (address, ended) = silent_service();
    on_a_loop(async move {
        let client = Rc::new(Client::new(2));
        let made = client.call(address, request(), SHORT);
        client.abort();
        assert_eq!(made.await.unwrap_err().to_string(), "aborted");
        let later = client.call(address, request(), SHORT);
        assert_eq!(later.await.unwrap_err().to_string(), "no answer in time");
        let ends = tokio::task::spawn_blocking(move || {
            let first = ended.recv_timeout(SOON).unwrap();
            (first, ended.recv_timeout(SHORT))
        });
        let (first, more) = ends.await.unwrap();
        assert!(first.0 > 0 && more.is_err(), "{first:?}, {more:?}");
    });
}

/// The platform with its keeper of machines there.
fn platform(keeper: SocketAddr) -> Platform {
    let mut settings = settings("127.0.0.1", 7_000);
    settings["cloud"] = json!({"address": keeper.to_string()});
    Platform::new(
        &Settings::parse(&settings.to_string()).unwrap(),
        Places::only(64),
    )
}

/// A stop for a worker there.
fn order(address: SocketAddr) -> Order {
    Order {
        id: 1,
        address,
        worker: "i-1".into(),
        fence: 7,
        timeout_ms: SHORT.as_millis() as u64,
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

/// As above, by the way that the loop takes: an order to a worker and one to the keeper
/// of the machines. Nobody comes to either.
#[test]
fn orders_that_were_given_before_an_abort_never_leave() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let platform = platform(address);
    on_a_loop(async move {
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
        tokio::time::sleep(SHORT).await;
        let came = listener.accept().map(|(_, from)| from);
        assert_eq!(came.unwrap_err().kind(), ErrorKind::WouldBlock);
    });
}

/// A worker answers nothing, and more orders wait for it than it has connections. Those
/// that left may be carried out; the one that did not get its turn will not, and counts
/// as what it is.
#[test]
fn an_order_that_did_not_get_its_turn_has_not_left() {
    let (address, ended) = silent_service();
    on_a_loop(async move {
        let platform = platform(address);
        let orders = (0..5).map(|_| tokio::task::spawn_local(platform.order(order(address))));
        let mut outcomes = Vec::new();
        for outcome in orders.collect::<Vec<_>>() {
            outcomes.push(outcome.await.unwrap());
        }
        let (last, left) = outcomes.split_last().unwrap();
        assert_eq!(left, [const { OrderOutcome::Unanswered }; 4]);
        assert_eq!(*last, OrderOutcome::NotSent);
        let ends = tokio::task::spawn_blocking(move || {
            let first = [(); 4].map(|()| ended.recv_timeout(SOON).unwrap().0 > 0);
            (first, ended.recv_timeout(SHORT).is_err())
        });
        assert_eq!(ends.await.unwrap(), ([true; 4], true));
    });
}

/// A service that answers on a word; tells what happens, in order.
struct WordedService {
    address: SocketAddr,
    /// A request is there whole.
    asked: Receiver<()>,
    /// Lets it answer one request.
    word: Sender<()>,
    /// An answer has left whole.
    answered: Receiver<()>,
    /// A connection has ended.
    ended: Receiver<()>,
}

impl WordedService {
    /// Takes one connection after the other.
    fn start(body_bytes: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (asks, asked) = channel();
        let (word, words) = channel();
        let (answers, answered) = channel();
        let (ends, ended) = channel();
        let mut answer = format!("HTTP/1.1 200 X\r\ncontent-length: {body_bytes}\r\n\r\n");
        answer.extend(std::iter::repeat_n('x', body_bytes));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut rdr = BufReader::new(stream.try_clone().unwrap());
                let mut wtr = stream;
                while read_request(&mut rdr).is_some() {
                    // The test is over if nobody takes it.
                    let _ = asks.send(());
                    if words.recv().is_err() {
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
            asked,
            word,
            answered,
            ended,
        }
    }

    /// Lets the loop go on until the next request is there whole.
    async fn next_request(&self) {
        while self.asked.try_recv().is_err() {
            tokio::task::yield_now().await;
        }
    }

    /// Has the request answered and holds the loop until its limit is over.
    fn answer_unseen(&self, limit: Duration) {
        let since = Instant::now();
        self.word.send(()).unwrap();
        self.answered.recv_timeout(SOON).unwrap();
        std::thread::sleep((limit * 2).saturating_sub(since.elapsed()));
    }
}

const SHORT: Duration = Duration::from_millis(300);
/// Enough for a hundred calls to leave.
const LONGER: Duration = Duration::from_secs(2);

type Called = tokio::task::JoinHandle<Result<usize, String>>;

/// Calls; the length of the answer's body, or what went wrong.
fn call(client: &Rc<Client>, address: SocketAddr, limit: Duration) -> Called {
    let client = Rc::clone(client);
    tokio::task::spawn_local(async move {
        match client.call(address, request(), limit).await {
            Ok((_, body)) => Ok(body.len()),
            Err(err) => Err(err.to_string()),
        }
    })
}

/// An order is answered in time, but the loop is busy with other things (or the process
/// is suspended) until after the order's limit. Its timer and its answer are then found
/// at the same time. To give it up would reset a good connection and send the order
/// again, which is more work for a loop that is already behind.
#[test]
fn an_answer_that_came_in_time_is_taken_when_it_is_read_late() {
    // At once, and in several reads.
    for body_bytes in [2, 60_000] {
        let service = WordedService::start(body_bytes);
        on_a_loop(async move {
            let client = Rc::new(Client::new(1));
            for _ in 0..3 {
                let called = call(&client, service.address, SHORT);
                service.next_request().await;
                service.answer_unseen(SHORT);
                assert_eq!(called.await.unwrap(), Ok(body_bytes));
            }
            assert!(service.ended.try_recv().is_err(), "a connection was reset");
        });
    }
}

/// As above, with many calls at once: the answers are found beside the timers of all
/// calls, and each takes several turns of the loop to be read whole.
#[test]
fn many_answers_that_came_in_time_are_taken_when_they_are_read_late() {
    let services: Vec<_> = (0..100).map(|_| WordedService::start(9_000)).collect();
    on_a_loop(async move {
        let client = Rc::new(Client::new(1));
        let call = |s: &WordedService| call(&client, s.address, LONGER);
        let called: Vec<_> = services.iter().map(call).collect();
        for service in &services {
            service.next_request().await;
        }
        for service in &services {
            service.word.send(()).unwrap();
        }
        for service in &services {
            service.answered.recv_timeout(SOON).unwrap();
        }
        std::thread::sleep(LONGER);
        for called in called {
            assert_eq!(called.await.unwrap(), Ok(9_000));
        }
    });
}

/// The loop is held until after an order's limit, and no answer is there. The worker may
/// be gone: the order is given up at once and its connection reset.
#[test]
fn an_answer_that_does_not_come_is_given_up_when_the_loop_was_held() {
    let (address, ended) = silent_service();
    on_a_loop(async move {
        let client = Rc::new(Client::new(1));
        let called = call(&client, address, SHORT);
        tokio::time::sleep(SHORT / 3).await;
        std::thread::sleep(SHORT);
        let since = Instant::now();
        assert_eq!(called.await.unwrap(), Err("no answer in time".to_owned()));
        assert!(since.elapsed() < SHORT, "{:?}", since.elapsed());
        let end = tokio::task::spawn_blocking(move || ended.recv_timeout(SOON));
        let (read_bytes, end) = end.await.unwrap().unwrap();
        assert!(read_bytes > 0);
        assert_eq!(end, End::Reset);
    });
}

/// The loop is held until after the limits of two orders, of which the second waits for
/// the connection of the first. The first one's answer is there and frees the
/// connection. Were the second to leave now, it would arrive after its sender counts it
/// as given up, perhaps after the orders of another leader.
#[test]
fn a_call_whose_limit_is_over_does_not_leave() {
    let service = WordedService::start(2);
    on_a_loop(async move {
        let client = Rc::new(Client::new(1));
        let first = call(&client, service.address, SHORT);
        service.next_request().await;
        let second = call(&client, service.address, SHORT);
        tokio::task::yield_now().await;
        service.answer_unseen(SHORT);
        assert_eq!(first.await.unwrap(), Ok(2));
        assert_eq!(second.await.unwrap(), Err("not sent in time".to_owned()));
        assert!(service.asked.recv_timeout(SHORT).is_err(), "it left");
        assert!(service.ended.try_recv().is_err(), "a connection was reset");
    });
}
