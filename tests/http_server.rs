//! The listener that callers, upstreams, operators and workers come in by.
#![allow(missing_docs, clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

use http::StatusCode;
use rosemarygauge::http::{HttpServer, Limits, handler, text};
use tokio::sync::watch;

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
        let server = HttpServer {
            name: "test",
            listener,
            limits: Limits::default(),
            handler: handler(Arc::new(()), |_, _| async { text(StatusCode::OK, "here") }),
        };
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
