//! Records of the edge's decisions about its latest requests, for `/decisions` and `wharfquay
//! replay`.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use tokio::sync::watch;
use wharfquay_core::call::OriginId;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::AdmissionLevel;
use wharfquay_core::routing::EndpointId;
use wharfquay_resources::decision::{
    ChosenEndpoint, Decision, DecisionContext, DecisionRecord, RequestPolicy, RequestProperties,
};
use wharfquay_resources::snapshot::Revision;

use crate::clock::wall_clock;
use crate::control::EndpointTable;
use crate::sync::lock;

/// The latest decision records of one edge, bounded in number.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    daemon: String,
    capacity: usize,
    endpoints: watch::Receiver<Arc<EndpointTable>>,
    records: Mutex<VecDeque<Arc<DecisionRecord>>>,
}

impl DecisionLog {
    /// Creates a log of at most `capacity` records; with 0, nothing is recorded.
    pub(crate) fn new(
        daemon: &str,
        capacity: usize,
        endpoints: watch::Receiver<Arc<EndpointTable>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            daemon: daemon.to_owned(),
            capacity,
            endpoints,
            records: Mutex::default(),
        })
    }

    /// Returns true if decisions are recorded.
    pub(crate) const fn is_on(&self) -> bool {
        self.capacity > 0
    }

    /// Returns the newest `limit` records, oldest first.
    pub(crate) fn newest(&self, limit: usize) -> Vec<Arc<DecisionRecord>> {
        let records = lock(&self.records);
        let skipped = records.len().saturating_sub(limit);
        records.iter().skip(skipped).cloned().collect()
    }

    /// Starts the record of a request; `request` is only called if decisions are recorded.
    pub(crate) fn trace(
        self: &Arc<Self>,
        origin: OriginId,
        revision: Revision,
        request: impl FnOnce() -> RequestProperties,
    ) -> DecisionTrace {
        if !self.is_on() {
            return DecisionTrace::OFF;
        }
        let record = DecisionRecord {
            at_unix_ms: wall_clock().as_millis(),
            daemon: self.daemon.clone(),
            origin: format!("{:032x}", origin.as_u128()),
            revision,
            request: request(),
            circumstances: DecisionContext::default(),
            decision: Decision {
                treatment: None,
                refused: None,
                drain: None,
            },
        };
        DecisionTrace(Some(Arc::new(OpenRecord {
            log: Arc::clone(self),
            state: Mutex::new(RecordState {
                record,
                is_decided: false,
            }),
        })))
    }

    fn push(&self, record: DecisionRecord) {
        let mut records = lock(&self.records);
        if records.len() >= self.capacity {
            records.pop_front();
        }
        records.push_back(Arc::new(record));
    }

    fn zone_of(&self, service: &str, endpoint: &EndpointId) -> Option<String> {
        let table = self.endpoints.borrow().clone();
        let records = table.of_service(service);
        let record = records.iter().find(|record| record.id == *endpoint)?;
        Some(record.zone.to_string())
    }
}

/// The record of one request under construction. It is stored when its last clone is dropped, if a
/// decision was recorded by then.
#[derive(Clone, Debug)]
pub(crate) struct DecisionTrace(Option<Arc<OpenRecord>>);

impl DecisionTrace {
    /// A trace that records nothing.
    pub(crate) const OFF: Self = Self(None);

    /// Returns true if the request is recorded.
    pub(crate) const fn is_on(&self) -> bool {
        self.0.is_some()
    }

    /// Records how the request is treated; `policy` is only called if the request is recorded.
    pub(crate) fn record_policy(&self, policy: impl FnOnce() -> RequestPolicy) {
        self.change(|state| state.record.decision.treatment = Some(policy()));
    }

    /// Records a refusal that follows from the configuration alone.
    pub(crate) fn record_refusal(&self, code: ResultCode) {
        self.change(|state| {
            state.record.decision.refused = Some(code.number());
            state.is_decided = true;
        });
    }

    /// Records the admission level that the request was compared with, and the result.
    pub(crate) fn record_level_check(&self, level: AdmissionLevel, is_admitted: bool) {
        self.change(|state| {
            state.record.circumstances.level = level;
            state.record.decision.refused =
                (!is_admitted).then(|| ResultCode::RefusedByLevel.number());
            state.is_decided = true;
        });
    }

    /// Records the first endpoint that the request was sent to.
    pub(crate) fn record_endpoint(&self, endpoint: &EndpointId) {
        let Some(open) = &self.0 else {
            return;
        };
        let mut state = lock(&open.state);
        if state.record.circumstances.endpoint.is_some() {
            return;
        }
        let zone = open.log.zone_of(&state.record.request.service, endpoint);
        state.record.circumstances.endpoint = zone.map(|zone| ChosenEndpoint {
            id: endpoint.to_string(),
            zone,
        });
    }

    fn change(&self, change: impl FnOnce(&mut RecordState)) {
        if let Some(open) = &self.0 {
            change(&mut lock(&open.state));
        }
    }
}

#[derive(Debug)]
struct OpenRecord {
    log: Arc<DecisionLog>,
    state: Mutex<RecordState>,
}

#[derive(Debug)]
struct RecordState {
    record: DecisionRecord,
    is_decided: bool,
}

impl Drop for OpenRecord {
    fn drop(&mut self) {
        let state = lock(&self.state);
        if state.is_decided {
            self.log.push(state.record.clone());
        }
    }
}
