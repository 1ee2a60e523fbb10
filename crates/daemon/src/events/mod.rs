//! Log events: each is one line of `key=value` pairs that starts with `event=`.

mod catalogue;
mod endpoints;
mod observer;
mod platform;
mod rate_limit;

use std::fmt;

pub use catalogue::Event;
pub(crate) use observer::log_state_changes;
pub use platform::PlatformHealth;
pub use rate_limit::RateLimit;

/// Logs an event; its fields are a format string of `key=value` pairs with its arguments.
macro_rules! log_event {
    ($event:expr) => {
        $crate::events::write($event, None)
    };
    ($event:expr, $($fields:tt)+) => {
        $crate::events::write($event, Some(format_args!($($fields)+)))
    };
}
pub(crate) use log_event;

/// Logs an event at its level.
pub(crate) fn write(event: Event, fields: Option<fmt::Arguments<'_>>) {
    let name = event.name();
    match fields {
        Some(fields) => log::log!(event.level(), "event={name} {fields}"),
        None => log::log!(event.level(), "event={name}"),
    }
}

/// Displays a value in double quotes on one line; quotes, line ends and other control characters
/// are escaped.
#[derive(Clone, Copy, Debug)]
pub struct Quoted<T>(pub T);

impl<T: fmt::Display> fmt::Display for Quoted<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}", self.0.to_string())
    }
}
