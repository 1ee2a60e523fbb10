//! What a router may pick, under any order of lists, picks, answers and refusals.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wharfquay_core::outcome::OutcomeClass;
use wharfquay_core::priority::{AdmissionKey, AdmissionLevel, Priority, Rank};
use wharfquay_core::routing::{
    Endpoint, EndpointId, EndpointState, Observation, Pick, PickRequest, ReportedLoad, Router,
    RouterSettings, Zone,
};
use wharfquay_core::time::Timestamp;

const SEED: u64 = 11;
const ZONES: [&str; 2] = ["ikeja", "yaba"];

#[derive(Clone, Debug)]
struct Listed {
    name: u8,
    zone: usize,
    incarnation: u64,
    leaving: bool,
    connections: u32,
}

#[derive(Clone, Debug)]
enum Step {
    List(Vec<Listed>),
    Pick { priority: u8, excluded: Vec<u8> },
    End(usize, Observation),
    RefusedAsLeaving(u8),
    ConnectionRefused(u8),
    Wait(u64),
}

/// What the test knows of one endpoint by itself.
#[derive(Clone, Debug)]
struct Known {
    listed: Listed,
    in_flight: u32,
    held_until: Timestamp,
    closed: Option<(Timestamp, AdmissionLevel)>,
}

fn listed() -> impl Strategy<Value = Listed> {
    (
        0..6_u8,
        0..2_usize,
        1..3_u64,
        prop::bool::weighted(0.3),
        1..4_u32,
    )
        .prop_map(|(name, zone, incarnation, leaving, connections)| Listed {
            name,
            zone,
            incarnation,
            leaving,
            connections,
        })
}

fn observation() -> impl Strategy<Value = Observation> {
    let outcomes = [
        OutcomeClass::Run,
        OutcomeClass::NotRun,
        OutcomeClass::Unknown,
    ];
    let outcome = prop::sample::select(outcomes.to_vec());
    let level = prop::option::of((0..=32_768_u16).prop_map(AdmissionLevel::new));
    (outcome, any::<bool>(), level, 0..20_u32).prop_map(|(outcome, overloaded, level, load)| {
        Observation {
            error_answer: false,
            latency: Duration::from_millis(u64::from(load)),
            outcome,
            overloaded,
            load: Some(ReportedLoad {
                in_flight: load,
                limit: 4,
                queued: 0,
            }),
            level,
        }
    })
}

fn step() -> impl Strategy<Value = Step> {
    let excluded = prop::collection::vec(0..6_u8, 0..3);
    prop_oneof![
        1 => prop::collection::vec(listed(), 0..6).prop_map(Step::List),
        8 => (0..8_u8, excluded).prop_map(|(priority, excluded)| Step::Pick { priority, excluded }),
        6 => (0..20_usize, observation()).prop_map(|(call, seen)| Step::End(call, seen)),
        1 => (0..6_u8).prop_map(Step::RefusedAsLeaving),
        1 => (0..6_u8).prop_map(Step::ConnectionRefused),
        2 => (0..3_000_u64).prop_map(Step::Wait),
    ]
}

fn id(name: u8) -> EndpointId {
    EndpointId::from(format!("slot-{name}"))
}

fn key(priority: u8) -> AdmissionKey {
    let priority = Priority::new(priority).unwrap_or(Priority::LOWEST);
    AdmissionKey::new(priority, Rank::from_number(7))
}

/// The router beside the test's own record of what it was told.
struct Harness {
    router: Router,
    settings: RouterSettings,
    rng: Pcg64Mcg,
    now: Timestamp,
    known: BTreeMap<EndpointId, Known>,
    calls: Vec<EndpointId>,
}

impl Harness {
    fn new() -> Self {
        let settings = RouterSettings::default();
        Self {
            router: Router::new(settings.clone(), Zone::from(ZONES[0])),
            settings,
            rng: Pcg64Mcg::seed_from_u64(SEED),
            now: Timestamp::from_millis(10_000),
            known: BTreeMap::new(),
            calls: Vec::new(),
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::List(list) => self.list(list),
            Step::Pick { priority, excluded } => self.pick(priority, &excluded),
            Step::End(call, seen) => self.end(call, seen),
            Step::RefusedAsLeaving(name) => {
                self.router.refused_as_leaving(self.now, &id(name));
                self.hold(name, self.settings.leaving_hold);
            }
            Step::ConnectionRefused(name) => {
                self.router.connection_refused(self.now, &id(name));
                self.hold(name, self.settings.connection_hold);
            }
            Step::Wait(millis) => self.now = self.now + Duration::from_millis(millis),
        }
    }

