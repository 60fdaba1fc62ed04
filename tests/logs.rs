//! Log lines to a reader that stalls.
#![allow(missing_docs, clippy::unwrap_used)]

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use rosemarygauge::logs::Lines;

/// A pipe whose reader takes nothing until it is told to.
struct Pipe {
    open: Receiver<()>,
    opened: bool,
    out: Sender<Vec<u8>>,
}

impl Write for Pipe {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        if !self.opened {
            self.open.recv().unwrap();
            self.opened = true;
        }
        self.out.send(line.to_vec()).unwrap();
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The log collector hangs and the pipe is full. Whoever logs goes on at once; lines that
/// find no room are dropped, and once the reader is back it is told how many.
#[test]
fn a_reader_that_stalls_holds_nobody_up() {
    let (open, opened) = channel();
    let (out, written) = channel();
    let mut lines = Lines::to(Pipe {
        open: opened,
        opened: false,
        out,
    });
    for line in 0..6_000 {
        lines.write_all(format!("{line}\n").as_bytes()).unwrap();
    }
    let dropped = lines.dropped();
    assert!((1_000..2_500).contains(&dropped), "{dropped}");
    open.send(()).unwrap();
    lines.drain(Duration::from_secs(60));
    let text: Vec<u8> = written.try_iter().flatten().collect();
    let text = String::from_utf8(text).unwrap();
    assert!(text.contains("logs: lines were dropped"));
    assert!(text.starts_with("0\n"));
}
