//! Urgent messages may overdraw the byte budget, but routine ones wait for it for a bounded time.

use std::time::Duration;

use proptest::prelude::*;
use wharfquay_core::time::Timestamp;
use wharfquay_membership::budget::ByteBudget;

const BYTES_PER_SECOND: u32 = 4_000;
const BURST: u32 = 48_000;

proptest! {
    /// Guards against an unbounded debt: a series of large configuration changes would otherwise
    /// suppress gossip long after it.
    #[test]
    fn a_routine_message_waits_at_most_one_second(
        spent in proptest::collection::vec((0_u64..200, 1_usize..100_000), 1..40),
    ) {
        let mut budget = ByteBudget::new(BYTES_PER_SECOND, BURST, Timestamp::ZERO);
        let mut now = Timestamp::ZERO;
        for (wait_ms, bytes) in spent {
            now = now + Duration::from_millis(wait_ms);
            budget.spend(now, bytes);
        }
        let later = now + Duration::from_millis(1_001);
        prop_assert!(budget.allows_routine(later));
    }
}
