//! Sequence of draws by which a route's requests are divided among its destinations.

/// Step between two draws: the fractional part of the golden ratio. Of all steps it spreads the
/// draws of any stretch of the sequence most evenly over [0.0, 1.0).
const GOLDEN_STEP: f64 = 0.618_033_988_749_894_9;

/// Low-discrepancy sequence over [0.0, 1.0). Among any 200 consecutive draws the share of those in
/// an interval differs from its length by less than 0.03, where independent random draws differ by
/// up to 0.1.
#[derive(Clone, Copy, Debug)]
pub struct SplitSequence {
    next: f64,
}

impl SplitSequence {
    /// Creates a sequence with its first draw. Processes that start at different draws together
    /// spread theirs too.
    #[must_use]
    pub fn new(first: f64) -> Self {
        Self {
            next: first.rem_euclid(1.0),
        }
    }

    /// Returns the next draw.
    pub fn draw(&mut self) -> f64 {
        let draw = self.next;
        self.next = (draw + GOLDEN_STEP).fract();
        draw
    }
}
