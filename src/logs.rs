//! Logs: short sentences on standard error, each with the prefix of its part; or, on
//! machines that collect them, JSON lines on standard output.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use tracing::callsite::Identifier;
use tracing::{Event, Level, Metadata};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::{Context, Filter, Layer, SubscriberExt};
use tracing_subscriber::registry::Registry;
use tracing_subscriber::util::SubscriberInitExt;

use crate::config::{LogFormat, LogSettings};

/// Lines that may wait for standard output. A reader that stalls costs at most this
/// many lines of some 200 bytes of memory; what comes beyond is dropped and counted.
const QUEUE_LINES: usize = 4_096;
/// Lines that wait are written together up to so many bytes, a usual pipe's size: a
/// write for each cost a busy leader more than the lines themselves.
const WRITE_BYTES: usize = 64 << 10;
/// The level of a process on collected logs, unless `RUST_LOG` says otherwise.
const DEFAULT_LEVEL: &str = "info";

/// Starts logging; a second call changes nothing.
pub fn start(settings: &LogSettings) {
    let filter = EnvFilter::try_new(&settings.level).unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_target(false);
    // An error means that logging was started before, as in a test.
    let _ = match settings.format {
        LogFormat::Text => lines.try_init(),
        LogFormat::Json => lines.json().try_init(),
    };
}

/// Starts logging JSON lines on standard output without ever waiting for it; a
/// second call changes nothing.
pub fn start_lines() {
    let filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_LEVEL));
    let out = STDOUT.get_or_init(|| Lines::to(io::stdout())).clone();
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(out.clone())
        .with_filter(KindBound::new(out));
    // An error means that logging was started before, as in a test.
    let _ = Registry::default().with(filter).with(lines).try_init();
}

/// Lines of one kind a second; those beyond are left out and counted. All tasks of
/// today's fleets have theirs but for a turn's first seconds. At 1,100 starts a second
/// the lines of each took a tenth of a leader's processor time.
const KIND_LINES_PER_S: u32 = 250;

/// Leaves out what one place in the code logs beyond [`KIND_LINES_PER_S`]; warnings and
/// errors pass. The next second's first line of that kind follows one that says how
/// many were left out.
#[derive(Debug)]
pub struct KindBound {
    out: Lines,
    began: Instant,
    kinds: Mutex<HashMap<Identifier, Kind>>,
}

/// One place in the code in the second that goes on.
#[derive(Debug, Default)]
struct Kind {
    second: u64,
    lines: u32,
    left_out: u64,
}

impl KindBound {
    /// A bound that tells its counts to `out`.
    pub fn new(out: Lines) -> Self {
        Self {
            out,
            began: Instant::now(),
            kinds: Mutex::default(),
        }
    }

    fn lets_pass(&self, second: u64, metadata: &'static Metadata<'static>) -> bool {
        if *metadata.level() <= Level::WARN {
            return true;
        }
        // A panic elsewhere leaves the map whole: each change is one step.
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let kind = kinds.entry(metadata.callsite()).or_default();
        if kind.second != second {
            if kind.left_out > 0 {
                self.say(metadata, kind.left_out);
            }
            *kind = Kind {
                second,
                ..Kind::default()
            };
        }
        let passes = kind.lines < KIND_LINES_PER_S;
        kind.lines += u32::from(passes);
        kind.left_out += u64::from(!passes);
        passes
    }

    fn say(&self, metadata: &Metadata, lines: u64) {
        let kind = metadata.name();
        let line = serde_json::json!({
            "level": "INFO", "message": "logs: lines of one kind were left out",
            "kind": kind, "lines": lines,
        });
        // It never fails: what finds no room is counted as dropped.
        let _ = writeln!(self.out.clone(), "{line}");
    }
}

impl<S> Filter<S> for KindBound {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        self.lets_pass(self.began.elapsed().as_secs(), event.metadata())
    }
}

/// Waits for the lines on their way, but no longer than [`FINISH`]: a process that ends
/// with lines in its queue loses the ones that say why it ends.
pub fn finish() {
    if let Some(lines) = STDOUT.get() {
        lines.drain(FINISH);
    }
}

/// Standard output, once it is written to.
static STDOUT: OnceLock<Lines> = OnceLock::new();

/// How long the end of a process waits for a reader of its last lines.
const FINISH: Duration = Duration::from_millis(300);
/// How often it looks whether they are written.
const FINISH_LOOK: Duration = Duration::from_millis(2);

/// Hands lines to a thread that writes them, and drops those for which there is no
/// room.
///
/// A write to a full pipe waits for its reader. On the thread that makes decisions
/// this stalls every caller, and leases run out, because a log collector hangs.
#[derive(Clone, Debug)]
pub struct Lines {
    queue: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    /// Lines that are queued and not written.
    waiting: Arc<AtomicU64>,
}

impl Lines {
    /// Lines to this writer, written by a thread of their own.
    pub fn to(writer: impl Write + Send + 'static) -> Self {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let waiting = Arc::new(AtomicU64::new(0));
        let (counted, left) = (Arc::clone(&dropped), Arc::clone(&waiting));
        let thread = std::thread::Builder::new()
            .name("logs".into())
            .spawn(move || write_lines(&lines, &counted, &left, writer));
        if let Err(err) = thread {
            eprintln!("logs: no thread to write them: {err}");
        }
        Self {
            queue,
            dropped,
            waiting,
        }
    }

    /// Waits until all lines are written, `limit` at most.
    pub fn drain(&self, limit: Duration) {
        let end = Instant::now() + limit;
        while self.waiting.load(Ordering::Acquire) > 0 && Instant::now() < end {
            std::thread::sleep(FINISH_LOOK);
        }
    }

    /// Lines dropped since the last one that said how many.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn write_lines(
    lines: &Receiver<Vec<u8>>,
    dropped: &AtomicU64,
    waiting: &AtomicU64,
    mut writer: impl Write,
) {
    while let Ok(mut text) = lines.recv() {
        let mut count = 1;
        while text.len() < WRITE_BYTES
            && let Ok(line) = lines.try_recv()
        {
            text.extend_from_slice(&line);
            count += 1;
        }
        let written = writer.write_all(&text).and_then(|()| {
            // After what was logged before them.
            match dropped.swap(0, Ordering::Relaxed) {
                0 => Ok(()),
                lost => writeln!(
                    writer,
                    "{{\"level\":\"WARN\",\"message\":\"logs: lines were dropped\",\"lines\":{lost}}}"
                ),
            }
        });
        waiting.fetch_sub(count, Ordering::AcqRel);
        // Nobody reads any more: there is nowhere left to say so.
        if written.is_err() {
            return;
        }
    }
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // Lines that were taken from the queue and wait for a writer that stalls count as
        // well, or the bound would be the queue and whatever was taken before.
        let waiting = self.waiting.fetch_add(1, Ordering::AcqRel);
        let sent = match waiting < QUEUE_LINES as u64 {
            true => self.queue.try_send(line.to_vec()),
            false => Err(TrySendError::Full(Vec::new())),
        };
        if let Err(err) = sent {
            self.waiting.fetch_sub(1, Ordering::AcqRel);
            if let TrySendError::Full(_) = err {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}
