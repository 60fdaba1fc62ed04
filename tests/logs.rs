//! Log lines to a reader that stalls.
#![allow(missing_docs, clippy::unwrap_used)]

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use rosemarygauge::logs::{KindBound, Lines};
use tracing_subscriber::layer::{Layer, SubscriberExt};

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

/// A turn begins and a thousand tasks are placed within a moment. Each had its lines, and
/// the leader took longer to write them than to decide. Beyond a bound the lines of one
/// kind are left out and counted; other kinds, and warnings, have theirs.
#[test]
fn lines_of_one_kind_are_bounded_and_counted() {
    let (out, written) = channel();
    let (open, opened) = channel();
    open.send(()).unwrap();
    let lines = Lines::to(Pipe {
        open: opened,
        opened: false,
        out,
    });
    let layer = tracing_subscriber::fmt::layer()
        .json()
        .with_writer(lines.clone())
        .with_filter(KindBound::new(lines.clone()));
    tracing::subscriber::with_default(tracing_subscriber::registry().with(layer), || {
        for task in 0..1_500 {
            tracing::info!(task, "placed");
        }
        tracing::info!("another");
        for _ in 0..300 {
            tracing::warn!("a warning");
        }
    });
    lines.drain(Duration::from_secs(60));
    let text: Vec<u8> = written.try_iter().flatten().collect();
    let text = String::from_utf8(text).unwrap();
    let count = |what: &str| text.matches(what).count();
    // A machine that is busy may take some seconds for it.
    let placed = count("\"placed\"");
    assert!((250..=1_000).contains(&placed), "{placed}");
    assert_eq!(count("\"another\""), 1);
    assert_eq!(count("a warning"), 300);
}
