//! Reading the configuration from the platform while this sidecar is one of the readers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

use crate::configuration::Configuration;
use crate::events::Event;
use crate::log_event;
use crate::platform::{ConfigurationReading, Platform, PlatformError, Position};

/// First pause after a failure.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failure.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);
/// Longest wait for the answer to one reading.
const READ_LIMIT: Duration = Duration::from_millis(1_500);
/// Longest wait for the answer to one watch; the platform answers sooner when nothing changes.
const WATCH_LIMIT: Duration = Duration::from_millis(4_000);
/// Events that wait for the control task.
const WAITING_EVENTS: usize = 8;

/// What a reader learnt.
#[derive(Debug)]
pub(super) enum ReaderEvent {
    /// The platform holds this configuration.
    Configuration(Box<Configuration>),
    /// The platform answered that nothing is new.
    Unchanged,
    /// The platform can't be read.
    NoContact,
}

/// A running reader; dropping it ends it.
#[derive(Debug)]
pub(super) struct Reader {
    events: mpsc::Receiver<ReaderEvent>,
    _task: AbortOnDropHandle<()>,
}

impl Reader {
    /// Starts to read.
    pub(super) fn start<P: Platform>(platform: Arc<P>) -> Self {
        let (sender, events) = mpsc::channel(WAITING_EVENTS);
        let task = tokio::spawn(read_for_ever(platform, sender));
        Self {
            events,
            _task: AbortOnDropHandle::new(task),
        }
    }

    /// The next event. Cancel safe.
    pub(super) async fn next(&mut self) -> Option<ReaderEvent> {
        self.events.recv().await
    }
}

async fn read_for_ever<P: Platform>(platform: Arc<P>, events: mpsc::Sender<ReaderEvent>) {
    let mut position = None;
    let mut pause = FIRST_PAUSE;
    let mut lost_at: Option<Instant> = None;
    loop {
        let event = match read_once(&*platform, position).await {
            Ok(reading) => {
                pause = FIRST_PAUSE;
                if let Some(lost_at) = lost_at.take() {
                    let after_ms = lost_at.elapsed().as_millis();
                    log_event!(Event::StoreRegained, "after_ms={after_ms}");
                }
                position = Some(reading.position);
                match reading.configuration {
                    Some(configuration) => ReaderEvent::Configuration(Box::new(configuration)),
                    None => ReaderEvent::Unchanged,
                }
            }
            Err(PlatformError::HistoryGone) => {
                position = None;
                continue;
            }
            Err(error) => {
                position = None;
                if lost_at.is_none() {
                    lost_at = Some(Instant::now());
                    log_event!(Event::StoreLost, "error=\"{error}\"");
                }
                let jitter = rand::random_range(0.5..=1.0);
                if events.send(ReaderEvent::NoContact).await.is_err() {
                    return;
                }
                tokio::time::sleep(pause.mul_f64(jitter)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
                continue;
            }
        };
        if events.send(event).await.is_err() {
            return;
        }
    }
}

async fn read_once<P: Platform>(
    platform: &P,
    position: Option<Position>,
) -> Result<ConfigurationReading, PlatformError> {
    let timed_out = |_| PlatformError::Unreachable("timeout".to_owned());
    match position {
        Some(position) => {
            let watching = platform.watch_configuration(position);
            let read = tokio::time::timeout(WATCH_LIMIT, watching).await;
            read.map_err(timed_out)?
        }
        None => {
            let reading = platform.read_configuration();
            let read = tokio::time::timeout(READ_LIMIT, reading).await;
            read.map_err(timed_out)?
        }
    }
}
