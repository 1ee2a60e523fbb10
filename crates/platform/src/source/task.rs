//! Task that drives a reader with a client.

use std::collections::VecDeque;
use std::sync::Arc;

use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;
use wharfquay_clock::Clock;

use super::event::{SourceEffect, SourceEvent, SourceInput};
use super::state::{ConfigurationSource, SourceSettings};
use crate::client::Client;
use crate::error::PlatformError;
use crate::lease::{ReaderLease, ReaderLeaseSettings};
use crate::watch::WatchStream;
use crate::wire::WatchEvent;

/// Capacity of the event channel. The watch is not read while the channel is full.
const EVENT_CAPACITY: usize = 256;

/// Handle of a running reader; dropping it stops the reader.
#[derive(Debug)]
pub struct RunningSource {
    events: mpsc::Receiver<SourceEvent>,
    snapshot_requested: Arc<Notify>,
    task: JoinHandle<()>,
}

impl RunningSource {
    /// Returns the next event. Cancel safe. Returns `None` only after the task terminated, which it
    /// does only when it panics.
    pub async fn next(&mut self) -> Option<SourceEvent> {
        self.events.recv().await
    }

    /// Requests a full snapshot, even of the revision delivered last. It is delivered once the store
    /// replies with that revision or a higher one.
    pub fn request_snapshot(&self) {
        self.snapshot_requested.notify_one();
    }
}

impl Drop for RunningSource {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a reader that reads without a lease.
#[must_use]
pub fn spawn(client: Arc<Client>, settings: SourceSettings) -> RunningSource {
    run(client, settings, None)
}

/// Starts a reader that reads only while it holds one of the leases of its zone.
///
/// While it doesn't read, it keeps the highest seen revision and the delivered state.
#[must_use]
pub fn spawn_leased(
    client: Arc<Client>,
    settings: SourceSettings,
    lease_settings: ReaderLeaseSettings,
) -> RunningSource {
    run(client, settings, Some(lease_settings))
}

fn run(
    client: Arc<Client>,
    settings: SourceSettings,
    lease_settings: Option<ReaderLeaseSettings>,
) -> RunningSource {
    let (sender, events) = mpsc::channel(EVENT_CAPACITY);
    let clock = Clock::start();
    let lease =
        lease_settings.map(|settings| ReaderLease::new(settings, clock.now(), &mut rand::rng()));
    let snapshot_requested = Arc::new(Notify::new());
    let driver = Driver {
        client,
        clock,
        snapshot_requested: Arc::clone(&snapshot_requested),
        lease_unavailable: false,
        source: ConfigurationSource::new(settings),
        watch: None,
        effects: VecDeque::new(),
        sender,
    };
    let task = tokio::spawn(async move {
        match lease {
            None => driver.run().await,
            Some(lease) => driver.run_leased(lease).await,
        }
    });
    RunningSource {
        events,
        snapshot_requested,
        task,
    }
}

/// An error that the consumer has dropped the event receiver.
struct ConsumerGone;

/// Drives the state machine with the client and delivers events to the consumer.
struct Driver {
    client: Arc<Client>,
    clock: Clock,
    source: ConfigurationSource,
    watch: Option<WatchStream>,
    /// Notified when the consumer requests a full snapshot.
    snapshot_requested: Arc<Notify>,
    /// True if the current outage of lease requests was reported to the consumer.
    lease_unavailable: bool,
    /// Effects that are not performed yet.
    effects: VecDeque<SourceEffect>,
    sender: mpsc::Sender<SourceEvent>,
}

impl Driver {
    async fn run(mut self) {
        // Returns only when the consumer is gone.
        let _ = self.read().await;
    }

    /// Reads while the lease is held. A renewal without a reply can extend reading beyond the lease by
    /// at most one call timeout.
    async fn run_leased(mut self, mut lease: ReaderLease) {
        let client = Arc::clone(&self.client);
        let clock = self.clock;
        loop {
            while !lease.may_read(clock.now()) {
                let step = renew(&client, &clock, &mut lease).await;
                if self.report_lease_step(step).await.is_err() {
                    return;
                }
            }
            let keep_lease = async {
                while lease.may_read(clock.now()) {
                    // A renewal that fails is retried until the lease expires.
                    renew(&client, &clock, &mut lease).await;
                }
            };
            tokio::select! {
                _ = self.read() => return,
                () = keep_lease => self.stop(),
            }
        }
    }

    /// Reports failed lease requests to the consumer, once per outage.
    async fn report_lease_step(&mut self, step: LeaseStep) -> Result<(), ConsumerGone> {
        match step {
            LeaseStep::Waited => {}
            LeaseStep::Replied => self.lease_unavailable = false,
            LeaseStep::Failed(error) => self.report_lease_failure(error),
        }
        self.emit_pending().await
    }

    fn report_lease_failure(&mut self, error: PlatformError) {
        if self.lease_unavailable {
            return;
        }
        self.lease_unavailable = true;
        let since = self.clock.now();
        let event = SourceEvent::Unavailable { since, error };
        self.effects.push_back(SourceEffect::Emit(event));
    }

