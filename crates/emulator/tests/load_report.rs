//! Arrivals, recovery time, and the report and audit of a load against one backend.

use std::sync::Arc;
use std::time::Duration;

use wharfquay_emulator::backend::faults::Faults;
use wharfquay_emulator::backend::record::{ExecutionRecord, ExecutionReport, ExecutionState};
use wharfquay_emulator::backend::{BackendSettings, RunningBackend};
use wharfquay_emulator::load::arrivals::{Arrivals, Surge};
use wharfquay_emulator::load::audit::Audit;
use wharfquay_emulator::load::recovery::{BUCKET, Buckets};
use wharfquay_emulator::load::report::LoadReport;
use wharfquay_emulator::load::{LoadSettings, RunningLoad};
use wharfquay_emulator::scenario::Scenario;

const SEED: u64 = 11;

const SCENARIO: &str = r#"
name = "one"
zones = ["a"]
latency = { same_zone_us = 100, between_zones_us = 500, client_us = 1000 }
callers = { attempts = 2, retry_wait_ms = 20, impatient_share = 1.0 }

[[service]]
name = "only"
backends = 1
slots = 50
connections = 500
connect_us = 0

[[request]]
kind = "look"
method = "GET"
path = "/look"
entry = "only"
priority = 2
deadline_ms = 200
repeatable = true
rate = 60.0
step = [{ service = "only", work_us = 2000 }]

[[request]]
kind = "pay"
method = "POST"
path = "/pay"
entry = "only"
priority = 0
deadline_ms = 200
repeatable = false
rate = 20.0
step = [{ service = "only", work_us = 2000 }]
"#;

fn scenario() -> Arc<Scenario> {
    Arc::new(Scenario::parse("one.toml", SCENARIO).expect("scenario"))
}

fn surge(start: u64, length: u64) -> Surge {
    Surge {
        factor: 5.0,
        start: Duration::from_secs(start),
        length: Duration::from_secs(length),
    }
}

#[test]
fn arrivals_depend_on_seed_rate_and_surge() {
    let scenario = scenario();
    let arrivals = |seed| {
        let end = Duration::from_secs(60);
        Arrivals::new(&scenario, end, Some(surge(20, 20)), 1.0, seed).collect::<Vec<_>>()
    };
    let first = arrivals(SEED);
    assert_eq!(
        first,
        arrivals(SEED),
        "the same seed must produce the same arrivals"
    );
    assert_ne!(
        first,
        arrivals(SEED + 1),
        "another seed must produce other arrivals"
    );
    assert!(first.is_sorted_by_key(|arrival| arrival.at));
    let table = [(0, 20, 1_600.0), (20, 40, 8_000.0), (40, 60, 1_600.0)];
    for (from, to, expected) in table {
        let range = Duration::from_secs(from)..Duration::from_secs(to);
        let count = first.iter().filter(|a| range.contains(&a.at)).count() as f64;
        // Five standard deviations of a Poisson count.
        assert!(
            (count - expected).abs() < 5.0 * expected.sqrt(),
            "{from} s: {count}"
        );
    }
}

#[test]
fn recovery_time_ends_when_goodput_has_recovered_for_a_second() {
    let surge = surge(4, 2);
    type Goodput = fn(f64) -> f64;
    let table: [(&str, Goodput, Option<f64>); 4] = [
        ("no decrease", |_| 1.0, Some(0.0)),
        (
            "recovered at 8 s",
            |at| if (4.0..8.0).contains(&at) { 0.3 } else { 1.0 },
            Some(2.0),
        ),
        (
            "recovered, then decreased again",
            |at| {
                if (4.0..6.0).contains(&at) || (6.5..9.0).contains(&at) {
                    0.3
                } else {
                    1.0
                }
            },
            Some(3.0),
        ),
        ("no recovery", |at| if at >= 4.0 { 0.9 } else { 1.0 }, None),
    ];
    for (name, ratio, expected) in table {
        let mut buckets = Buckets::default();
        for number in 0..48 {
            let at = BUCKET * number;
            for request in 0..100 {
                buckets.record_arrival(at);
                if f64::from(request) < 100.0 * ratio(at.as_secs_f64()) {
                    buckets.record_complete(at);
                }
            }
        }
        let got = buckets.recovery(&surge).map(|time| time.as_secs_f64());
        assert_eq!(got, expected, "{name}");
    }
}

