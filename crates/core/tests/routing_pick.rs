//! What a router may pick, under any order of lists, picks, answers and refusals.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
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
    Pick {
        priority: u8,
        excluded: Vec<u8>,
    },
    End {
        call: usize,
        outcome: OutcomeClass,
        overloaded: bool,
        level: Option<u16>,
        load: u32,
    },
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

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        Just(OutcomeClass::Run),
        Just(OutcomeClass::NotRun),
        Just(OutcomeClass::Unknown),
    ];
    prop_oneof![
        1 => prop::collection::vec(listed(), 0..6).prop_map(Step::List),
        8 => (0..8_u8, prop::collection::vec(0..6_u8, 0..3))
            .prop_map(|(priority, excluded)| Step::Pick { priority, excluded }),
        6 => (0..20_usize, outcome, any::<bool>(), prop::option::of(0..=32_768_u16), 0..20_u32)
            .prop_map(|(call, outcome, overloaded, level, load)| {
                Step::End { call, outcome, overloaded, level, load }
            }),
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
    calls: Vec<(EndpointId, u64)>,
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
            Step::End {
                call,
                outcome,
                overloaded,
                level,
                load,
            } => {
                if call < self.calls.len() {
                    let (endpoint, incarnation) = self.calls.swap_remove(call);
                    self.end(&endpoint, incarnation, outcome, overloaded, level, load);
                }
            }
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
        self.calls.retain(|(endpoint, incarnation)| {
            known
                .get(endpoint)
                .is_some_and(|known| known.listed.incarnation == *incarnation)
        });
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
                let incarnation = known.listed.incarnation;
                self.calls.push((endpoint, incarnation));
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

    fn end(
        &mut self,
        endpoint: &EndpointId,
        incarnation: u64,
        outcome: OutcomeClass,
        overloaded: bool,
        level: Option<u16>,
        load: u32,
    ) {
        let level = level.map(AdmissionLevel::new);
        let observation = Observation {
            latency: Duration::from_millis(u64::from(load)),
            outcome,
            overloaded,
            load: Some(ReportedLoad {
                in_flight: load,
                limit: 4,
                queued: 0,
            }),
            level,
        };
        self.router.observe(self.now, endpoint, observation);
        let now = self.now;
        if let Some(known) = self.known.get_mut(endpoint)
            && known.listed.incarnation == incarnation
        {
            known.in_flight -= 1;
            known.closed = level.map(|level| (now, level)).or(known.closed);
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

#[test]
fn the_reason_for_no_pick_names_what_is_short() {
    // Name, endpoints, level heard from each, calls in flight at each, excluded, reason.
    let live = |name, connections| Listed {
        name,
        zone: 0,
        incarnation: 1,
        leaving: false,
        connections,
    };
    let leaving = |name| Listed {
        leaving: true,
        ..live(name, 1)
    };
    type Case = (
        &'static str,
        Vec<Listed>,
        Option<u16>,
        u32,
        &'static [u8],
        ResultCode,
    );
    let cases: [Case; 6] = [
        ("no endpoint", vec![], None, 0, &[], ResultCode::NoBackend),
        (
            "all leaving",
            vec![leaving(0), leaving(1)],
            None,
            0,
            &[],
            ResultCode::NoBackend,
        ),
        (
            "all excluded",
            vec![live(0, 1)],
            None,
            0,
            &[0],
            ResultCode::NoBackend,
        ),
        (
            "all full",
            vec![live(0, 1), live(1, 1)],
            None,
            1,
            &[],
            ResultCode::ConnectionLimit,
        ),
        (
            "one full, one leaving",
            vec![live(0, 1), leaving(1)],
            None,
            1,
            &[],
            ResultCode::ConnectionLimit,
        ),
        (
            "closed",
            vec![live(0, 2), live(1, 2)],
            Some(0),
            0,
            &[],
            ResultCode::RefusedByLevel,
        ),
    ];
    for (name, list, level, in_flight, excluded, expected) in cases {
        let mut harness = Harness::new();
        let names: Vec<u8> = list.iter().map(|listed| listed.name).collect();
        harness.list(list);
        for endpoint in names.iter().map(|name| id(*name)) {
            (0..in_flight).for_each(|_| harness.router.dispatched(harness.now, &endpoint));
            if level.is_some() {
                harness.router.dispatched(harness.now, &endpoint);
                harness.end_unchecked(&endpoint, level);
            }
        }
        let excluded: Vec<EndpointId> = excluded.iter().map(|name| id(*name)).collect();
        let request = PickRequest {
            key: key(3),
            excluded: &excluded,
        };
        let pick = harness.router.pick(harness.now, &mut harness.rng, &request);
        let Pick::None {
            reason,
            retry_after,
        } = pick
        else {
            panic!("{name}: {pick:?}");
        };
        assert_eq!(reason, expected, "{name}");
        assert!(
            retry_after >= Duration::from_millis(1),
            "{name}: {retry_after:?}"
        );
        assert!(
            retry_after <= Duration::from_millis(1_500),
            "{name}: {retry_after:?}"
        );
    }
}

impl Harness {
    fn end_unchecked(&mut self, endpoint: &EndpointId, level: Option<u16>) {
        let observation = Observation {
            latency: Duration::from_millis(1),
            outcome: OutcomeClass::NotRun,
            overloaded: true,
            load: None,
            level: level.map(AdmissionLevel::new),
        };
        self.router.observe(self.now, endpoint, observation);
    }
}

#[test]
fn a_refused_important_call_goes_to_the_sibling_that_still_admits() {
    let mut harness = Harness::new();
    let live = |name| Listed {
        name,
        zone: usize::from(name),
        incarnation: 1,
        leaving: false,
        connections: 9,
    };
    harness.list(vec![live(0), live(1)]);
    harness.router.dispatched(harness.now, &id(0));
    harness.end_unchecked(&id(0), Some(AdmissionLevel::CLOSED.number()));
    let request = PickRequest {
        key: key(0),
        excluded: &[],
    };
    for _ in 0..50 {
        let pick = harness.router.pick(harness.now, &mut harness.rng, &request);
        assert_eq!(pick, Pick::Endpoint(id(1)));
    }
}

#[test]
fn retry_after_of_a_closed_level_is_when_the_key_is_admitted_again() {
    let mut harness = Harness::new();
    harness.list(vec![Listed {
        name: 0,
        zone: 0,
        incarnation: 1,
        leaving: false,
        connections: 9,
    }]);
    harness.router.dispatched(harness.now, &id(0));
    harness.end_unchecked(&id(0), Some(AdmissionLevel::CLOSED.number()));
    for priority in 0..8 {
        let request = PickRequest {
            key: key(priority),
            excluded: &[],
        };
        let Pick::None { retry_after, .. } =
            harness.router.pick(harness.now, &mut harness.rng, &request)
        else {
            panic!("priority {priority} picked at a closed level");
        };
        let later = harness.now + retry_after;
        assert!(
            harness.router.can_pick(later, &request),
            "priority {priority} after {retry_after:?}"
        );
        let much_sooner = harness.now + retry_after / 2;
        assert!(
            !harness.router.can_pick(much_sooner, &request),
            "priority {priority}"
        );
    }
}