    /// Stops reading. Events that were not delivered yet are kept.
    fn stop(&mut self) {
        log::info!("event=configuration_reader_stopped reason=lease_lapsed");
        self.source.stop();
        self.watch = None;
        self.effects
            .retain(|effect| matches!(effect, SourceEffect::Emit(_)));
    }

    /// Reads until the consumer is gone. Cancel safe: no event is lost.
    async fn read(&mut self) -> Result<(), ConsumerGone> {
        let first = self.source.start(self.clock.now());
        self.effects.extend(first);
        loop {
            self.emit_pending().await?;
            match self.effects.pop_front() {
                Some(effect) => self.perform(effect).await,
                None => self.wait_for_input().await,
            }
        }
    }

    /// Delivers the events at the front of the pending effects to the consumer.
    async fn emit_pending(&mut self) -> Result<(), ConsumerGone> {
        while matches!(self.effects.front(), Some(SourceEffect::Emit(_))) {
            let permit = self.sender.reserve().await.map_err(|_| ConsumerGone)?;
            if let Some(SourceEffect::Emit(event)) = self.effects.pop_front() {
                permit.send(event);
            }
        }
        Ok(())
    }

    async fn perform(&mut self, effect: SourceEffect) {
        match effect {
            SourceEffect::Emit(_) => self.effects.push_front(effect),
            SourceEffect::CloseWatch => self.watch = None,
            SourceEffect::List => {
                let input = match self.client.list().await {
                    Ok(list) => SourceInput::Listed(list),
                    Err(error) => SourceInput::ListFailed(error),
                };
                self.handle(input);
            }
            SourceEffect::OpenWatch { from } => {
                let input = match self.client.watch(from).await {
                    Ok(watch) => {
                        self.watch = Some(watch);
                        SourceInput::WatchOpened
                    }
                    Err(error) => watch_failure(error),
                };
                self.handle(input);
            }
        }
    }

    /// Waits for and handles the next event of the watch, the next step of the state machine or a
    /// request of the consumer.
    async fn wait_for_input(&mut self) {
        let next = tokio::select! {
            () = self.snapshot_requested.notified() => WakeReason::SnapshotRequested,
            () = self.clock.sleep_until(self.source.next_wakeup()) => WakeReason::Wakeup,
            input = next_watch_input(&mut self.watch) => WakeReason::Input(input),
        };
        let now = self.clock.now();
        match next {
            WakeReason::SnapshotRequested => {
                let effects = self.source.request_snapshot(now);
                self.effects.extend(effects);
            }
            WakeReason::Wakeup => {
                let effects = self.source.advance(now);
                self.effects.extend(effects);
            }
            WakeReason::Input(input) => {
                if !matches!(input, SourceInput::WatchEvent(_)) {
                    self.watch = None;
                }
                self.handle(input);
            }
        }
    }

    fn handle(&mut self, input: SourceInput) {
        let now = self.clock.now();
        let effects = self.source.handle(now, input, &mut rand::rng());
        self.effects.extend(effects);
    }
}

/// The reason for which a waiting driver wakes up.
enum WakeReason {
    SnapshotRequested,
    Wakeup,
    Input(SourceInput),
}

/// Returns the next input of the open watch; never completes when none is open.
async fn next_watch_input(watch: &mut Option<WatchStream>) -> SourceInput {
    match watch {
        Some(watch) => watch_input(watch.next().await),
        None => std::future::pending().await,
    }
}

fn watch_input(next: Option<Result<WatchEvent, PlatformError>>) -> SourceInput {
    match next {
        None => SourceInput::WatchEnded,
        Some(Ok(event)) => SourceInput::WatchEvent(event),
        Some(Err(error)) => watch_failure(error),
    }
}

fn watch_failure(error: PlatformError) -> SourceInput {
    match error {
        PlatformError::WatchTooOld { .. } => SourceInput::WatchTooOld,
        error => SourceInput::WatchFailed(error),
    }
}

/// Result of one step of a lease.
enum LeaseStep {
    /// No request was due; waited until the next one is.
    Waited,
    /// The platform replied, whether it granted the lease or not.
    Replied,
    /// The request failed.
    Failed(PlatformError),
}

/// Sends the lease request that is due, or waits until the next one is.
async fn renew(client: &Client, clock: &Clock, lease: &mut ReaderLease) -> LeaseStep {
    let Some(request) = lease.advance(clock.now()) else {
        clock.sleep_until(lease.next_wakeup()).await;
        return LeaseStep::Waited;
    };
    let outcome = client
        .acquire_lease(&request.name, &request.holder, request.ttl)
        .await;
    lease.handle_result(clock.now(), outcome.as_ref().ok(), &mut rand::rng());
    match outcome {
        Ok(_) => LeaseStep::Replied,
        Err(error) => LeaseStep::Failed(error),
    }
}
