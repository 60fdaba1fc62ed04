//! Base of the stand-ins: JSON, HTTP/1.1, the record, the processes of the system.
//! Only the standard library is used.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum J {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<J>),
    Obj(Vec<(String, J)>),
}

impl J {
    pub fn get(&self, key: &str) -> &J {
        static NULL: J = J::Null;
        match self {
            J::Obj(fields) => fields.iter().find(|(k, _)| k == key).map_or(&NULL, |(_, v)| v),
            _ => &NULL,
        }
    }
    pub fn str(&self) -> &str {
        match self {
            J::Str(text) => text,
            _ => "",
        }
    }
    pub fn num(&self) -> Option<u64> {
        match self {
            J::Num(number) => Some(*number as u64),
            _ => None,
        }
    }
    pub fn parse(text: &[u8]) -> Option<J> {
        let mut at = 0;
        let value = parse_value(text, &mut at)?;
        skip_space(text, &mut at);
        (at == text.len()).then_some(value)
    }
}

impl std::fmt::Display for J {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            J::Null => write!(f, "null"),
            J::Bool(b) => write!(f, "{b}"),
            J::Num(n) if n.fract() == 0.0 => write!(f, "{}", *n as i64),
            J::Num(n) => write!(f, "{n}"),
            J::Str(s) => write!(f, "{}", quoted(s)),
            J::Arr(items) => {
                write!(f, "[")?;
                for (at, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if at > 0 { "," } else { "" })?;
                }
                write!(f, "]")
            }
            J::Obj(fields) => {
                write!(f, "{{")?;
                for (at, (key, value)) in fields.iter().enumerate() {
                    write!(f, "{}{}:{value}", if at > 0 { "," } else { "" }, quoted(key))?;
                }
                write!(f, "}}")
            }
        }
    }
}

pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn skip_space(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(|b| b.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn parse_value(text: &[u8], at: &mut usize) -> Option<J> {
    skip_space(text, at);
    match text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(text, at);
                match text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(J::Obj(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let J::Str(key) = parse_value(text, at)? else {
                            return None;
                        };
                        skip_space(text, at);
                        if text.get(*at)? != &b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, parse_value(text, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(text, at);
                match text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(J::Arr(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(text, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                match text.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return String::from_utf8(out).ok().map(J::Str);
                    }
                    b'\\' => {
                        *at += 1;
                        match text.get(*at)? {
                            b'n' => out.push(b'\n'),
                            b't' => out.push(b'\t'),
                            b'r' => out.push(b'\r'),
                            b'u' => {
                                let hex = std::str::from_utf8(text.get(*at + 1..*at + 5)?).ok()?;
                                let code = u32::from_str_radix(hex, 16).ok()?;
                                let mut buf = [0; 4];
                                out.extend(char::from_u32(code)?.encode_utf8(&mut buf).bytes());
                                *at += 4;
                            }
                            other => out.push(*other),
                        }
                        *at += 1;
                    }
                    byte => {
                        out.push(*byte);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let from = *at;
            while text.get(*at).is_some_and(|b| b.is_ascii_alphanumeric() || b"+-.".contains(b)) {
                *at += 1;
            }
            match std::str::from_utf8(&text[from..*at]).ok()? {
                "true" => Some(J::Bool(true)),
                "false" => Some(J::Bool(false)),
                "null" => Some(J::Null),
                word => word.parse().ok().map(J::Num),
            }
        }
    }
}

// ---------------------------------------------------------------- record and time

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

pub fn open_record(path: &Path) {
    let file = File::create(path).expect("the record can be written");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
}

/// Milliseconds since the record was opened.
pub fn now_ms() -> u64 {
    RECORD.get().map_or(0, |(_, since)| since.elapsed().as_millis() as u64)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A line of the record, also printed if it is about the whole.
pub fn note(line: &str) {
    if let Some((file, _)) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:>8} ms  {line}", now_ms());
    }
}

pub fn say(line: &str) {
    println!("{line}");
    note(line);
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

pub fn sleep_until(ms: u64) {
    sleep_ms(ms.saturating_sub(now_ms()));
}

// ---------------------------------------------------------------- HTTP

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

type Head = (String, BTreeMap<String, String>, Vec<u8>);

fn read_message(rdr: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let mut first = String::new();
    if rdr.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if rdr.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    rdr.read_exact(&mut body)?;
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

/// Serves HTTP/1.1 with a thread for each connection.
pub fn serve(listener: TcpListener, answer: impl Fn(Request) -> (u16, String) + Send + Sync + 'static) {
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut wtr) = stream.try_clone() else { return };
                let mut rdr = BufReader::new(stream);
                while let Ok(Some((first, headers, body))) = read_message(&mut rdr) {
                    let mut words = first.split(' ');
                    let method = words.next().unwrap_or("").to_owned();
                    let path = words.next().unwrap_or("").to_owned();
                    let (status, text) = answer(Request { method, path, headers, body });
                    if status == 0 {
                        // The answer is lost with its channel.
                        return;
                    }
                    let reply = format!(
                        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{text}",
                        text.len()
                    );
                    if wtr.write_all(reply.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// A client's connection that is kept open.
pub struct Client {
    to: SocketAddr,
    open: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(to: SocketAddr) -> Self {
        Self { to, open: None }
    }

    /// Sends a request and reads its answer; none if the connection broke or the time was over.
    pub fn call(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        extra: &str,
        body: &str,
        limit_ms: u64,
    ) -> Option<(u16, Vec<u8>)> {
        let answer = self.try_call(method, host, path, extra, body, limit_ms);
        if answer.is_none() {
            self.open = None;
        }
        answer
    }

    fn try_call(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        extra: &str,
        body: &str,
        limit_ms: u64,
    ) -> Option<(u16, Vec<u8>)> {
        let limit = Duration::from_millis(limit_ms.max(1));
        if self.open.is_none() {
            let stream = TcpStream::connect_timeout(&self.to, limit).ok()?;
            let _ = stream.set_nodelay(true);
            self.open = Some(BufReader::new(stream));
        }
        let open = self.open.as_mut()?;
        open.get_ref().set_read_timeout(Some(limit)).ok()?;
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n{extra}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        open.get_mut().write_all(text.as_bytes()).ok()?;
        let (first, headers, body) = read_message(open).ok()??;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        if headers.get("connection").is_some_and(|c| c.eq_ignore_ascii_case("close")) {
            self.open = None;
        }
        Some((status, body))
    }
}

// ---------------------------------------------------------------- the processes of the system

pub struct Process {
    role: &'static str,
    pub name: String,
    folder: PathBuf,
    settings: String,
    pub child: Option<Child>,
    starts: usize,
}

impl Process {
    pub fn new(role: &'static str, name: &str, folder: &Path, settings: String) -> Self {
        Self { role, name: name.to_owned(), folder: folder.to_owned(), settings, child: None, starts: 0 }
    }

    /// Starts the program as the deploy file does; the settings file is named in the environment.
    pub fn start(&mut self) {
        let file = self.folder.join(format!("{}.json", self.name));
        let first = self.starts == 0;
        let text = self.settings.replace("\"bootstrap\":true", if first { "\"bootstrap\":true" } else { "\"bootstrap\":false" });
        std::fs::write(&file, text).unwrap();
        let log = File::create(self.folder.join(format!("{}-{}.log", self.name, self.starts))).unwrap();
        let program = std::env::var("PROGRAM").unwrap_or_else(|_| "target/release/rosemarygauge".to_owned());
        let child = Command::new(program)
            .args(["platform", self.role])
            .env("ROSEMARYGAUGE_CONFIG", &file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .expect("the program of the deploy file is built");
        self.child = Some(child);
        self.starts += 1;
        // A script that is ended early kills what is listed here.
        let pids = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("pids"));
        if let (Ok(mut pids), Some(child)) = (pids, &self.child) {
            let _ = writeln!(pids, "{}", child.id());
        }
        note(&format!("platform: {} is started", self.name));
    }

    /// Whether it ended by itself.
    pub fn ended(&mut self) -> bool {
        matches!(self.child.as_mut().map(Child::try_wait), Some(Ok(Some(_))))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

// ---------------------------------------------------------------- a TCP proxy

struct Pair {
    streams: [TcpStream; 2],
}

/// Forwards connections, which can be reset.
pub struct Proxy {
    pairs: Arc<Mutex<Vec<Pair>>>,
}

impl Proxy {
    pub fn start(listen: SocketAddr, to: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen).expect("the address of a proxy is free");
        let pairs: Arc<Mutex<Vec<Pair>>> = Arc::default();
        let known = Arc::clone(&pairs);
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect_timeout(&to, Duration::from_millis(500)) else {
                    continue;
                };
                let _ = near.set_nodelay(true);
                let _ = far.set_nodelay(true);
                let clone = |s: &TcpStream| s.try_clone().unwrap();
                for (from, into) in [(clone(&near), clone(&far)), (clone(&far), clone(&near))] {
                    std::thread::spawn(move || pump(from, into));
                }
                known.lock().unwrap().push(Pair { streams: [near, far] });
            }
        });
        Self { pairs }
    }

    /// Ends all open connections. Bytes that are on their way are lost.
    pub fn reset(&self) -> usize {
        let pairs = std::mem::take(&mut *self.pairs.lock().unwrap());
        for pair in &pairs {
            for stream in &pair.streams {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
        pairs.len()
    }
}

fn pump(mut from: TcpStream, mut into: TcpStream) {
    let mut buf = [0; 16_384];
    loop {
        let Ok(count) = from.read(&mut buf) else { break };
        if count == 0 || into.write_all(&buf[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = into.shutdown(std::net::Shutdown::Both);
}
