//! Signals that stop the process or make it reload its settings.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that the process handles.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// The error of the operating system.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal to stop. Calls `reload` at each SIGHUP.
    pub async fn wait_for_stop(&mut self, reload: impl Fn()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(),
            }
        }
    }
}
