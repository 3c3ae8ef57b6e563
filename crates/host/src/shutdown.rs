//! Signals and the order to stop.

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Gives the order to stop.
#[derive(Clone, Debug)]
pub struct Stop(watch::Sender<bool>);

/// Waits for the order to stop.
#[derive(Clone, Debug)]
pub struct Stopped(watch::Receiver<bool>);

/// A connected pair.
pub fn channel() -> (Stop, Stopped) {
    let (tx, rx) = watch::channel(false);
    (Stop(tx), Stopped(rx))
}

impl Stop {
    /// Gives the order; later calls change nothing.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }
}

impl Stopped {
    /// Whether the order was given.
    pub fn is_stopped(&self) -> bool {
        *self.0.borrow()
    }

    /// Returns once the order was given, or its giver is gone.
    pub async fn wait(&mut self) {
        // An error means that the giver is gone, which is an order as well.
        let _ = self.0.wait_for(|stop| *stop).await;
    }
}

/// Gives the order at the first SIGTERM or SIGINT.
pub fn on_signals(stop: Stop) -> std::io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        stop.stop();
    });
    Ok(())
}
