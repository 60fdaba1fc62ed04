use std::io;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use super::link::Plan;
use super::{Flow, LinkFaults};

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Chunks on their way in one direction: 1 MiB, above what a delay of 100 ms
/// needs at 80 Mbit/s. When they are used up the pump stops reading.
const CHUNKS: usize = 64;

/// One direction of one connection, as the plan has it.
pub(super) struct Gate {
    plan: watch::Receiver<Plan>,
    number: u64,
    is_forward: bool,
}

impl Gate {
    pub(super) fn forward(plan: watch::Receiver<Plan>, number: u64) -> Self {
        Self {
            plan,
            number,
            is_forward: true,
        }
    }

    pub(super) fn backward(plan: watch::Receiver<Plan>, number: u64) -> Self {
        Self {
            plan,
            number,
            is_forward: false,
        }
    }

    /// Waits until bytes may pass; for ever on a silenced connection.
    async fn open(&mut self) {
        let (number, is_forward) = (self.number, self.is_forward);
        let passes = |plan: &Plan| {
            let flow = if is_forward {
                plan.faults.forward
            } else {
                plan.faults.backward
            };
            flow == Flow::Pass && number >= plan.silent_below
        };
        // The channel closes only with the link, which resets the connection.
        let _ = self.plan.wait_for(passes).await;
    }

    fn delay(&self) -> Duration {
        Duration::from_millis(self.plan.borrow().faults.delay_ms)
    }

    fn limit_bytes(&self) -> Option<u64> {
        let faults: &LinkFaults = &self.plan.borrow().faults;
        if self.is_forward {
            faults.reset_after_forward_bytes
        } else {
            faults.reset_after_backward_bytes
        }
    }
}

/// Passes bytes on until their end.
///
/// # Errors
/// A side broke, or the limit of bytes was reached; both sides are to be reset.
pub(super) async fn pump(
    gate: Gate,
    rd: &mut OwnedReadHalf,
    wr: &mut OwnedWriteHalf,
) -> io::Result<()> {
    let (tx, rx) = mpsc::channel(CHUNKS);
    let plan = gate.plan.clone();
    tokio::try_join!(read_side(plan, rd, tx), write_side(gate, wr, rx))?;
    Ok(())
}

async fn read_side(
    plan: watch::Receiver<Plan>,
    rd: &mut OwnedReadHalf,
    tx: mpsc::Sender<(Instant, Vec<u8>)>,
) -> io::Result<()> {
    loop {
        let mut chunk = vec![0; CHUNK_BYTES];
        let len = rd.read(&mut chunk).await?;
        if len == 0 {
            return Ok(());
        }
        chunk.truncate(len);
        let delay = Duration::from_millis(plan.borrow().faults.delay_ms);
        if tx.send((Instant::now() + delay, chunk)).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_side(
    mut gate: Gate,
    wr: &mut OwnedWriteHalf,
    mut rx: mpsc::Receiver<(Instant, Vec<u8>)>,
) -> io::Result<()> {
    let mut passed_bytes = 0;
    while let Some((due, chunk)) = rx.recv().await {
        sleep_until(due).await;
        gate.open().await;
        let left = gate
            .limit_bytes()
            .map(|limit| limit.saturating_sub(passed_bytes));
        let len = left.map_or(chunk.len(), |left| chunk.len().min(left as usize));
        wr.write_all(&chunk[..len]).await?;
        passed_bytes += len as u64;
        if len < chunk.len() || left == Some(len as u64) {
            return Err(limit_reached());
        }
    }
    sleep_until(Instant::now() + gate.delay()).await;
    gate.open().await;
    wr.shutdown().await
}

fn limit_reached() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, "limit of bytes reached")
}
