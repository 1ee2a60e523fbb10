//! Reading the configuration from the platform while this sidecar is one of the readers.

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

/// First pause after a failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after a failure.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// Longest wait for the answer to one reading.
const READ_LIMIT: Duration = Duration::from_millis(1_500);
/// Longest wait of one watch where its answers need not confirm the configuration; the platform's history is far
/// longer.
const LONGEST_WATCH: Duration = Duration::from_millis(3_000);
/// Time that the answer to a watch may take beyond its wait.
const WATCH_SLACK: Duration = Duration::from_millis(1_000);
/// Longest pause between two searches for a first configuration.
const SEARCH_PAUSE: Duration = Duration::from_millis(300);
/// Events that wait for the control task.
const WAITING_EVENTS: usize = 8;

/// What a reader learnt. Times are those at which the platform was asked, none where its answer may be stale.
#[derive(Debug)]
pub(super) enum ReaderEvent {
    /// The platform holds this configuration.
    Configuration(Box<Configuration>, Option<Timestamp>),
    /// The platform answered that nothing is new since the last configuration.
    Unchanged(Timestamp),
    /// The platform can't be read.
    NoContact,
}

/// How the platform is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadingMode {
    /// Until there is a configuration, which may be seconds old: for a sidecar that has just started.
    Once,
    /// The newest configuration and all that follow.
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

/// A running reader; dropping it ends it.
#[derive(Debug)]
pub(super) struct Reader {
    mode: ReadingMode,
    events: mpsc::Receiver<ReaderEvent>,
    _task: AbortOnDropHandle<()>,
}

impl Reader {
    /// Starts to read.
    pub(super) fn start<P: Platform>(
        platform: Arc<P>,
        mode: ReadingMode,
        confirmation: Arc<Confirmation>,
    ) -> Self {
        let (sender, events) = mpsc::channel(WAITING_EVENTS);
        let task = match mode {
            ReadingMode::Once => tokio::spawn(read_until_found(platform, sender, confirmation)),
            ReadingMode::Follow => tokio::spawn(read_for_ever(platform, sender, confirmation)),
        };
        Self {
            mode,
            events,
            _task: AbortOnDropHandle::new(task),
        }
    }

    /// How it reads.
    pub(super) const fn mode(&self) -> ReadingMode {
        self.mode
    }

    /// The next event. Cancel safe.
    pub(super) async fn next(&mut self) -> Option<ReaderEvent> {
        self.events.recv().await
    }
}

/// Asks for the configuration until there is one, then waits to be ended.
async fn read_until_found<P: Platform>(
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
        let event = match tokio::time::timeout(READ_LIMIT, reading).await {
            Ok(Ok(reading)) => reading
                .configuration
                .map(|found| ReaderEvent::Configuration(Box::new(found), requested_at)),
            Ok(Err(_)) | Err(_) => Some(ReaderEvent::NoContact),
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
        tokio::time::sleep(SEARCH_PAUSE.mul_f64(jitter)).await;
    }
}

async fn read_for_ever<P: Platform>(
    platform: Arc<P>,
    events: mpsc::Sender<ReaderEvent>,
    confirmation: Arc<Confirmation>,
) {
    let watch = confirmation.watch_limit().unwrap_or(LONGEST_WATCH);
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
                if events.send(ReaderEvent::NoContact).await.is_err() {
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
            let read = tokio::time::timeout(wait + WATCH_SLACK, watching).await;
            read.map_err(timed_out)?
        }
        None => {
            let reading = platform.read_configuration(Freshness::Latest);
            let read = tokio::time::timeout(READ_LIMIT, reading).await;
            read.map_err(timed_out)?
        }
    }
}
