//! The fault-injecting proxy: each fault does to a connection what it says.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use rosemarygauge::proxy::{Accept, Flow, Hub, Link, LinkFaults};
use support::{Process, agent};

/// Answers each byte with its successor.
fn successor() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    address
}

fn serve(mut stream: TcpStream) {
    let mut byte = [0];
    while stream.read_exact(&mut byte).is_ok() {
        if stream.write_all(&[byte[0].wrapping_add(1)]).is_err() {
            return;
        }
    }
}

fn link() -> (Hub, Link) {
    let hub = Hub::start().unwrap();
    let link = hub
        .link("127.0.0.1:0".parse().unwrap(), successor())
        .unwrap();
    (hub, link)
}

fn connect(link: &Link) -> TcpStream {
    let stream = TcpStream::connect(link.address()).unwrap();
    let patience = Some(Duration::from_millis(300));
    stream.set_read_timeout(patience).unwrap();
    stream
}

/// One byte there and back, or how it failed.
fn ask(stream: &mut TcpStream, byte: u8) -> Result<u8, ErrorKind> {
    let mut answer = [0];
    stream.write_all(&[byte]).map_err(|e| e.kind())?;
    stream.read_exact(&mut answer).map_err(|e| e.kind())?;
    Ok(answer[0])
}

const SILENT: Result<u8, ErrorKind> = Err(ErrorKind::WouldBlock);

#[test]
fn silenced_connections_stay_silent_while_new_ones_work() {
    let (_hub, link) = link();
    let mut old = connect(&link);
    assert_eq!(ask(&mut old, 1), Ok(2));
    link.silence_open();
    assert_eq!(ask(&mut old, 1), SILENT);
    assert_eq!(ask(&mut connect(&link), 1), Ok(2));
    link.heal();
    assert_eq!(ask(&mut old, 1), SILENT);
}

#[test]
fn a_cut_holds_bytes_back_until_it_heals() {
    let (_hub, link) = link();
    let mut open = connect(&link);
    assert_eq!(ask(&mut open, 1), Ok(2));
    link.set(LinkFaults {
        backward: Flow::Hold,
        ..LinkFaults::default()
    });
    assert_eq!(ask(&mut open, 5), SILENT);
    link.heal();
    let mut late = [0];
    open.read_exact(&mut late).unwrap();
    assert_eq!(late, [6]);
}

#[test]
fn refusing_closes_the_port_and_healing_opens_it_again() {
    let (_hub, link) = link();
    link.set(LinkFaults::refuse());
    let end = Instant::now() + Duration::from_secs(5);
    let refused = |e: std::io::Error| e.kind() == ErrorKind::ConnectionRefused;
    while !TcpStream::connect(link.address()).is_err_and(refused) {
        assert!(Instant::now() < end, "the port is still open");
    }
    link.heal();
    while TcpStream::connect(link.address()).is_err() {
        assert!(Instant::now() < end, "the port is still closed");
    }
    assert_eq!(ask(&mut connect(&link), 1), Ok(2));
}

#[test]
fn resets_reach_open_connections_and_count_bytes() {
    let (_hub, link) = link();
    let mut open = connect(&link);
    assert_eq!(ask(&mut open, 1), Ok(2));
    link.reset_open();
    assert_eq!(
        open.read(&mut [0]).unwrap_err().kind(),
        ErrorKind::ConnectionReset
    );

    link.set(LinkFaults {
        reset_after_backward_bytes: Some(2),
        ..LinkFaults::default()
    });
    let mut short = connect(&link);
    assert_eq!(ask(&mut short, 1), Ok(2));
    // The second byte is the last that passes; it may be overtaken by the reset.
    let _ = ask(&mut short, 1);
    assert!(ask(&mut short, 1).is_err());

    link.set(LinkFaults {
        accept: Accept::Reset,
        ..LinkFaults::default()
    });
    assert!(ask(&mut connect(&link), 1).is_err());
}

#[test]
fn delay_counts_each_way() {
    let (_hub, link) = link();
    link.set(LinkFaults {
        delay_ms: 30,
        ..LinkFaults::default()
    });
    let start = Instant::now();
    assert_eq!(ask(&mut connect(&link), 1), Ok(2));
    assert!(start.elapsed() >= Duration::from_millis(60));
}

#[test]
fn the_command_switches_faults_while_it_runs() {
    let process = Process::start(&["proxy", "--link", &format!("127.0.0.1:0={}", successor())]);
    let address: SocketAddr = process.ready["links"][0].as_str().unwrap().parse().unwrap();
    let post = |path: &str, body: &str| {
        let url = format!(
            "http://{}/{path}",
            process.ready["control"].as_str().unwrap()
        );
        agent(5_000).post(url).send(body).unwrap().status().as_u16()
    };
    let ask_new = || ask(&mut TcpStream::connect(address).unwrap(), 1);
    assert_eq!(ask_new(), Ok(2));
    assert_eq!(post("faults", r#"{"faults":{"accept":"reset"}}"#), 200);
    assert!(ask_new().is_err());
    assert_eq!(
        post("faults", r#"{"links":[1]}"#),
        400,
        "there is no such link"
    );
    assert_eq!(post("faults", "{}"), 200);
    assert_eq!(ask_new(), Ok(2));
}
