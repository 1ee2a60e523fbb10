//! A simulated deployment of replicas, edges and callers under arbitrary faults. The invariants of
//! the claim protocol are checked after each step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use wharfquay_core::call::IdempotencyKey;
use wharfquay_core::idempotency::claim::coordinator::{
    ClaimedRequest, Coordinator, CoordinatorEffect, CoordinatorSettings, ExecutionOutcome,
};
use wharfquay_core::idempotency::claim::group::{Epoch, Group, Predecessor, ReplicaId};
use wharfquay_core::idempotency::claim::message::{
    Fetch, Fingerprint, Page, RecordedResponse, ReplicaReply, ReplicaRequest,
};
use wharfquay_core::idempotency::claim::replica::{PeerRequest, Replica, ReplicaSettings};
use wharfquay_core::idempotency::clock::{KeyWindow, UnixMillis};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::time::Timestamp;

pub(crate) const SKEW_MILLIS: u64 = 400;
pub(crate) const RETENTION_MILLIS: u64 = 6_000;
pub(crate) const POOL: usize = 6;
pub(crate) const EDGES: usize = 3;
/// Replicas and edges are distributed over the zones in turn.
pub(crate) const ZONES: usize = 3;
const START_MILLIS: u64 = 1_000_000;
/// Limit on messages in flight, which bounds the run time; beyond it the oldest are lost.
const MAX_IN_FLIGHT: usize = 300;

/// One step of a run. Indices are taken modulo the number of items.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// A caller sends a request with one of its keys through an edge.
    Call {
        edge: usize,
        key: usize,
        variant: u8,
    },
    /// A message in flight arrives; any one may be next.
    Deliver(usize),
    /// The oldest messages arrive in order.
    DeliverOldest(usize),
    Lose(usize),
    Duplicate(usize),
    /// The backend's response reaches the edge: 0 not run, 1 unknown, otherwise run.
    Complete {
        dispatch: usize,
        outcome: u8,
    },
    Advance(u64),
    /// A replica restarts, possibly on a machine with another clock.
    RestartReplica {
        replica: usize,
        offset: u64,
    },
    RestartEdge(usize),
    PauseReplica(usize),
    ResumeReplica(usize),
    PauseEdge(usize),
    ResumeEdge(usize),
    SetReplicaClock {
        replica: usize,
        offset: u64,
    },
    SetEdgeClock {
        edge: usize,
        offset: u64,
    },
    /// No message passes between two zones, or inside one, until the partitions end.
    PartitionZones(usize, usize),
    EndPartitions,
    /// The operator replaces the group.
    ReplaceGroup {
        first: usize,
        size: usize,
    },
    ConfigureReplica(usize),
    ConfigureEdge(usize),
}

#[derive(Clone, Debug)]
enum Message {
    ToReplica {
        to: usize,
        call: usize,
        request: ReplicaRequest,
    },
    ToCall {
        call: usize,
        from: usize,
        reply: ReplicaReply,
    },
    Fetch {
        to: usize,
        from: usize,
        fetch: Fetch,
    },
    Page {
        to: usize,
        from: usize,
        page: Page,
    },
}

struct ReplicaNode {
    replica: Replica,
    clock_offset: u64,
    paused: bool,
    configured: usize,
}

struct Edge {
    clock_offset: u64,
    paused: bool,
    configured: usize,
}

/// State of a caller's request, as seen by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallState {
    Open,
    Dispatched,
    Replayed(RecordedResponse),
    Refused(ResultCode),
    /// The backend's response reached the edge.
    Completed,
}

struct Call {
    coordinator: Coordinator,
    edge: usize,
    key: usize,
    variant: u8,
    arrived: u64,
    state: CallState,
    /// False once the edge has restarted.
    edge_running: bool,
}

struct Dispatch {
    call: usize,
    at: u64,
    proved_not_run: bool,
    response: Option<RecordedResponse>,
}

/// The deployment, its faults and the record of every dispatch.
pub(crate) struct Deployment {
    rng: Pcg64,
    millis: u64,
    step: u64,
    replicas: Vec<ReplicaNode>,
    edges: Vec<Edge>,
    groups: Vec<Group>,
    newest_adopted: usize,
    keys: BTreeMap<usize, IdempotencyKey>,
    calls: Vec<Call>,
    dispatches: Vec<Dispatch>,
    messages: Vec<Message>,
    partitions: BTreeSet<(usize, usize)>,
}