    fn list(&mut self, mut list: Vec<Listed>) {
        list.sort_by_key(|listed| listed.name);
        list.dedup_by_key(|listed| listed.name);
        let old = std::mem::take(&mut self.known);
        for listed in &list {
            let fresh = Known {
                listed: listed.clone(),
                in_flight: 0,
                held_until: Timestamp::ZERO,
                closed: None,
            };
            let same = old
                .get(&id(listed.name))
                .filter(|known| known.listed.incarnation == listed.incarnation);
            let known = same.map_or(fresh.clone(), |known| Known {
                listed: listed.clone(),
                ..known.clone()
            });
            self.known.insert(id(listed.name), known);
        }
        // Calls to an incarnation that is gone end with it.
        let known = &self.known;
        let goes_on =
            |endpoint: &EndpointId| known.get(endpoint).is_some_and(|it| it.in_flight > 0);
        self.calls.retain(goes_on);
        let endpoints = list.iter().map(|listed| Endpoint {
            id: id(listed.name),
            zone: Zone::from(ZONES[listed.zone]),
            incarnation: listed.incarnation,
            state: if listed.leaving {
                EndpointState::Leaving
            } else {
                EndpointState::Live
            },
            started_at: Some(Timestamp::from_millis(8_000)),
            slots: 4,
            connections: listed.connections,
        });
        self.router.set_endpoints(self.now, endpoints.collect());
    }

    fn pick(&mut self, priority: u8, excluded: &[u8]) {
        let excluded: Vec<EndpointId> = excluded.iter().map(|name| id(*name)).collect();
        let request = PickRequest {
            key: key(priority),
            excluded: &excluded,
        };
        let pick = self.router.pick(self.now, &mut self.rng, &request);
        let possible = self.router.can_pick(self.now, &request);
        match pick {
            Pick::Endpoint(endpoint) => {
                assert!(possible, "{endpoint} picked though nothing can be picked");
                self.check_picked(&endpoint, &request);
                self.router.dispatched(self.now, &endpoint);
                let known = self.known.get_mut(&endpoint).expect("checked before");
                known.in_flight += 1;
                self.calls.push(endpoint);
            }
            Pick::None {
                reason,
                retry_after,
            } => {
                assert!(!possible, "nothing picked though something can be");
                assert_eq!(reason.outcome(), OutcomeClass::NotRun);
                assert!(retry_after > Duration::ZERO, "{reason:?}");
                assert!(
                    !self.some_is_free(&request),
                    "live and free endpoint left out"
                );
            }
        }
    }

    fn check_picked(&self, endpoint: &EndpointId, request: &PickRequest<'_>) {
        let known = self.known.get(endpoint).expect("a listed endpoint");
        assert!(!known.listed.leaving, "{endpoint} is leaving");
        assert!(
            !request.excluded.contains(endpoint),
            "{endpoint} is excluded"
        );
        assert!(
            known.in_flight < known.listed.connections,
            "{endpoint} is full"
        );
        assert!(known.held_until <= self.now, "{endpoint} is held");
        if let Some((heard_at, level)) = known.closed
            && heard_at == self.now
        {
            assert!(
                level.admits(request.key),
                "{endpoint} just refused this key"
            );
        }
    }

    /// Whether some endpoint could take the call by everything that the test knows.
    fn some_is_free(&self, request: &PickRequest<'_>) -> bool {
        let reopened = |known: &Known| {
            known.closed.is_none_or(|(heard_at, level)| {
                level.admits(request.key) || self.now >= heard_at + self.settings.level_reopen
            })
        };
        self.known.iter().any(|(endpoint, known)| {
            !known.listed.leaving
                && !request.excluded.contains(endpoint)
                && known.in_flight < known.listed.connections
                && known.held_until <= self.now
                && reopened(known)
        })
    }

    fn end(&mut self, call: usize, seen: Observation) {
        if call >= self.calls.len() {
            return;
        }
        let endpoint = self.calls.swap_remove(call);
        self.router.observe(self.now, &endpoint, seen);
        let known = self
            .known
            .get_mut(&endpoint)
            .expect("calls end with their endpoint");
        known.in_flight -= 1;
        if let Some(level) = seen.level {
            known.closed = Some((self.now, level));
        }
    }

    fn hold(&mut self, name: u8, time: Duration) {
        let until = self.now + time;
        if let Some(known) = self.known.get_mut(&id(name)) {
            known.held_until = known.held_until.max(until);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn picks_respect_every_restriction(
        first in prop::collection::vec(listed(), 1..6),
        steps in prop::collection::vec(step(), 0..80),
    ) {
        let mut harness = Harness::new();
        harness.list(first);
        for step in steps {
            harness.apply(step);
        }
    }
}
