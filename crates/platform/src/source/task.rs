//! The task that drives a reader with a client.

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

/// Events that may wait for the consumer. A consumer that falls further behind holds up the watch.
const EVENT_CAPACITY: usize = 256;

/// A reader at work; dropping it stops the reader.
#[derive(Debug)]
pub struct RunningSource {
    events: mpsc::Receiver<SourceEvent>,
    snapshot_wanted: Arc<Notify>,
    task: JoinHandle<()>,
}

impl RunningSource {
    /// The next event. Cancel safe. `None` only after the task has ended, which it does not do by
    /// itself.
    pub async fn next(&mut self) -> Option<SourceEvent> {
        self.events.recv().await
    }

    /// Asks for a whole snapshot, also of the revision delivered last. It is delivered once the
    /// store answers with that revision or a higher one.
    pub fn request_snapshot(&self) {
        self.snapshot_wanted.notify_one();
    }
}

impl Drop for RunningSource {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a reader that reads all the time.
#[must_use]
pub fn spawn(client: Arc<Client>, settings: SourceSettings) -> RunningSource {
    run(client, settings, None)
}

/// Starts a reader that reads while it holds one of its zone's leases.
///
/// What it has seen and delivered stays known while it doesn't read.
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
    let snapshot_wanted = Arc::new(Notify::new());
    let driver = Driver {
        client,
        clock,
        snapshot_wanted: Arc::clone(&snapshot_wanted),
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
        snapshot_wanted,
        task,
    }
}

/// The consumer has dropped its end.
struct ConsumerGone;

/// The source, its watch and its consumer.
struct Driver {
    client: Arc<Client>,
    clock: Clock,
    source: ConfigurationSource,
    watch: Option<WatchStream>,
    /// The consumer wants a whole snapshot.
    snapshot_wanted: Arc<Notify>,
    /// The consumer was told that no lease can be asked for.
    lease_unavailable: bool,
    /// Effects not yet performed.
    effects: VecDeque<SourceEffect>,
    sender: mpsc::Sender<SourceEvent>,
}

impl Driver {
    async fn run(mut self) {
        // Ends when the consumer is gone.
        let _ = self.read().await;
    }

    /// Reads while the lease is held. A renewal without an answer can prolong reading by one call
    /// timeout at most.
    async fn run_leased(mut self, mut lease: ReaderLease) {
        let client = Arc::clone(&self.client);
        let clock = self.clock;
        loop {
            while !lease.may_read(clock.now()) {
                let renewal = renew(&client, &clock, &mut lease).await;
                if self.report_renewal(renewal).await.is_err() {
                    return;
                }
            }
            let kept = async {
                while lease.may_read(clock.now()) {
                    // A renewal that fails is repeated until the lease lapses.
                    renew(&client, &clock, &mut lease).await;
                }
            };
            tokio::select! {
                _ = self.read() => return,
                () = kept => self.stop(),
            }
        }
    }

    /// Tells the consumer once for each outage that no lease can be asked for.
    async fn report_renewal(&mut self, renewal: Renewal) -> Result<(), ConsumerGone> {
        match renewal {
            Renewal::Waited => {}
            Renewal::Answered => self.lease_unavailable = false,
            Renewal::Failed(error) => self.report_lease_failure(error),
        }
        self.emit_waiting().await
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

    /// Stops reading. Events that the consumer has not taken yet are kept for it.
    fn stop(&mut self) {
        log::info!("event=configuration_reader_stopped reason=lease_lapsed");
        self.source.stop();
        self.watch = None;
        self.effects
            .retain(|effect| matches!(effect, SourceEffect::Emit(_)));
    }

    /// Reads until the consumer is gone. When it is cancelled, no event is lost.
    async fn read(&mut self) -> Result<(), ConsumerGone> {
        let first = self.source.start(self.clock.now());
        self.effects.extend(first);
        loop {
            self.emit_waiting().await?;
            match self.effects.pop_front() {
                Some(effect) => self.perform(effect).await,
                None => self.wait_for_input().await,
            }
        }
    }

    /// Hands the events at the head of the effects to the consumer.
    async fn emit_waiting(&mut self) -> Result<(), ConsumerGone> {
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

    /// Waits for the next event of the watch, the source's next step or a wish of the consumer.
    async fn wait_for_input(&mut self) {
        let next = tokio::select! {
            () = self.snapshot_wanted.notified() => Next::SnapshotWanted,
            () = self.clock.sleep_until(self.source.next_wakeup()) => Next::Wakeup,
            input = next_of(&mut self.watch) => Next::Input(input),
        };
        let now = self.clock.now();
        match next {
            Next::SnapshotWanted => {
                let effects = self.source.request_snapshot(now);
                self.effects.extend(effects);
            }
            Next::Wakeup => {
                let effects = self.source.advance(now);
                self.effects.extend(effects);
            }
            Next::Input(input) => {
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

/// What a waiting driver goes on with.
enum Next {
    SnapshotWanted,
    Wakeup,
    Input(SourceInput),
}

/// The next input of the open watch; never when none is open.
async fn next_of(watch: &mut Option<WatchStream>) -> SourceInput {
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

/// What a step of a lease came to.
enum Renewal {
    /// Nothing was due yet.
    Waited,
    /// The platform granted or refused the lease.
    Answered,
    /// The platform did not answer.
    Failed(PlatformError),
}

/// Waits until the lease needs something, or does it.
async fn renew(client: &Client, clock: &Clock, lease: &mut ReaderLease) -> Renewal {
    let Some(request) = lease.advance(clock.now()) else {
        clock.sleep_until(lease.next_wakeup()).await;
        return Renewal::Waited;
    };
    let answer = client
        .acquire_lease(&request.name, &request.holder, request.ttl)
        .await;
    lease.answered(clock.now(), answer.as_ref().ok(), &mut rand::rng());
    match answer {
        Ok(_) => Renewal::Answered,
        Err(error) => Renewal::Failed(error),
    }
}
