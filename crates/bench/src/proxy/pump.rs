//! One direction of a TCP connection: a reader assigns each chunk a due time, and a writer sends it
//! then.

use std::{io, time::Duration};

use bytes::Bytes;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{ReadHalf, WriteHalf},
    sync::{mpsc, watch},
    time::{Instant, sleep, sleep_until},
};

use super::rules::{Direction, Rules};

/// Maximum size of a chunk.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks queued between reader and writer.
const MAX_QUEUED_CHUNKS: usize = 256;
/// Extra delay of a lost chunk, as by a TCP retransmission.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);

/// Rules and state that hold back one direction of a connection.
pub(crate) struct Throttle {
    pub(crate) direction: Direction,
    pub(crate) number: u64,
    pub(crate) rules: watch::Receiver<Rules>,
    pub(crate) silenced_up_to: watch::Receiver<u64>,
    pub(crate) seed: u64,
}

/// Result of a read.
enum Content {
    Bytes(Bytes),
    End,
    Reset,
}

struct Chunk {
    due: Instant,
    content: Content,
}

/// Copies bytes up to and including the end of the stream; returns an error for a reset.
pub(crate) async fn run(
    from: ReadHalf<'_>,
    to: WriteHalf<'_>,
    mut throttle: Throttle,
) -> io::Result<()> {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let rules = throttle.rules.clone();
    let rng = SmallRng::seed_from_u64(throttle.seed);
    let ((), written) = tokio::join!(read(from, tx, rules, rng), write(to, rx, &mut throttle));
    written
}

async fn read(
    mut from: ReadHalf<'_>,
    tx: mpsc::Sender<Chunk>,
    rules: watch::Receiver<Rules>,
    mut rng: SmallRng,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let content = match from.read(&mut buf).await {
            Ok(0) => Content::End,
            Ok(n) => Content::Bytes(Bytes::copy_from_slice(&buf[..n])),
            Err(_) => Content::Reset,
        };
        let is_last = !matches!(content, Content::Bytes(_));
        let due = Instant::now() + random_delay(&rules.borrow(), &mut rng);
        if tx.send(Chunk { due, content }).await.is_err() || is_last {
            return;
        }
    }
}

fn random_delay(rules: &Rules, rng: &mut SmallRng) -> Duration {
    let jitter = match rules.jitter_us {
        0 => 0,
        max => rng.random_range(0..=max),
    };
    let delay = Duration::from_micros(rules.delay_us + jitter);
    match rules.loss > 0.0 && rng.random_bool(rules.loss.min(1.0)) {
        true => delay + RETRANSMISSION_DELAY,
        false => delay,
    }
}

async fn write(
    mut to: WriteHalf<'_>,
    mut rx: mpsc::Receiver<Chunk>,
    throttle: &mut Throttle,
) -> io::Result<()> {
    while let Some(chunk) = rx.recv().await {
        sleep_until(chunk.due).await;
        throttle.wait_until_open().await;
        let bytes = match chunk.content {
            Content::Bytes(bytes) => bytes,
            Content::End => {
                // Errors are ignored: the peer may have closed already.
                let _ = to.shutdown().await;
                return Ok(());
            }
            Content::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
        };
        let rate = throttle.rules.borrow().rate;
        if rate > 0 {
            let seconds = bytes.len() as f64 / rate as f64;
            sleep(Duration::from_secs_f64(seconds)).await;
        }
        if to.write_all(&bytes).await.is_err() {
            // The other direction reads the reset and forwards it under its own rules.
            return Ok(());
        }
    }
    Ok(())
}

impl Throttle {
    /// Waits until this direction may pass data; never returns for a silenced connection.
    async fn wait_until_open(&mut self) {
        let direction = self.direction;
        let number = self.number;
        // Fails only if the proxy has been dropped, which aborts this task.
        let _ = self.rules.wait_for(|r| !r.cut.blocks(direction)).await;
        let _ = self.silenced_up_to.wait_for(|last| *last < number).await;
    }
}
