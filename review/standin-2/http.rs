//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client that opens
//! a connection for each call.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// A handler returns `None` if the call gets no answer; the connection then closes.
pub type Handler = Arc<dyn Fn(&Request) -> Option<(u16, String)> + Send + Sync>;

pub fn serve(listener: TcpListener, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                let _ = connection(stream, &handler);
            });
        }
    });
}

fn connection(stream: TcpStream, handler: &Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader)? {
        let Some((status, body)) = handler(&request) else {
            return Ok(());
        };
        write!(
            writer,
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )?;
    }
    Ok(())
}

fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> std::io::Result<String> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn read_request(reader: &mut (impl BufRead + Read)) -> std::io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let path = words.next().unwrap_or("").to_owned();
    let body = read_body(reader, &headers)?;
    Ok(Some(Request {
        method,
        path,
        headers,
        body,
    }))
}

/// The bytes of a request.
pub fn request(method: &str, host: &str, path: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
         deadline-ms: 3000\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request; `None` if there is no whole answer in time.
pub fn send(to: SocketAddr, bytes: &str, timeout_ms: u64) -> Option<(u16, String)> {
    let timeout = Duration::from_millis(timeout_ms);
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(bytes.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers).ok()?;
    Some((status, body))
}

pub fn call(
    to: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout_ms: u64,
) -> Option<(u16, String)> {
    send(to, &request(method, host, path, body), timeout_ms)
}
