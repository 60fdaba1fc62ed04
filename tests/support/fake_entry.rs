use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// An HTTP server that answers as the test says, also wrongly or not at all.
pub struct FakeEntry {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<FakeRequest>>>,
}

/// A request it got.
#[derive(Clone)]
pub struct FakeRequest {
    /// Request line and headers.
    pub head: String,
    pub body: Vec<u8>,
}

impl FakeRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(": ")?;
            key.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }
}

impl FakeEntry {
    /// Sends what `answer` returns (head and body) and closes; none: only closes.
    pub fn start(answer: impl Fn(&FakeRequest) -> Option<String> + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (answer, log) = (Arc::new(answer), Arc::clone(&seen));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (answer, log) = (Arc::clone(&answer), Arc::clone(&log));
                thread::spawn(move || serve(stream, &*answer, &log));
            }
        });
        Self { address, seen }
    }

    pub fn seen(&self) -> Vec<FakeRequest> {
        self.seen.lock().unwrap().clone()
    }
}

/// A JSON answer.
pub fn reply(status: u16, headers: &str, body: &str) -> String {
    let len = body.len();
    format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {len}\r\nconnection: close\r\n{headers}\r\n{body}"
    )
}

fn serve(
    mut stream: TcpStream,
    answer: &dyn Fn(&FakeRequest) -> Option<String>,
    seen: &Mutex<Vec<FakeRequest>>,
) {
    let mut rdr = BufReader::new(stream.try_clone().unwrap());
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if rdr.read_line(&mut head).unwrap_or(0) == 0 {
            return;
        }
    }
    let mut request = FakeRequest {
        head,
        body: Vec::new(),
    };
    let len = request
        .header("content-length")
        .map_or(0, |len| len.parse().unwrap());
    request.body.resize(len, 0);
    if rdr.read_exact(&mut request.body).is_err() {
        return;
    }
    seen.lock().unwrap().push(request.clone());
    if let Some(text) = answer(&request) {
        let _ = stream.write_all(text.as_bytes());
    }
}