fn replica_id(index: usize) -> ReplicaId {
    ReplicaId::new(format!("r{index}"))
}

fn index_of(id: &ReplicaId) -> usize {
    id.as_str()[1..].parse().expect("replica ids are numbered")
}

pub(crate) fn window() -> KeyWindow {
    KeyWindow {
        clock_skew: Duration::from_millis(SKEW_MILLIS),
        retention: Duration::from_millis(RETENTION_MILLIS),
    }
}

fn group(epoch: u64, members: Vec<usize>, predecessor: Predecessor) -> Group {
    Group {
        epoch: Epoch::new(epoch),
        replicas: members.into_iter().map(replica_id).collect(),
        predecessor,
        window: window(),
    }
}

impl Deployment {
    pub(crate) fn new(seed: u64, members: usize) -> Self {
        let mut deployment = Self {
            rng: Pcg64::seed_from_u64(seed),
            millis: START_MILLIS,
            step: 0,
            replicas: Vec::new(),
            edges: Vec::new(),
            groups: vec![group(1, (0..members).collect(), Predecessor::None)],
            newest_adopted: 0,
            keys: BTreeMap::new(),
            calls: Vec::new(),
            dispatches: Vec::new(),
            messages: Vec::new(),
            partitions: BTreeSet::new(),
        };
        for index in 0..POOL {
            let offset = deployment.rng.random_range(0..=1) * SKEW_MILLIS;
            let node = deployment.start_replica(index, offset);
            deployment.replicas.push(node);
        }
        deployment.edges.extend((0..EDGES).map(|_| Edge {
            clock_offset: SKEW_MILLIS / 2,
            paused: false,
            configured: 0,
        }));
        // Every replica abstains until its horizon has passed.
        deployment.millis += 3 * SKEW_MILLIS;
        deployment
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.millis)
    }

    /// Returns the wall clock of a machine, which is ahead of a common base by `offset`, 0 to the
    /// allowed skew.
    fn wall(&self, offset: u64) -> UnixMillis {
        UnixMillis::new(self.millis + offset)
    }

    /// Starts a replica, which adopts the newest group that any process has adopted.
    fn start_replica(&mut self, index: usize, clock_offset: u64) -> ReplicaNode {
        let wall = self.wall(clock_offset);
        let settings = ReplicaSettings {
            maximum_records: 3,
            maximum_content_bytes: 16,
            page_records: 1,
            retransmit_after: Duration::from_millis(100),
        };
        let mut replica = Replica::new(replica_id(index), settings, wall);
        let newest = self.groups[self.newest_adopted].clone();
        let requests = replica.configure(self.now(), newest);
        self.send_fetches(index, requests);
        ReplicaNode {
            replica,
            clock_offset,
            paused: false,
            configured: self.newest_adopted,
        }
    }

    fn send_fetches(&mut self, from: usize, requests: Vec<PeerRequest>) {
        for PeerRequest { to, fetch } in requests {
            self.messages.push(Message::Fetch {
                to: index_of(&to),
                from,
                fetch,
            });
        }
    }

    /// Performs one step and checks every invariant.
    pub(crate) fn apply(&mut self, action: &Action) {
        self.step += 1;
        match *action {
            Action::Call { edge, key, variant } => {
                self.call(edge % EDGES, key, variant);
            }
            Action::Deliver(index) => self.deliver_at(index),
            Action::DeliverOldest(count) => (0..count).for_each(|_| self.deliver_at(0)),
            Action::Lose(index) => drop(self.take_message(index)),
            Action::Duplicate(index) => self.duplicate(index),
            Action::Complete { dispatch, outcome } => self.complete(dispatch, outcome),
            Action::Advance(millis) => self.advance(millis),
            Action::RestartReplica { replica, offset } => {
                self.restart_replica(replica % POOL, offset % (SKEW_MILLIS + 1));
            }
            Action::RestartEdge(edge) => self.restart_edge(edge % EDGES),
            Action::PauseReplica(index) => self.replicas[index % POOL].paused = true,
            Action::ResumeReplica(index) => self.replicas[index % POOL].paused = false,
            Action::PauseEdge(edge) => self.edges[edge % EDGES].paused = true,
            Action::ResumeEdge(edge) => self.edges[edge % EDGES].paused = false,
            Action::SetReplicaClock { replica, offset } => {
                self.replicas[replica % POOL].clock_offset = offset % (SKEW_MILLIS + 1);
            }
            Action::SetEdgeClock { edge, offset } => {
                self.edges[edge % EDGES].clock_offset = offset % (SKEW_MILLIS + 1);
            }
            Action::PartitionZones(first, second) => {
                let pair = (first % ZONES, second % ZONES);
                self.partitions
                    .insert((pair.0.min(pair.1), pair.0.max(pair.1)));
            }
            Action::EndPartitions => self.partitions.clear(),
            Action::ReplaceGroup { first, size } => self.replace_group(first, size),
            Action::ConfigureReplica(index) => self.configure_replica(index % POOL),
            Action::ConfigureEdge(edge) => self.configure_edge(edge % EDGES),
        }
        let excess = self.messages.len().saturating_sub(MAX_IN_FLIGHT);
        self.messages.drain(..excess);
        self.check_effects();
    }

    /// Returns the caller's key, created on first use by a clock that is off by up to three times
    /// the skew allowed to the system.
    fn key(&mut self, key: usize) -> IdempotencyKey {
        if let Some(known) = self.keys.get(&key) {
            return *known;
        }
        let offset = self.rng.random_range(0..=3 * SKEW_MILLIS);
        let created_at = self.millis + offset - SKEW_MILLIS;
        let low: u128 = self.rng.random::<u64>().into();
        let created_key = IdempotencyKey::from_u128((u128::from(created_at) << 80) | low);
        self.keys.insert(key, created_key);
        created_key
    }

    /// Creates a key now, with an accurate clock.
    pub(crate) fn create_key(&mut self, key: usize) {
        let low: u128 = self.rng.random::<u64>().into();
        let created_at = u128::from(self.millis + SKEW_MILLIS / 2);
        self.keys
            .insert(key, IdempotencyKey::from_u128((created_at << 80) | low));
    }

    pub(crate) fn call(&mut self, edge: usize, key: usize, variant: u8) -> usize {
        let request = ClaimedRequest {
            key: self.key(key),
            fingerprint: Fingerprint::from_u128(variant.into()),
            give_up_at: self.now() + Duration::from_millis(2_000),
        };
        let (coordinator, effects) = Coordinator::start(
            CoordinatorSettings::default(),
            self.groups[self.edges[edge].configured].clone(),
            request,
            self.now(),
            self.wall(self.edges[edge].clock_offset),
            &mut self.rng,
        );
        self.calls.push(Call {
            coordinator,
            edge,
            key,
            variant,
            arrived: self.step,
            state: CallState::Open,
            edge_running: true,
        });
        let call = self.calls.len() - 1;
        self.apply_effects(call, effects);
        call
    }

    fn apply_effects(&mut self, call: usize, effects: Vec<CoordinatorEffect>) {
        for effect in effects {
            match effect {
                CoordinatorEffect::Send { to, request } => {
                    let to = index_of(&to);
                    self.messages.push(Message::ToReplica { to, call, request });
                }
                CoordinatorEffect::Dispatch => self.dispatch(call),
                CoordinatorEffect::Replay(response) => self.check_replay(call, response),
                CoordinatorEffect::Refuse { code, .. } => self.check_refusal(call, code),
            }
        }
    }

    fn dispatch(&mut self, call: usize) {
        self.calls[call].state = CallState::Dispatched;
        self.dispatches.push(Dispatch {
            call,
            at: self.step,
            proved_not_run: false,
            response: None,
        });
    }

    /// Returns the dispatches of a key that are not proved to have had no effect.
    fn effects_of(&self, key: usize) -> impl Iterator<Item = &Dispatch> {
        self.dispatches
            .iter()
            .filter(move |one| !one.proved_not_run && self.calls[one.call].key == key)
    }

    fn check_effects(&self) {
        for key in self.keys.keys() {
            let effects = self.effects_of(*key).count();
            assert!(effects <= 1, "key {key} was dispatched {effects} times");
        }
    }

    /// Checks that "not run" is true of the request: neither this attempt nor an earlier one of the
    /// same request was dispatched.
    fn check_refusal(&mut self, call: usize, code: ResultCode) {
        self.calls[call].state = CallState::Refused(code);
        if code.outcome() != OutcomeClass::NotRun {
            return;
        }
        let checked = &self.calls[call];
        let ran = self.effects_of(checked.key).any(|one| {
            let same_request = self.calls[one.call].variant == checked.variant;
            one.call == call || (same_request && one.at < checked.arrived)
        });
        assert!(
            !ran,
            "{} was returned for key {}, which was dispatched",
            code.name(),
            checked.key
        );
    }

    fn check_replay(&mut self, call: usize, response: RecordedResponse) {
        let checked = &self.calls[call];
        let recorded = self.effects_of(checked.key).any(|one| {
            let same_request = self.calls[one.call].variant == checked.variant;
            let status = one.response.as_ref().map(|kept| kept.status);
            same_request && status == Some(response.status)
        });
        assert!(
            recorded,
            "key {} got the response of another request",
            checked.key
        );
        self.calls[call].state = CallState::Replayed(response);
    }

    fn complete(&mut self, dispatch: usize, outcome: u8) {
        let open: Vec<usize> = (0..self.dispatches.len())
            .filter(|index| self.is_open(*index))
            .collect();
        if open.is_empty() {
            return;
        }
        let index = open[dispatch % open.len()];
        let response = RecordedResponse {
            status: u16::try_from(index).expect("few dispatches"),
            content: Some(vec![0; 10].into()),
        };
        let outcome = match outcome {
            0 => ExecutionOutcome::NotRun,
            1 => ExecutionOutcome::Unknown,
            _ => ExecutionOutcome::Run(response.clone()),
        };
        let one = &mut self.dispatches[index];
        one.proved_not_run = outcome == ExecutionOutcome::NotRun;
        one.response = matches!(outcome, ExecutionOutcome::Run(_)).then_some(response);
        let call = one.call;
        let now = self.now();
        let effects = self.calls[call].coordinator.complete(now, outcome);
        self.calls[call].state = CallState::Completed;
        self.apply_effects(call, effects);
    }

    /// Returns true if the edge still waits for the backend's response.
    fn is_open(&self, dispatch: usize) -> bool {
        let call = &self.calls[self.dispatches[dispatch].call];
        call.state == CallState::Dispatched && call.edge_running && !self.edges[call.edge].paused
    }

    fn take_message(&mut self, index: usize) -> Option<Message> {
        let length = self.messages.len();
        (length > 0).then(|| self.messages.remove(index % length))
    }

    fn duplicate(&mut self, index: usize) {
        if !self.messages.is_empty() {
            let copy = self.messages[index % self.messages.len()].clone();
            self.messages.push(copy);
        }
    }

    /// Delivers a message; a message to a paused process waits until it resumes.
    fn deliver_at(&mut self, index: usize) {
        let Some(message) = self.take_message(index) else {
            return;
        };
        if self.is_partitioned(&message) {
            return;
        }
        let paused = match &message {
            Message::ToReplica { to, .. }
            | Message::Fetch { to, .. }
            | Message::Page { to, .. } => self.replicas[*to].paused,
            Message::ToCall { call, .. } => self.edges[self.calls[*call].edge].paused,
        };
        if paused {
            self.messages.push(message);
        } else {
            self.deliver(message);
        }
    }

    fn is_partitioned(&self, message: &Message) -> bool {
        let (first, second) = match *message {
            Message::ToReplica { to, call, .. } => (to, self.calls[call].edge),
            Message::ToCall { call, from, .. } => (from, self.calls[call].edge),
            Message::Fetch { to, from, .. } | Message::Page { to, from, .. } => (to, from),
        };
        let (first, second) = (first % ZONES, second % ZONES);
        self.partitions
            .contains(&(first.min(second), first.max(second)))
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::ToReplica { to, call, request } => {
                let reply = self.send_to_replica(to, request);
                self.messages.push(Message::ToCall {
                    call,
                    from: to,
                    reply,
                });
            }
            Message::Fetch { to, from, fetch } => {
                let reply = self.send_to_replica(to, ReplicaRequest::Fetch(fetch));
                if let ReplicaReply::Page(page) = reply {
                    let (to, from) = (from, to);
                    self.messages.push(Message::Page { to, from, page });
                }
            }
            Message::Page { to, from, page } => {
                let replica = &mut self.replicas[to].replica;
                let requests = replica.receive_page(now, &replica_id(from), page);
                self.send_fetches(to, requests);
            }
            Message::ToCall { call, from, reply } => {
                if !self.calls[call].edge_running {
                    return;
                }
                let from = replica_id(from);
                let coordinator = &mut self.calls[call].coordinator;
                let effects = coordinator.receive(now, &from, reply, &mut self.rng);
                self.apply_effects(call, effects);
            }
        }
    }

    fn send_to_replica(&mut self, index: usize, request: ReplicaRequest) -> ReplicaReply {
        let wall = self.wall(self.replicas[index].clock_offset);
        self.replicas[index].replica.handle(wall, request)
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        self.millis += millis;
        let now = self.now();
        for index in 0..POOL {
            if !self.replicas[index].paused {
                let requests = self.replicas[index].replica.advance(now);
                self.send_fetches(index, requests);
            }
        }
        for call in 0..self.calls.len() {
            let paused = self.edges[self.calls[call].edge].paused;
            let due = self.calls[call].coordinator.next_wakeup();
            let due = due.is_some_and(|due| due <= now);
            if due && !paused && self.calls[call].edge_running {
                let coordinator = &mut self.calls[call].coordinator;
                let effects = coordinator.advance(now, &mut self.rng);
                self.apply_effects(call, effects);
            }
        }
    }

    fn restart_replica(&mut self, index: usize, offset: u64) {
        self.replicas[index] = self.start_replica(index, offset);
    }

    /// Restarts an edge. Its calls are lost, but a dispatched request may still take effect.
    fn restart_edge(&mut self, edge: usize) {
        for call in &mut self.calls {
            if call.edge == edge {
                call.edge_running = false;
            }
        }
        self.edges[edge].paused = false;
        self.edges[edge].configured = self.newest_adopted;
    }

    pub(crate) fn replace_group(&mut self, first: usize, size: usize) {
        let size = [3, 5, 1, 3][size % 4];
        let members = (0..size).map(|offset| (first + offset) % POOL).collect();
        let last = self.groups.last().expect("there is a first group");
        let predecessor = Predecessor::Members(last.replicas.clone());
        self.groups
            .push(group(last.epoch.number() + 1, members, predecessor));
    }

    pub(crate) fn configure_replica(&mut self, index: usize) {
        let newest = self.groups.len() - 1;
        let node = &mut self.replicas[index];
        if node.paused {
            return;
        }
        node.configured = newest;
        self.newest_adopted = newest;
        let now = self.now();
        let group = self.groups[newest].clone();
        let requests = self.replicas[index].replica.configure(now, group);
        self.send_fetches(index, requests);
    }

    pub(crate) fn configure_edge(&mut self, edge: usize) {
        if self.edges[edge].paused {
            return;
        }
        let newest = self.groups.len() - 1;
        self.edges[edge].configured = newest;
        self.newest_adopted = newest;
        let now = self.now();
        for call in 0..self.calls.len() {
            if self.calls[call].edge == edge && self.calls[call].edge_running {
                let group = self.groups[newest].clone();
                let coordinator = &mut self.calls[call].coordinator;
                let effects = coordinator.configure(now, group, &mut self.rng);
                self.apply_effects(call, effects);
            }
        }
    }

    /// Ends every fault and runs without faults for some time.
    pub(crate) fn end_faults(&mut self) {
        self.partitions.clear();
        for edge in 0..EDGES {
            self.edges[edge].paused = false;
            self.configure_edge(edge);
        }
        for index in 0..POOL {
            self.replicas[index].paused = false;
            self.configure_replica(index);
        }
        self.run_without_faults(2 * RETENTION_MILLIS);
    }

    /// Delivers every message in order, in steps of 10 ms.
    pub(crate) fn run_without_faults(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.step += 1;
            for _ in 0..self.messages.len() {
                self.deliver_at(0);
            }
            self.advance(10);
            self.check_effects();
        }
    }

    pub(crate) fn state(&self, call: usize) -> &CallState {
        &self.calls[call].state
    }

    pub(crate) fn complete_all(&mut self, outcome: u8) {
        let open = self.dispatches.len();
        (0..open).for_each(|_| self.complete(0, outcome));
    }
}
