//! Division of requests among the destinations of their route.

use std::collections::HashMap;
use std::sync::Mutex;

use wharfquay_core::routing::SplitSequence;
use wharfquay_daemon::sync::lock;

use crate::configuration::Route;

/// Maximum number of routes whose sequence is kept. A route whose sequence was dropped starts a new
/// one.
const MAX_SEQUENCES: usize = 1_024;

/// The sequences of draws of the routes with several destinations, by route name. They outlast a
/// change of the configuration.
#[derive(Debug, Default)]
pub(crate) struct Splits {
    sequences: Mutex<HashMap<String, SplitSequence>>,
}

impl Splits {
    /// Selects the service for a request of a route; `None` if the route has no destination with a
    /// weight above zero.
    pub(crate) fn destination<'route>(&self, route: &'route Route) -> Option<&'route str> {
        let draw = match route.destinations.len() {
            0 | 1 => 0.0,
            _ => self.draw(&route.name),
        };
        route.destination(draw)
    }

    fn draw(&self, route: &str) -> f64 {
        let mut sequences = lock(&self.sequences);
        if let Some(sequence) = sequences.get_mut(route) {
            return sequence.draw();
        }
        if sequences.len() >= MAX_SEQUENCES {
            sequences.clear();
        }
        let mut sequence = SplitSequence::new(rand::random());
        let draw = sequence.draw();
        sequences.insert(route.to_owned(), sequence);
        draw
    }
}
