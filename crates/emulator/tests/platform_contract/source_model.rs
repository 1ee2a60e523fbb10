//! Model test of the reader's state machine against the store, both without I/O, under seeded random
//! faults.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use wharfquay_core::time::Timestamp;
use wharfquay_emulator::platform::keyspace::Keyspace;
use wharfquay_platform::PlatformError;
use wharfquay_platform::source::{
    ConfigurationSource, SourceChange, SourceEffect, SourceEvent, SourceInput, SourceSettings,
};
use wharfquay_platform::wire::WatchEvent;
use wharfquay_resources::kinds::Resource;
use wharfquay_resources::snapshot::Revision;

use crate::support::{overwrite_in, service_key};

const SEEDS: std::ops::Range<u64> = 0..400;
const STEPS: u32 = 300;
const LOG_CAPACITY: usize = 8;
const NAMES: [&str; 4] = ["a", "b", "c", "d"];
const TICK: Duration = Duration::from_millis(40);

/// Number of slots per service name.
type Configuration = BTreeMap<String, u32>;

/// A pending request of the reader to the store.
enum Request {
    List,
    Watch(Revision),
}

struct Model {
    seed: u64,
    random: Pcg64Mcg,
    now: Timestamp,
    store: Keyspace,
    /// All states that the store has had at each version; more than one after a restored backup.
    history: BTreeMap<Revision, Vec<Configuration>>,
    /// Older version from which responses are served; `None` for the current one.
    served: Option<Revision>,
    source: ConfigurationSource,
    request: Option<Request>,
    watch_reached: Option<Revision>,
    consumer: Option<(Revision, Configuration)>,
    older_reports: u32,
    snapshot_requested: bool,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut model = Self {
            seed,
            random: Pcg64Mcg::seed_from_u64(seed),
            now: Timestamp::ZERO,
            store: Keyspace::new(LOG_CAPACITY),
            history: BTreeMap::new(),
            served: None,
            source: ConfigurationSource::new(SourceSettings::default()),
            request: None,
            watch_reached: None,
            consumer: None,
            older_reports: 0,
            snapshot_requested: false,
        };
        model.record_state();
        let effects = model.source.start(model.now);
        model.perform(effects);
        model
    }

    fn random_percent(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn record_state(&mut self) {
        let states = self.history.entry(self.store.version()).or_default();
        states.push(configuration_of(&self.store));
    }

    fn write(&mut self) {
        let name = NAMES[self.random.random_range(0..NAMES.len())];
        let current = self
            .store
            .get(&service_key(name))
            .map(|object| object.version);
        match current {
            Some(version) if self.random_percent(30) => {
                self.store
                    .delete(&service_key(name), version)
                    .expect("current version");
            }
            _ => {
                let slots = self.random.random_range(1..1_000);
                overwrite_in(&mut self.store, name, slots, "model");
            }
        }
        self.record_state();
    }

    fn faulty_step(&mut self) {
        match self.random.random_range(0..100) {
            0..30 => self.write(),
            30..34 => self.served = Some(self.random_old_version()),
            34..40 => self.served = None,
            40..45 => self.fail(),
            45..48 => self.lose_watch_event(),
            48..50 => self.close_watch(),
            50 => self.restore_backup(),
            51..54 => self.expire_lease(),
            54..56 => self.request_snapshot(),
            _ => self.respond(),
        }
        self.advance_time(TICK);
    }

    fn random_old_version(&mut self) -> Revision {
        let back = self.random.random_range(0..6);
        Revision::new(self.store.version().number().saturating_sub(back))
    }

    /// Replaces the store by an older copy of itself, which takes longer than the resume limit.
    fn restore_backup(&mut self) {
        let version = self.random_old_version();
        self.store = self.store.as_of(version);
        self.served = None;
        self.close_watch();
        self.advance_time(SourceSettings::default().resume_limit + TICK);
    }

    /// Lets the reader's lease expire and reacquires it one tick later.
    fn expire_lease(&mut self) {
        let effects = self.source.stop();
        self.perform(effects);
        self.request = None;
        self.advance_time(TICK);
        let effects = self.source.start(self.now);
        self.perform(effects);
    }

    fn request_snapshot(&mut self) {
        self.snapshot_requested = true;
        let effects = self.source.request_snapshot(self.now);
        self.perform(effects);
    }

    fn advance_time(&mut self, time: Duration) {
        self.now = self.now + time;
        let effects = self.source.advance(self.now);
        self.perform(effects);
    }

    fn close_watch(&mut self) {
        if self.watch_reached.take().is_some() {
            self.handle_input(SourceInput::WatchEnded);
        }
    }

    fn lose_watch_event(&mut self) {
        if let Some(reached) = self.watch_reached {
            self.watch_reached = Some(Revision::new(reached.number() + 1));
        }
    }

    fn fail(&mut self) {
        let error = PlatformError::ConnectionLost {
            target: "model".to_owned(),
            detail: "cut".to_owned(),
        };
        match self.request.take() {
            Some(Request::List) => self.handle_input(SourceInput::ListFailed(error)),
            Some(Request::Watch(_)) => self.handle_input(SourceInput::WatchFailed(error)),
            None if self.watch_reached.take().is_some() => {
                self.handle_input(SourceInput::WatchFailed(error));
            }
            None => {}
        }
    }

    /// Lets the store respond to the pending request or send the next event of the open watch.
    fn respond(&mut self) {
        if self.request.is_none() && self.watch_reached.is_none() {
            return;
        }
        let served = match self.served {
            Some(version) => self.store.as_of(version),
            None => self.store.clone(),
        };
        match (self.request.take(), self.watch_reached) {
            (Some(Request::List), _) => self.handle_input(SourceInput::Listed(served.list())),
            (Some(Request::Watch(from)), _) => match served.events_after(from, 1) {
                Ok(_) => {
                    self.watch_reached = Some(from);
                    self.handle_input(SourceInput::WatchOpened);
                }
                Err(_) => self.handle_input(SourceInput::WatchTooOld),
            },
            (None, Some(reached)) => match served.events_after(reached, 1) {
                Ok(events) => {
                    let version = served.version();
                    let mut events = VecDeque::from(events);
                    let event = events
                        .pop_front()
                        .unwrap_or(WatchEvent::Bookmark { version });
                    self.watch_reached = Some(event.version().max(reached));
                    self.handle_input(SourceInput::WatchEvent(event));
                }
                Err(_) => self.close_watch(),
            },
            (None, None) => {}
        }
    }

    fn handle_input(&mut self, input: SourceInput) {
        let effects = self.source.handle(self.now, input, &mut self.random);
        self.perform(effects);
    }

    fn perform(&mut self, effects: Vec<SourceEffect>) {
        for effect in effects {
            match effect {
                SourceEffect::List => self.request = Some(Request::List),
                SourceEffect::OpenWatch { from } => self.request = Some(Request::Watch(from)),
                SourceEffect::CloseWatch => self.watch_reached = None,
                SourceEffect::Emit(event) => self.consume(event),
            }
        }
    }

    fn consume(&mut self, event: SourceEvent) {
        let seed = self.seed;
        match event {
            SourceEvent::Snapshot(snapshot) => {
                let before = self.consumer.as_ref().map(|(revision, _)| *revision);
                let repeated = before == Some(snapshot.revision) && self.snapshot_requested;
                let ahead = before < Some(snapshot.revision);
                assert!(ahead || repeated, "seed {seed}: revision decreased");
                self.snapshot_requested = false;
                let services = snapshot.resources.iter().map(name_and_slots);
                self.consumer = Some((snapshot.revision, services.collect()));
            }
            SourceEvent::Change {
                previous,
                revision,
                change,
            } => {
                let (reached, configuration) = self
                    .consumer
                    .as_mut()
                    .expect("the first event must be a snapshot");
                assert_eq!(*reached, previous, "seed {seed}: gap between revisions");
                assert!(previous < revision, "seed {seed}: revision decreased");
                *reached = revision;
                apply(configuration, change);
            }
            SourceEvent::Current { revision } => {
                let reached = self.consumer.as_ref().map(|(revision, _)| *revision);
                assert_eq!(
                    reached,
                    Some(revision),
                    "seed {seed}: current revision was not delivered"
                );
            }
            SourceEvent::OlderStore {
                seen,
                replied_revision,
            } => {
                assert!(
                    replied_revision < seen,
                    "seed {seed}: the reported store version is not older"
                );
                self.older_reports += 1;
            }
            SourceEvent::Unavailable { .. } | SourceEvent::DivergedStore { .. } => {}
        }
        self.check_consumer();
    }

    /// Checks that the consumer's configuration is one that the store had at that revision.
    fn check_consumer(&self) {
        let Some((revision, configuration)) = &self.consumer else {
            return;
        };
        let states = &self.history[revision];
        let known = states.contains(configuration);
        let seed = self.seed;
        assert!(
            known,
            "seed {seed}: {configuration:?} at {revision:?}, not in {states:?}"
        );
    }

    /// Checks that without faults the consumer catches up once the store is ahead of the highest version
    /// that the reader has seen.
    fn check_recovery(&mut self) {
        const HEALTHY_STEPS: u32 = 1_000;
        self.served = None;
        while self.store.version() <= self.source.highest_seen_revision() {
            self.write();
        }
        let expected = Some((self.store.version(), configuration_of(&self.store)));
        for _ in 0..HEALTHY_STEPS {
            if self.consumer == expected && !self.snapshot_requested {
                return;
            }
            self.respond();
            self.advance_time(TICK);
        }
        panic!(
            "seed {}: {:?} is not {expected:?}",
            self.seed, self.consumer
        );
    }
}

fn configuration_of(store: &Keyspace) -> Configuration {
    let objects = store.list().objects;
    let slots = |spec: &serde_json::Value| spec["slots"].as_u64().expect("slots") as u32;
    objects
        .iter()
        .map(|object| (object.key.name.clone(), slots(&object.spec)))
        .collect()
}

fn name_and_slots(resource: &Resource) -> (String, u32) {
    let Resource::Service(service) = resource else {
        panic!("only services are written");
    };
    (service.name.clone(), service.slots)
}

fn apply(configuration: &mut Configuration, change: SourceChange) {
    match change {
        SourceChange::Put(resource) => configuration.extend([name_and_slots(&resource)]),
        SourceChange::Delete(id) => {
            configuration.remove(&id.name);
        }
        other => panic!("only services are written: {other:?}"),
    }
}

#[test]
fn delivered_configurations_existed_in_the_store_and_revisions_never_decrease() {
    let mut older_reports = 0;
    for seed in SEEDS {
        let mut model = Model::new(seed);
        for _ in 0..STEPS {
            model.faulty_step();
        }
        model.check_recovery();
        older_reports += model.older_reports;
    }
    // Checks that the faults under test did occur.
    assert!(older_reports > 100, "{older_reports}");
}