async fn run_load(faults: Faults) -> (LoadReport, ExecutionReport) {
    println!("seed {SEED}");
    let mut settings = BackendSettings::new(scenario(), "only", "only-1");
    settings.faults = faults;
    settings.seed = SEED;
    let backend = RunningBackend::start(settings).await.expect("starts");
    let load = RunningLoad::start(LoadSettings {
        scenario: scenario(),
        edges: vec![backend.address()],
        length: Duration::from_millis(500),
        surge: None,
        rate_factor: 1.0,
        seed: SEED,
    });
    let report = load.finish().await;
    (report, backend.report())
}

#[tokio::test]
async fn the_report_counts_each_request_under_its_outcome() {
    let none = Faults::default();
    type Count = fn(&LoadReport) -> u64;
    let table: [(&str, Faults, Count); 5] = [
        ("whole", none, |r| r.kinds.iter().map(|k| k.whole).sum()),
        (
            "refused",
            Faults {
                refuse: 1.0,
                ..none
            },
            |r| r.kinds.iter().map(|k| k.refused).sum(),
        ),
        (
            "unknown",
            Faults {
                close_after: 1.0,
                ..none
            },
            |r| r.kinds.iter().map(|k| k.unknown).sum(),
        ),
        (
            "unknown",
            Faults {
                cut_answer: 1.0,
                ..none
            },
            |r| r.kinds.iter().map(|k| k.unknown).sum(),
        ),
        (
            "late",
            Faults {
                slow: 1_000.0,
                ..none
            },
            |r| r.kinds.iter().map(|k| k.late).sum(),
        ),
    ];
    for (name, faults, count) in table {
        let (report, _) = run_load(faults).await;
        assert!(report.sent() > 20, "{name}: {report}");
        assert_eq!(count(&report), report.sent(), "{name}: {report}");
        assert_eq!(report.invalid_responses(), 0, "{name}: {report}");
    }
}

#[tokio::test]
async fn a_load_without_faults_passes_the_audit_and_repeats_keep_their_idempotency_key() {
    let scenario = scenario();
    let (report, records) = run_load(Faults::default()).await;
    let audit = Audit::new(&scenario, &report, &[records]);
    assert_eq!(audit.violations(Some(0)), [], "{audit}");
    let (_, records) = run_load(Faults {
        close_after: 1.0,
        ..Faults::default()
    })
    .await;
    let mut keys_by_token = std::collections::HashMap::new();
    for execution in records
        .executions
        .iter()
        .filter(|e| e.request_kind == "pay")
    {
        let key = execution.idempotency_key.clone().expect("key");
        let first = keys_by_token.entry(&execution.token).or_insert(key.clone());
        assert_eq!(*first, key);
    }
    assert!(keys_by_token.len() > 2);
}

fn execution(token: &str, call: &str, state: ExecutionState) -> ExecutionRecord {
    ExecutionRecord {
        origin: String::new(),
        token: token.to_owned(),
        call: call.to_owned(),
        request_kind: "pay".to_owned(),
        idempotency_key: None,
        started_us: 10,
        ended_us: 20,
        state,
    }
}

#[tokio::test]
async fn the_audit_reports_each_broken_promise() {
    let scenario = scenario();
    let completed = ExecutionState::Completed;
    // Every request of this load was refused, so its execution logs must be empty and each execution
    // below violates a guarantee.
    let (refused, _) = run_load(Faults {
        refuse: 1.0,
        ..Faults::default()
    })
    .await;
    let (whole, _) = run_load(Faults::default()).await;
    let (token, attempt_records) = refused.attempt_records.iter().next().expect("a request");
    let call = attempt_records[0].call.as_str();
    let table = [
        (
            "not_run_but_ran",
            &refused,
            vec![execution(token, call, completed)],
        ),
        (
            "duplicate_effects",
            &refused,
            vec![
                execution("t", "t-1", completed),
                execution("t", "t-2", completed),
            ],
        ),
        (
            "wrong_answers",
            &refused,
            vec![execution("t", "t-1", ExecutionState::WrongDeeperAnswer)],
        ),
        (
            "retries_max",
            &refused,
            vec![execution("t", "t-1.a-1", ExecutionState::Cancelled); 5],
        ),
        ("answers_without_execution", &whole, Vec::new()),
    ];
    for (promise, load, executions) in table {
        let records = ExecutionReport {
            service: "only".to_owned(),
            executions,
            ..ExecutionReport::default()
        };
        let audit = Audit::new(&scenario, load, &[records]);
        let broken = audit.violations(Some(3));
        let names: Vec<_> = broken.iter().map(|broken| broken.promise).collect();
        assert_eq!(names, [promise], "{audit}");
    }
}
