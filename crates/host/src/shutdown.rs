//! The stop signal of a process, given by code or by SIGTERM and SIGINT.

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Sends the stop signal. Dropping the last clone also ends [`StopSignal::wait`].
#[derive(Clone, Debug)]
pub struct StopHandle(watch::Sender<bool>);

/// Receives the stop signal.
#[derive(Clone, Debug)]
pub struct StopSignal(watch::Receiver<bool>);

/// Creates a connected pair of handle and signal.
pub fn channel() -> (StopHandle, StopSignal) {
    let (tx, rx) = watch::channel(false);
    (StopHandle(tx), StopSignal(rx))
}

impl StopHandle {
    /// Sends the signal; later calls have no effect.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }
}

impl StopSignal {
    /// Returns true if [`StopHandle::stop`] was called.
    pub fn is_stopped(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until the signal is sent or every handle is dropped.
    pub async fn wait(&mut self) {
        // An error means that every handle is dropped, which counts as the signal.
        let _ = self.0.wait_for(|stop| *stop).await;
    }
}

/// Sends the stop signal at the first SIGTERM or SIGINT.
///
/// # Errors
/// Returns the error of installing a signal handler.
pub fn stop_on_signals(stop: StopHandle) -> std::io::Result<()> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut sigint = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = sigterm.recv() => {}
            _ = sigint.recv() => {}
        }
        stop.stop();
    });
    Ok(())
}
