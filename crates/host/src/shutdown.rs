//! Signals and the order to stop.

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Gives the order to stop.
#[derive(Clone, Debug)]
pub struct StopHandle(watch::Sender<bool>);

/// Waits for the order to stop.
#[derive(Clone, Debug)]
pub struct StopSignal(watch::Receiver<bool>);

/// A connected pair.
pub fn channel() -> (StopHandle, StopSignal) {
    let (tx, rx) = watch::channel(false);
    (StopHandle(tx), StopSignal(rx))
}

impl StopHandle {
    /// Gives the order; later calls change nothing.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }
}

impl StopSignal {
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
pub fn stop_on_signals(stop: StopHandle) -> std::io::Result<()> {
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
