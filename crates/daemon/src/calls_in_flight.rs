//! The calls in flight at a daemon. A stop waits for them and reports those that it cuts.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use http::uri::PathAndQuery;

use crate::body::{BodyEnd, BodyObserver};
use crate::events::{Event, Quoted, log_event};
use crate::metrics::Side;
use crate::sync::lock;

/// The calls in flight.
#[derive(Debug, Default)]
pub(crate) struct CallsInFlight {
    next_number: AtomicU64,
    calls: Mutex<HashMap<u64, Call>>,
}

/// What is logged about a call that a stop cuts.
#[derive(Debug)]
struct Call {
    side: Side,
    path: Option<PathAndQuery>,
    since: Instant,
}

impl CallsInFlight {
    /// Counts a call as in flight until the returned guard is dropped.
    pub(crate) fn begin(self: &Arc<Self>, side: Side, path: Option<&PathAndQuery>) -> CallInFlight {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let call = Call {
            side,
            path: path.cloned(),
            since: Instant::now(),
        };
        lock(&self.calls).insert(number, call);
        CallInFlight {
            calls: Arc::clone(self),
            number,
        }
    }

    /// Returns the number of calls in flight.
    pub(crate) fn count(&self) -> usize {
        lock(&self.calls).len()
    }

    /// Logs each call in flight as one that the stop cuts.
    pub(crate) fn log_cut(&self) {
        for call in lock(&self.calls).values() {
            let path = call.path.as_ref().map_or("", PathAndQuery::as_str);
            log_event!(
                Event::CallCut,
                "side={} path={} age_ms={}",
                call.side.name(),
                Quoted(path),
                call.since.elapsed().as_millis()
            );
        }
    }
}

/// Counts a call as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct CallInFlight {
    calls: Arc<CallsInFlight>,
    number: u64,
}

impl Drop for CallInFlight {
    fn drop(&mut self) {
        lock(&self.calls.calls).remove(&self.number);
    }
}

impl BodyObserver for CallInFlight {
    /// Does nothing: the drop that follows ends the count.
    fn ended(self: Box<Self>, _end: BodyEnd) {}
}
