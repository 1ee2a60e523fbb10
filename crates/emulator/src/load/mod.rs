//! Stand-in for callers: open-loop arrivals, impatient retries and a report per request kind.
