//! Log events: one line of key=value pairs each, `event=` first.

mod catalogue;
mod endpoints;
mod observer;
mod platform;
mod rate_limit;

use std::fmt;

pub use catalogue::Event;
pub(crate) use observer::observe;
pub use platform::PlatformHealth;
pub use rate_limit::RateLimit;

/// Writes an event with its fields, given as a format string of `key=value` pairs.
macro_rules! log_event {
    ($event:expr) => {
        $crate::events::write($event, None)
    };
    ($event:expr, $($fields:tt)+) => {
        $crate::events::write($event, Some(format_args!($($fields)+)))
    };
}
pub(crate) use log_event;

/// Writes an event.
pub(crate) fn write(event: Event, fields: Option<fmt::Arguments<'_>>) {
    let name = event.name();
    match fields {
        Some(fields) => log::log!(event.level(), "event={name} {fields}"),
        None => log::log!(event.level(), "event={name}"),
    }
}

/// A value in double quotes on one line: quotes, line ends and other control characters are escaped.
#[derive(Clone, Copy, Debug)]
pub struct Quoted<T>(pub T);

impl<T: fmt::Display> fmt::Display for Quoted<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}", self.0.to_string())
    }
}
