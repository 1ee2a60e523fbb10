//! Scopes: the calls in execution at the local backend, to which the backend's own calls refer.
//!
//! A backend copies one opaque header from a call to the calls that it makes on its behalf. The
//! scope that the header identifies holds what those calls inherit: deadline, priority and retries.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::{Arc, Mutex};

use wharfquay_core::admission::CallTicket;
use wharfquay_core::call::{CallContext, RetryAllowance};
use wharfquay_core::retry::Ledger;

use crate::sync::lock;

/// Id of a scope, the record of a call in execution from which the backend's own calls inherit
/// deadline, priority and retries. Opaque to the backend; written as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ScopeId(u64);

impl fmt::Display for ScopeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for ScopeId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// A call in execution at the local backend.
#[derive(Debug)]
pub struct Scope {
    /// Context that the backend's own calls inherit.
    pub context: CallContext,
    /// Ticket that identifies the call in the admission controller.
    pub ticket: CallTicket,
    /// Ledger with the retries that the backend's own calls may spend.
    pub ledger: Arc<Mutex<Ledger>>,
}

impl Scope {
    /// Closes the ledger and returns the allowance left, which goes back to the caller. Later calls
    /// of the scope have no retries.
    pub fn close_ledger(&self) -> RetryAllowance {
        lock(&self.ledger).close()
    }
}

/// The open scopes of one daemon: the calls in execution at the local backend, by id.
#[derive(Debug, Default)]
pub struct ScopeTable {
    open: Mutex<HashMap<ScopeId, Arc<Scope>>>,
}

impl ScopeTable {
    /// Opens a scope for a call that is sent to the backend.
    #[must_use]
    pub fn open(self: &Arc<Self>, context: CallContext, ticket: CallTicket) -> OpenScope {
        let scope = Arc::new(Scope {
            ledger: Arc::new(Mutex::new(Ledger::new(context.allowance))),
            context,
            ticket,
        });
        let mut open = lock(&self.open);
        let mut id = ScopeId(rand::random());
        while open.contains_key(&id) {
            id = ScopeId(rand::random());
        }
        open.insert(id, Arc::clone(&scope));
        drop(open);
        OpenScope {
            table: Arc::clone(self),
            id,
            scope,
        }
    }

    /// Returns the call in execution with this scope id, or `None` if its scope is closed or was
    /// never opened.
    #[must_use]
    pub fn get(&self, id: ScopeId) -> Option<Arc<Scope>> {
        lock(&self.open).get(&id).cloned()
    }

    /// Returns the number of open scopes, i.e. of calls in execution at the local backend.
    #[must_use]
    pub fn len(&self) -> usize {
        lock(&self.open).len()
    }

    /// Returns true if no scope is open, i.e. no call is in execution at the local backend.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Keeps a scope open until it is dropped.
#[derive(Debug)]
pub struct OpenScope {
    table: Arc<ScopeTable>,
    id: ScopeId,
    scope: Arc<Scope>,
}

impl OpenScope {
    /// Returns the id of the scope.
    #[must_use]
    pub const fn id(&self) -> ScopeId {
        self.id
    }

    /// Returns the call that the scope belongs to.
    #[must_use]
    pub fn scope(&self) -> &Scope {
        &self.scope
    }
}

impl Drop for OpenScope {
    fn drop(&mut self) {
        lock(&self.table.open).remove(&self.id);
    }
}
