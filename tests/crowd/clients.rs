//! Clients that send what they like and stay connected.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::watch;

/// Time for which a client waits to send more before it gives up and stays connected.
const SEND_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Every such client of a crowd sends its request whole.
const WHOLE_EVERY: usize = 10;

/// Connections that are open until it is dropped.
pub struct Crowd {
    clients: Vec<TcpStream>,
}

impl Crowd {
    /// Connects clients that act at the same time. A client that is refused or cut off stops.
    pub fn open(
        count: usize,
        address: SocketAddr,
        act: impl Fn(usize, &mut TcpStream) -> std::io::Result<()> + Sync,
    ) -> Self {
        let client = |n| {
            let mut stream = TcpStream::connect(address).ok()?;
            stream.set_write_timeout(Some(SEND_TIMEOUT)).unwrap();
            // The process under test may refuse the request at any time.
            let _ = act(n, &mut stream);
            Some(stream)
        };
        let client = &client;
        let clients: Vec<_> = std::thread::scope(|scope| {
            let started: Vec<_> = (0..count).map(|n| scope.spawn(move || client(n))).collect();
            let ended = started.into_iter().map(|client| client.join().unwrap());
            ended.flatten().collect()
        });
        watch::until_settled(address);
        Self { clients }
    }

    /// Connects clients that send a request up to its last byte but one and stay; some send it
    /// whole.
    pub fn stopping_short(count: usize, address: SocketAddr, request: &[u8]) -> Self {
        Self::open(count, address, |n, stream| {
            let left = usize::from(!n.is_multiple_of(WHOLE_EVERY));
            stream.write_all(&request[..request.len() - left])
        })
    }

    /// Connects clients that send a whole request and read no answer.
    pub fn sending(count: usize, address: SocketAddr, request: &[u8]) -> Self {
        Self::open(count, address, |_, stream| stream.write_all(request))
    }

    /// Returns the number of clients that could connect.
    pub fn len(&self) -> usize {
        self.clients.len()
    }
}

/// Returns a request from the end of its head on.
pub fn request(method: &str, path: &str, rest: &[u8]) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: h.example\r\ncontent-type: application/json\r\n\
         deadline-ms: 3000\r\n"
    );
    [head.as_bytes(), rest].concat()
}

/// Sends a request and reads the answer, which the connection's end completes. Fails if the
/// connection is reset before.
pub fn exchange(address: SocketAddr, request: &[u8]) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_write_timeout(Some(SEND_TIMEOUT))?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let mut rdr = stream.try_clone()?;
    let reader = std::thread::spawn(move || {
        let mut answer = Vec::new();
        rdr.read_to_end(&mut answer)
            .map(|_| String::from_utf8_lossy(&answer).into_owned())
    });
    // The answer may come, and the connection end, before all is sent.
    let _ = stream.write_all(request);
    reader.join().unwrap()
}
