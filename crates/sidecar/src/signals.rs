//! The signals by which a process is told to stop or to read its settings again.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that the process listens to.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Begins to listen.
    ///
    /// # Errors
    /// What the operating system reported.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal to stop; calls `reload` at each hang-up.
    pub async fn wait_for_stop(&mut self, reload: impl Fn()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hang_up.recv() => reload(),
            }
        }
    }
}
