//! Reads the configuration from the platform while this sidecar is one of the readers.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

use wharfquay_core::time::Timestamp;

use crate::configuration::Configuration;
use crate::confirmation::Confirmation;
use crate::events::Event;
use crate::log_event;
use crate::platform::{ConfigurationReading, Freshness, Platform, PlatformError, Position};

/// First pause after a failure. It doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum pause after a failure.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum duration of one watch for a newer configuration if no time limit for key revocations is
/// set; with one, [`Confirmation::watch_limit`] applies. It is far shorter than the history that
/// the platform keeps, so the next watch can continue from the last position.
const MAX_WATCH_TIME: Duration = Duration::from_millis(3_000);
/// Time by which the reply to a watch may exceed the requested wait.
const WATCH_GRACE: Duration = Duration::from_millis(1_000);
/// Maximum pause between two reads while there is no configuration yet.
const MAX_SEARCH_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of events queued for the control task.
const EVENT_CAPACITY: usize = 8;

/// Result of a read. Times are those at which the request was sent, or `None` if the reply may be
/// stale.
#[derive(Debug)]
pub(super) enum ReaderEvent {
    /// The platform holds this configuration.
    Configuration(Box<Configuration>, Option<Timestamp>),
    /// The configuration has not changed since the last read.
    Unchanged(Timestamp),
    /// The platform can't be read.
    Unreachable,
}

/// Mode in which the platform is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadingMode {
    /// Read until there is a configuration, which may be seconds old. Used by a sidecar that has
    /// just started.
    Once,
    /// Read the newest configuration and follow its changes.
    Follow,
}

impl fmt::Display for ReadingMode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Once => "once",
            Self::Follow => "follow",
        })
    }
}

/// A running reader. Dropping it stops the reads.
#[derive(Debug)]
pub(super) struct Reader {
    mode: ReadingMode,
    events: mpsc::Receiver<ReaderEvent>,
    _task: AbortOnDropHandle<()>,
}

impl Reader {
    /// Starts a reader.
    pub(super) fn start<P: Platform>(
        platform: Arc<P>,
        mode: ReadingMode,
        confirmation: Arc<Confirmation>,
    ) -> Self {
        let (sender, events) = mpsc::channel(EVENT_CAPACITY);
        let task = match mode {
            ReadingMode::Once => {
                tokio::spawn(read_until_configured(platform, sender, confirmation))
            }
            ReadingMode::Follow => {
                tokio::spawn(follow_configuration(platform, sender, confirmation))
            }
        };
        Self {
            mode,
            events,
            _task: AbortOnDropHandle::new(task),
        }
    }

    /// Returns the mode of the reader.
    pub(super) const fn mode(&self) -> ReadingMode {
        self.mode
    }

    /// Returns the next event. Cancel safe.
    pub(super) async fn next(&mut self) -> Option<ReaderEvent> {
        self.events.recv().await
    }
}

/// Reads until there is a configuration, then waits until the reader is dropped.
async fn read_until_configured<P: Platform>(
    platform: Arc<P>,
    events: mpsc::Sender<ReaderEvent>,
    confirmation: Arc<Confirmation>,
) {
    let needs_confirmation = confirmation.watch_limit().is_some();
    let freshness = match needs_confirmation {
        true => Freshness::Latest,
        false => Freshness::MayBeStale,
    };
    loop {
        let requested_at = needs_confirmation.then(|| confirmation.now());
        let reading = platform.read_configuration(freshness);
        let event = match tokio::time::timeout(READ_TIMEOUT, reading).await {
            Ok(Ok(reading)) => reading
                .configuration
                .map(|found| ReaderEvent::Configuration(Box::new(found), requested_at)),
            Ok(Err(_)) | Err(_) => Some(ReaderEvent::Unreachable),
        };
        let is_found = matches!(event, Some(ReaderEvent::Configuration(..)));
        if let Some(event) = event
            && events.send(event).await.is_err()
        {
            return;
        }
        if is_found {
            return events.closed().await;
        }
        let jitter = rand::random_range(0.5..=1.0);
        tokio::time::sleep(MAX_SEARCH_PAUSE.mul_f64(jitter)).await;
    }
}

async fn follow_configuration<P: Platform>(
    platform: Arc<P>,
    events: mpsc::Sender<ReaderEvent>,
    confirmation: Arc<Confirmation>,
) {
    let watch = confirmation.watch_limit().unwrap_or(MAX_WATCH_TIME);
    let mut position = None;
    let mut pause = INITIAL_BACKOFF;
    let mut lost_at: Option<Instant> = None;
    loop {
        let requested_at = confirmation.now();
        let event = match read_once(&*platform, position, watch).await {
            Ok(reading) => {
                pause = INITIAL_BACKOFF;
                if let Some(lost_at) = lost_at.take() {
                    let after_ms = lost_at.elapsed().as_millis();
                    log_event!(Event::StoreRegained, "after_ms={after_ms}");
                }
                position = Some(reading.position);
                match reading.configuration {
                    Some(found) => ReaderEvent::Configuration(Box::new(found), Some(requested_at)),
                    None => ReaderEvent::Unchanged(requested_at),
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
                if events.send(ReaderEvent::Unreachable).await.is_err() {
                    return;
                }
                tokio::time::sleep(pause.mul_f64(jitter)).await;
                pause = (pause * 2).min(MAX_BACKOFF);
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
    wait: Duration,
) -> Result<ConfigurationReading, PlatformError> {
    let timed_out = |_| PlatformError::Unreachable("timeout".to_owned());
    match position {
        Some(position) => {
            let watching = platform.watch_configuration(position, wait);
            let read = tokio::time::timeout(wait + WATCH_GRACE, watching).await;
            read.map_err(timed_out)?
        }
        None => {
            let reading = platform.read_configuration(Freshness::Latest);
            let read = tokio::time::timeout(READ_TIMEOUT, reading).await;
            read.map_err(timed_out)?
        }
    }
}
