//! The listener that callers, upstreams, operators and workers come in by.
#![allow(missing_docs, clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

use http::StatusCode;
use rosemarygauge::http::{HttpServer, Limits, handler, text};
use tokio::sync::watch;

/// Guards against: callers beyond the limit wait unseen in the kernel's queue until their
/// deadline, and an idle connection that ends frees no place.
#[test]
fn connections_beyond_the_limit_are_refused_at_once() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let limits = Limits {
        connections: 2,
        ..Limits::default()
    };
    let here = handler(Arc::new(()), |_, _| async { text(StatusCode::OK, "here") });
    let server = HttpServer::new("test", listener, limits, here);
    let (stop, stopped) = watch::channel(false);
    let callers = std::thread::spawn(move || {
        let mut kept: Vec<TcpStream> = (0..2).map(|_| ask(address)).collect();
        assert!(
            kept.iter_mut()
                .all(|caller| answer(caller).ends_with("here"))
        );
        let mut third = ask(address);
        let refusal = answer(&mut third);
        assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
        assert!(refusal.contains("retry-after: 1"), "{refusal}");
        kept.pop();
        // The server sees the end of a connection some time after its caller.
        while !answer(&mut ask(address)).ends_with("here") {}
        stop.send_replace(true);
    });
    runtime.block_on(server.run(stopped));
    callers.join().unwrap();
}

fn ask(address: SocketAddr) -> TcpStream {
    let mut caller = TcpStream::connect(address).unwrap();
    caller
        .write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        .unwrap();
    caller
}

/// One short answer.
fn answer(caller: &mut TcpStream) -> String {
    let mut buffer = [0; 1_024];
    let read = caller.read(&mut buffer).unwrap();
    String::from_utf8_lossy(&buffer[..read]).into_owned()
}

/// A planned stop comes at the moment at which a caller has connected and sent its
/// request, and the server has not accepted the connection yet. Closing the listener
/// resets what waits there, and the caller's connection ends without an answer.
#[test]
fn connections_that_wait_at_a_stop_are_answered() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    for round in 0..20 {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut callers: Vec<TcpStream> = (0..3)
            .map(|_| TcpStream::connect(listener.local_addr().unwrap()).unwrap())
            .collect();
        for caller in &mut callers {
            let request = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
            caller.write_all(request).unwrap();
        }
        let server = HttpServer::new(
            "test",
            listener,
            Limits::default(),
            handler(Arc::new(()), |_, _| async { text(StatusCode::OK, "here") }),
        );
        let (_stop, stopped) = watch::channel(true);
        runtime.block_on(server.run(stopped));
        for caller in &mut callers {
            let mut answer = String::new();
            let read = caller.read_to_string(&mut answer);
            assert!(
                read.is_ok() && answer.ends_with("here"),
                "{round}: {read:?} {answer:?}"
            );
        }
    }
}
