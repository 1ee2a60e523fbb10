//! The tokens that owners grant and processes hold exceed a limit by at most the tokens of one
//! token lifetime.

use std::time::Duration;

use proptest::prelude::*;
use wharfquay_core::quota::{TOKEN_LIFETIME, TokenBucket, TokenPool, TokenRate};
use wharfquay_core::time::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

const RATE: TokenRate = TokenRate {
    per_second: 10.0,
    capacity: 5.0,
};

#[test]
fn a_bucket_grants_whole_tokens_and_fills_up_to_its_capacity() {
    let mut bucket = TokenBucket::full(at(0), RATE);
    assert_eq!(bucket.take(at(0), 3), 3);
    assert_eq!(bucket.take(at(0), 3), 2);
    assert_eq!(bucket.take(at(0), 1), 0);
    assert_eq!(bucket.until_next(), Duration::from_millis(100));
    assert_eq!(bucket.take(at(99), 1), 0);
    assert_eq!(bucket.take(at(100), 9), 1);
    assert_eq!(bucket.take(at(60_000), 9), 5);
}

#[test]
fn a_lower_rate_drops_tokens_above_its_capacity() {
    let mut bucket = TokenBucket::full(at(0), RATE);
    let lower = TokenRate {
        per_second: 1.0,
        capacity: 2.0,
    };
    bucket.set_rate(at(0), lower);
    assert_eq!(bucket.take(at(0), 9), 2);
    assert_eq!(bucket.until_next(), Duration::from_secs(1));
}

#[test]
fn a_restarted_owner_starts_with_the_tokens_since_its_start() {
    let mut bucket = TokenBucket::filled_since(at(1_200), at(1_000), RATE);
    assert_eq!(bucket.take(at(1_200), 9), 2);
}

#[test]
fn a_held_token_expires() {
    let mut pool = TokenPool::default();
    pool.put(at(300));
    pool.put(at(100));
    assert_eq!(pool.take(at(0)), Some(at(100)));
    assert!(!pool.is_empty(at(299)));
    assert!(pool.is_empty(at(300)));
    assert_eq!(pool.take(at(300)), None);
}

proptest! {
    /// For any order of requests, returned tokens and restarts of owners, the requests in any
    /// window of five seconds stay below rate x (window + lifetime of a token) + burst.
    #[test]
    fn requests_in_a_window_stay_below_the_limit(
        steps in prop::collection::vec((0_u64..120, 0_usize..4, 0_u32..6, any::<bool>()), 1..400),
        restarts in prop::collection::vec(0_usize..400, 0..4),
    ) {
        const OWNERS: usize = 4;
        const WINDOW: Duration = Duration::from_secs(5);
        let mut owners = vec![TokenBucket::full(at(0), RATE); OWNERS];
        let mut pool = TokenPool::default();
        let mut runs: Vec<Timestamp> = Vec::new();
        let mut millis = 0;
        for (number, (pause, owner, requests, is_returned)) in steps.into_iter().enumerate() {
            millis += pause;
            let now = at(millis);
            if restarts.contains(&number) {
                owners[owner] = TokenBucket::filled_since(now, now, RATE);
            }
            for _ in 0..requests {
                let expires_at = match pool.take(now) {
                    Some(expires_at) => expires_at,
                    None if owners[owner].take(now, 1) == 1 => now + TOKEN_LIFETIME,
                    None => continue,
                };
                if is_returned {
                    pool.put(expires_at);
                } else {
                    runs.push(now);
                }
            }
        }
        let most = RATE.per_second * OWNERS as f64 * (WINDOW + TOKEN_LIFETIME).as_secs_f64()
            + RATE.capacity * OWNERS as f64;
        for (first, start) in runs.iter().enumerate() {
            let in_window = runs[first..].iter().take_while(|run| run.saturating_since(*start) <= WINDOW);
            prop_assert!(in_window.count() as f64 <= most);
        }
    }
}
