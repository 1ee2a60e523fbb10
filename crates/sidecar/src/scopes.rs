//! The requests in execution at the local backend, by the request id to which its own calls refer.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use wharfquay_core::admission::CallTicket;
use wharfquay_core::call::{CallContext, RetryAllowance};
use wharfquay_core::retry::Ledger;
use wharfquay_daemon::inbound::gate::AdmissionGate;
use wharfquay_daemon::sync::lock;

/// One request in execution at the local backend.
#[derive(Debug)]
pub(crate) struct Scope {
    /// Context that the backend's own calls inherit.
    pub(crate) context: CallContext,
    /// The admission ticket of the request.
    pub(crate) ticket: CallTicket,
    /// The gate that admitted the request.
    pub(crate) gate: Arc<AdmissionGate>,
    /// Retries that the backend's own calls may spend.
    pub(crate) ledger: Arc<Mutex<Ledger>>,
    /// Service of a call of the backend that failed; `None` if none did.
    failed_call: Mutex<Option<String>>,
}

impl Scope {
    /// Records that a call of the backend to this service failed.
    pub(crate) fn record_failed_call(&self, service: &str) {
        let mut failed_call = lock(&self.failed_call);
        if failed_call.as_deref() != Some(service) {
            *failed_call = Some(service.to_owned());
        }
    }
}

/// The open scopes of one sidecar, by request id.
#[derive(Debug, Default)]
pub(crate) struct ScopeTable {
    open: Mutex<HashMap<Arc<str>, Arc<Scope>>>,
}

impl ScopeTable {
    /// Opens a scope for a request that is sent to the backend.
    pub(crate) fn open(
        self: &Arc<Self>,
        request_id: &str,
        context: CallContext,
        ticket: CallTicket,
        gate: Arc<AdmissionGate>,
    ) -> OpenScope {
        let scope = Arc::new(Scope {
            ledger: Arc::new(Mutex::new(Ledger::new(context.allowance))),
            context,
            ticket,
            gate,
            failed_call: Mutex::default(),
        });
        let request_id: Arc<str> = Arc::from(request_id);
        lock(&self.open).insert(Arc::clone(&request_id), Arc::clone(&scope));
        OpenScope {
            table: Arc::clone(self),
            request_id,
            scope,
        }
    }

    /// Returns the open scope of a request; `None` if there is none.
    pub(crate) fn get(&self, request_id: &str) -> Option<Arc<Scope>> {
        lock(&self.open).get(request_id).cloned()
    }

    /// Returns the ids of the requests with an open scope.
    pub(crate) fn open_requests(&self) -> Vec<Arc<str>> {
        lock(&self.open).keys().cloned().collect()
    }

    /// Returns the number of open scopes.
    pub(crate) fn len(&self) -> usize {
        lock(&self.open).len()
    }
}

/// Keeps a scope open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenScope {
    table: Arc<ScopeTable>,
    request_id: Arc<str>,
    scope: Arc<Scope>,
}

impl OpenScope {
    /// Closes the ledger of the scope and returns the unspent retries.
    pub(crate) fn close_ledger(&self) -> RetryAllowance {
        lock(&self.scope.ledger).close()
    }
}

impl OpenScope {
    /// Returns the service of a call of the backend that failed; `None` if none did.
    pub(crate) fn failed_call(&self) -> Option<String> {
        lock(&self.scope.failed_call).clone()
    }
}

impl Drop for OpenScope {
    fn drop(&mut self) {
        let mut open = lock(&self.table.open);
        let is_same_scope = open
            .get(&self.request_id)
            .is_some_and(|scope| Arc::ptr_eq(scope, &self.scope));
        if is_same_scope {
            open.remove(&self.request_id);
        }
    }
}
