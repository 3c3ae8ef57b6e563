//! One direction of one TCP connection: a reader that stamps pieces, a writer that holds them.

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

/// Most bytes in one piece.
const PIECE: usize = 16 * 1024;
/// Pieces held between reader and writer.
const HELD: usize = 256;
/// What a lost piece of a stream costs, as a retransmission would.
const RETRANSMISSION: Duration = Duration::from_millis(200);

/// What holds one direction of one connection.
pub(crate) struct Valve {
    pub(crate) direction: Direction,
    pub(crate) number: u64,
    pub(crate) rules: watch::Receiver<Rules>,
    pub(crate) silent_to: watch::Receiver<u64>,
    pub(crate) seed: u64,
}

/// What a reader saw.
enum Content {
    Bytes(Bytes),
    End,
    Reset,
}

struct Piece {
    due: Instant,
    content: Content,
}

/// Passes bytes until the end of the stream, which it passes as well; an error for a reset.
pub(crate) async fn run(from: ReadHalf<'_>, to: WriteHalf<'_>, mut valve: Valve) -> io::Result<()> {
    let (tx, rx) = mpsc::channel(HELD);
    let rules = valve.rules.clone();
    let rng = SmallRng::seed_from_u64(valve.seed);
    let ((), written) = tokio::join!(read(from, tx, rules, rng), write(to, rx, &mut valve));
    written
}

async fn read(
    mut from: ReadHalf<'_>,
    tx: mpsc::Sender<Piece>,
    rules: watch::Receiver<Rules>,
    mut rng: SmallRng,
) {
    let mut buf = vec![0; PIECE];
    loop {
        let content = match from.read(&mut buf).await {
            Ok(0) => Content::End,
            Ok(n) => Content::Bytes(Bytes::copy_from_slice(&buf[..n])),
            Err(_) => Content::Reset,
        };
        let is_last = !matches!(content, Content::Bytes(_));
        let due = Instant::now() + hold(&rules.borrow(), &mut rng);
        if tx.send(Piece { due, content }).await.is_err() || is_last {
            return;
        }
    }
}

fn hold(rules: &Rules, rng: &mut SmallRng) -> Duration {
    let jitter = match rules.jitter_us {
        0 => 0,
        most => rng.random_range(0..=most),
    };
    let delay = Duration::from_micros(rules.delay_us + jitter);
    match rules.loss > 0.0 && rng.random_bool(rules.loss.min(1.0)) {
        true => delay + RETRANSMISSION,
        false => delay,
    }
}

async fn write(
    mut to: WriteHalf<'_>,
    mut rx: mpsc::Receiver<Piece>,
    valve: &mut Valve,
) -> io::Result<()> {
    while let Some(piece) = rx.recv().await {
        sleep_until(piece.due).await;
        valve.open().await;
        let bytes = match piece.content {
            Content::Bytes(bytes) => bytes,
            Content::End => {
                // A peer that is gone already needs no end of stream.
                let _ = to.shutdown().await;
                return Ok(());
            }
            Content::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
        };
        let rate = valve.rules.borrow().rate;
        if rate > 0 {
            let seconds = bytes.len() as f64 / rate as f64;
            sleep(Duration::from_secs_f64(seconds)).await;
        }
        if to.write_all(&bytes).await.is_err() {
            // The other direction reads the reset and passes it on under its own rules.
            return Ok(());
        }
    }
    Ok(())
}

impl Valve {
    /// Returns once this direction passes something; never for a silent connection.
    async fn open(&mut self) {
        let direction = self.direction;
        let number = self.number;
        // An error means that the proxy is gone, and with it this task.
        let _ = self.rules.wait_for(|r| !r.cut.blocks(direction)).await;
        let _ = self.silent_to.wait_for(|to| *to < number).await;
    }
}
