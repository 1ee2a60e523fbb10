//! Phases of the orderly stop, as the listeners and connections of a sidecar receive them.

use tokio::sync::watch;

/// Phase of the orderly stop of a sidecar. Phases only advance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The sidecar is not stopping.
    #[default]
    Running,
    /// Each connection of a caller ends with the response to the last request that was taken from
    /// it. One that has none takes one more.
    Draining,
    /// Listeners close, and so do connections without a request in progress.
    Closing,
    /// The grace period is over: requests in progress are cut.
    Cutting,
}

/// Receives the phase of the stop.
#[derive(Clone, Debug)]
pub struct StopSignal(watch::Receiver<StopPhase>);

impl StopSignal {
    /// Creates the signal and the sender that advances its phase.
    #[must_use]
    pub fn channel() -> (watch::Sender<StopPhase>, Self) {
        let (sender, receiver) = watch::channel(StopPhase::default());
        (sender, Self(receiver))
    }

    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> StopPhase {
        *self.0.borrow()
    }

    /// Completes once the stop has reached a phase; never if the sender is dropped before.
    pub async fn reached(&mut self, phase: StopPhase) {
        if self.0.wait_for(|current| *current >= phase).await.is_err() {
            std::future::pending().await
        }
    }
}
