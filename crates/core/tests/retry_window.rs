//! The limit on repeats holds in sum although each backend's side enforces it separately: for any
//! number of backends, any distribution of calls over them and over time, and when some of them
//! lose their counts.

use std::time::Duration;

use proptest::prelude::*;
use wharfquay_core::priority::Priority;
use wharfquay_core::retry::RepeatWindow;
use wharfquay_core::time::Timestamp;

const RATIO: f64 = 0.2;
const WINDOW: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(100);
/// Minimum number of repeats that a deployment allows in a window in addition to the ratio.
const EXTRA: f64 = 49.0;

/// Activity at one backend in one step: first arrivals, repeats that callers want to send.
type Activity = (u8, u8);

fn window() -> RepeatWindow {
    RepeatWindow::new(RATIO, WINDOW)
}

/// Asserts the deployment's limit for every window that ends with a step.
fn assert_bound(history: &[(f64, f64)]) -> Result<(), TestCaseError> {
    let steps = (WINDOW.as_millis() / STEP.as_millis()) as usize;
    let first =
        |start: usize, end: usize| -> f64 { history[start..end].iter().map(|step| step.0).sum() };
    for end in 1..=history.len() {
        let start = end.saturating_sub(steps);
        let half = (
            start.saturating_sub(steps / 2),
            end.saturating_sub(steps / 2),
        );
        let before = (start.saturating_sub(steps), start);
        let requests = first(start, end)
            .max(first(half.0, half.1))
            .max(first(before.0, before.1));
        let repeats: f64 = history[start..end].iter().map(|step| step.1).sum();
        prop_assert!(
            repeats <= RATIO * requests + EXTRA,
            "{repeats} repeats of {requests} requests in the window that ends with step {end}"
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn repeats_stay_within_the_limit_in_every_window(
        backends in 1_usize..20,
        activity in proptest::collection::vec((0_u8..20, 0_u8..20), 50..500),
        shift in 0_usize..1_000,
        restarts in proptest::collection::vec((0_usize..500, 0_usize..20), 0..6),
    ) {
        let mut windows: Vec<RepeatWindow> = (0..backends).map(|_| window()).collect();
        let mut history = Vec::new();
        let mut now = Timestamp::ZERO;
        for step in 0..activity.len() {
            now = now + STEP;
            for (at, backend) in &restarts {
                if *at == step {
                    windows[backend % backends] = window();
                }
            }
            let (mut firsts, mut repeats) = (0.0, 0.0);
            for (number, window) in windows.iter_mut().enumerate() {
                let (first, wanted): Activity = activity[(step + number * shift) % activity.len()];
                for _ in 0..first {
                    window.first_arrival(now);
                    firsts += 1.0;
                }
                for _ in 0..wanted {
                    let admitted = window.admit_repeat(now, Priority::HIGHEST);
                    repeats += f64::from(u8::from(admitted));
                }
            }
            history.push((firsts, repeats));
        }
        assert_bound(&history)?;
    }
}

/// Returns the number of calls and of admitted repeats in ten seconds of steady traffic.
fn steady(priority: Priority) -> (u32, u32) {
    let mut window = window();
    let (mut calls, mut repeats) = (0, 0);
    for step in 0..200 {
        let now = Timestamp::ZERO + STEP * step;
        for _ in 0..20 {
            window.first_arrival(now);
            let admitted = window.admit_repeat(now, priority);
            if step >= 100 {
                calls += 1;
                repeats += u32::from(admitted);
            }
        }
    }
    (calls, repeats)
}

#[test]
fn sustained_demand_for_repeats_uses_most_of_the_limit() {
    let (calls, repeats) = steady(Priority::HIGHEST);
    let share = f64::from(repeats) / (f64::from(calls) * RATIO);
    assert!(
        (0.75..=1.0).contains(&share),
        "{repeats} of {calls}: {share}"
    );
}

#[test]
fn less_important_calls_leave_a_part_of_the_limit_to_the_most_important_ones() {
    let lowest = steady(Priority::LOWEST).1;
    let highest = steady(Priority::HIGHEST).1;
    assert!(lowest * 10 <= highest * 7, "{lowest} beside {highest}");
}

#[test]
fn a_backend_without_first_arrivals_gets_no_repeat() {
    assert!(!window().admit_repeat(Timestamp::ZERO, Priority::HIGHEST));
}
