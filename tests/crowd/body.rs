//! The bodies that crowds send, each as the bytes that follow the request line and the host.

/// Largest body that an entry instance takes.
pub const MAX_JOB_BYTES: usize = 1 << 20;
/// Largest configuration, in bytes as it is stored; what is known of it takes less than 4 KiB
/// beside its document.
pub const MAX_DOCUMENT_BYTES: usize = (3 << 20) - (4 << 10);
/// Largest body that a control instance takes.
pub const MAX_CONTROL_BYTES: usize = 4 << 20;

/// Returns a job of this size that no worker can run, because its payload is too large.
pub fn job_text(bytes: usize) -> Vec<u8> {
    padded(b"{\"phases\":[{\"count\":1}],\"spec\":\"", b"\"}", bytes)
}

/// Returns a job of at most this size with as many empty steps as fit.
pub fn empty_steps(bytes: usize) -> Vec<u8> {
    repeated(b"{\"spec\":\"x\",\"phases\":[{}", b",{}", b"]}", bytes)
}

/// Returns a valid job of [`MAX_JOB_BYTES`] with as many steps and tasks as a job may have.
pub fn largest_job() -> Vec<u8> {
    let step = br#"{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":900}"#;
    let mut body = b"{\"spec\":\"x\",\"phases\":[".to_vec();
    body.extend_from_slice(&vec![step.to_vec(); 10_000].join(&b","[..]));
    body.extend_from_slice(b"]}");
    body.resize(MAX_JOB_BYTES, b' ');
    body
}

/// Returns a worker's report of at most this size with as many labels as fit.
pub fn many_labels(bytes: usize) -> Vec<u8> {
    let start = br#"{"service":"pool-a","address":"127.0.0.1:1","zone":"a","state":"ready","seq":1,"capacity":{"cpu":1,"mem_mb":1},"labels":["a""#;
    repeated(start, b",\"\"", b"]}", bytes)
}

/// Returns a worker's report of this size, most of it in a field that is not known.
pub fn padded_report(bytes: usize) -> Vec<u8> {
    let start = br#"{"service":"pool-a","address":"127.0.0.1:1","zone":"a","state":"ready","seq":1,"capacity":{"cpu":1,"mem_mb":1},"labels":["a","r1"],"machine":"m-x","note":""#;
    padded(start, b"\"}", bytes)
}

/// Returns a configuration of this size, most of it in a field that is not known.
pub fn padded_configuration(version: u64, bytes: usize) -> Vec<u8> {
    let mut configuration = crate::deployment::configuration();
    configuration["version"] = version.into();
    let text = configuration.to_string();
    let start = format!("{},\"note\":\"", text.strip_suffix('}').unwrap());
    padded(start.as_bytes(), b"\"}", bytes)
}

fn padded(start: &[u8], end: &[u8], bytes: usize) -> Vec<u8> {
    let mut body = start.to_vec();
    body.resize(bytes - end.len(), b'x');
    body.extend_from_slice(end);
    body
}

fn repeated(start: &[u8], item: &[u8], end: &[u8], bytes: usize) -> Vec<u8> {
    let count = (bytes - start.len() - end.len()) / item.len();
    let mut body = start.to_vec();
    body.extend_from_slice(&item.repeat(count));
    body.extend_from_slice(end);
    body
}

/// Returns the end of a request's head and its body, with its length announced.
pub fn announced(body: &[u8]) -> Vec<u8> {
    let mut sent = format!("content-length: {}\r\n\r\n", body.len()).into_bytes();
    sent.extend_from_slice(body);
    sent
}

/// Returns the end of a request's head and its body in chunks of this size.
pub fn chunked(body: &[u8], chunk_bytes: usize) -> Vec<u8> {
    let mut sent = b"transfer-encoding: chunked\r\n\r\n".to_vec();
    for chunk in body.chunks(chunk_bytes) {
        sent.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        sent.extend_from_slice(chunk);
        sent.extend_from_slice(b"\r\n");
    }
    sent.extend_from_slice(b"0\r\n\r\n");
    sent
}
