//! Scopes: the calls in execution at the local back end, as its own calls refer to them.
//!
//! A back end copies one opaque header to the calls that it makes on behalf of a call; the scope
//! behind it holds what those calls inherit.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::{Arc, Mutex};

use wharfquay_core::admission::CallTicket;
use wharfquay_core::call::{CallContext, RetryAllowance};
use wharfquay_core::retry::Ledger;

use crate::sync::lock;

/// The opaque identity of a scope.
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

/// One call in execution at the local back end.
#[derive(Debug)]
pub struct Scope {
    /// What the back end's own calls inherit.
    pub context: CallContext,
    /// The call, as admission knows it.
    pub ticket: CallTicket,
    /// Retries that the back end's own calls may spend.
    pub ledger: Arc<Mutex<Ledger>>,
}

impl Scope {
    /// Ends the call's account and gives what is left to hand back; later calls of the scope may not
    /// spend anything.
    pub fn close_ledger(&self) -> RetryAllowance {
        lock(&self.ledger).close()
    }
}

/// The open scopes of one daemon.
#[derive(Debug, Default)]
pub struct ScopeTable {
    open: Mutex<HashMap<ScopeId, Arc<Scope>>>,
}

impl ScopeTable {
    /// Opens a scope for a call that is handed to the back end.
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

    /// The open scope with this identity.
    #[must_use]
    pub fn get(&self, id: ScopeId) -> Option<Arc<Scope>> {
        lock(&self.open).get(&id).cloned()
    }

    /// Number of open scopes.
    #[must_use]
    pub fn len(&self) -> usize {
        lock(&self.open).len()
    }

    /// Whether no scope is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Keeps a scope open for as long as it lives.
#[derive(Debug)]
pub struct OpenScope {
    table: Arc<ScopeTable>,
    id: ScopeId,
    scope: Arc<Scope>,
}

impl OpenScope {
    /// The scope's identity.
    #[must_use]
    pub const fn id(&self) -> ScopeId {
        self.id
    }

    /// The scope.
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
