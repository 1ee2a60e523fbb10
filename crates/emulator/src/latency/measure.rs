//! Sends requests as a Poisson process, each on one of the two routes at random, and measures their
//! latency.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::task::JoinSet;
use uuid::Uuid;
use wharfquay_protocol::headers;

use super::processes::SchedulerTimes;
use super::report::{DaemonTimes, KindLatency, LatencyReport, calls_of};
use crate::load::arrivals::Arrivals;
use crate::response_body;
use crate::scenario::{RequestModel, Scenario};

const MAX_LATENCY_NS: u64 = 60_000_000_000;
const SIGNIFICANT_FIGURES: u8 = 3;

/// Settings of a measurement.
#[derive(Clone, Debug)]
pub struct LatencySettings {
    /// The scenario, which defines the request kinds and their rates.
    pub scenario: Arc<Scenario>,
    /// Address of the first backend of the chain without daemons.
    pub direct: SocketAddr,
    /// Address of the edge in front of the chain with daemons.
    pub edge: SocketAddr,
    /// Length of the measurement.
    pub length: Duration,
    /// Time before the measurement during which requests are sent and not counted.
    pub warm_up: Duration,
    /// Factor on every rate; each rate is divided between the two routes.
    pub rate_factor: f64,
    /// Process ids of the daemons whose processor time is reported; empty for no such report.
    pub pids: Vec<u32>,
    /// Seed of the arrivals and of the choice of the route.
    pub seed: u64,
}

/// Route of a request: directly to a backend or through daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    Direct,
    Daemons,
}

/// Latencies of one request kind, in nanoseconds, and the number of failed requests.
struct KindLatencies {
    direct: Histogram<u64>,
    daemons: Histogram<u64>,
    failed: u64,
}

impl KindLatencies {
    fn new() -> Self {
        Self {
            direct: nanosecond_histogram(),
            daemons: nanosecond_histogram(),
            failed: 0,
        }
    }

    fn record(&mut self, route: Route, time: Option<Duration>) {
        let Some(time) = time else {
            self.failed += 1;
            return;
        };
        let nanos = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
        match route {
            Route::Direct => self.direct.saturating_record(nanos),
            Route::Daemons => self.daemons.saturating_record(nanos),
        }
    }
}

struct LatencyMeter {
    settings: LatencySettings,
    client: Client<HttpConnector, Full<Bytes>>,
    times: Vec<Mutex<KindLatencies>>,
}

/// Runs a measurement. A latency is the time from sending a request to the end of its complete
/// response; the delay of the timer that schedules the request isn't included.
pub async fn measure(settings: LatencySettings) -> LatencyReport {
    let latency_meter = Arc::new(LatencyMeter::new(settings));
    let settings = &latency_meter.settings;
    let total_length = settings.warm_up + settings.length;
    let arrivals = Arrivals::new(
        &settings.scenario,
        total_length,
        None,
        settings.rate_factor,
        settings.seed,
    );
    let mut rng = Pcg64Mcg::seed_from_u64(settings.seed ^ 0x1A7E_9C11);
    let before = SchedulerTimes::read(&settings.pids);
    let started = Instant::now();
    let mut requests = JoinSet::new();
    let mut calls_through_daemons = 0;
    for arrival in arrivals {
        tokio::time::sleep_until((started + arrival.at).into()).await;
        let route = if rng.random_bool(0.5) {
            Route::Direct
        } else {
            Route::Daemons
        };
        if route == Route::Daemons {
            let model = &settings.scenario.requests[arrival.kind];
            calls_through_daemons += u64::from(calls_of(model));
        }
        let counted = arrival.at >= settings.warm_up;
        let latency_meter = Arc::clone(&latency_meter);
        requests.spawn(async move { latency_meter.send(arrival.kind, route, counted).await });
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
    let times = SchedulerTimes::read(&settings.pids).since(before);
    let daemons = DaemonTimes::per_call(times, calls_through_daemons);
    latency_meter.report((!settings.pids.is_empty()).then_some(daemons))
}

impl LatencyMeter {
    fn new(settings: LatencySettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build(connector);
        let kinds = settings.scenario.requests.iter();
        Self {
            times: kinds.map(|_| Mutex::new(KindLatencies::new())).collect(),
            settings,
            client,
        }
    }

    async fn send(&self, kind: usize, route: Route, counted: bool) {
        let model = &self.settings.scenario.requests[kind];
        let time = self.time(model, route).await;
        if counted {
            let mut times = self.times[kind]
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            times.record(route, time);
        }
    }

    /// Sends one request and returns its latency, or `None` without a complete response.
    async fn time(&self, model: &RequestModel, route: Route) -> Option<Duration> {
        let address = match route {
            Route::Direct => self.settings.direct,
            Route::Daemons => self.settings.edge,
        };
        let token = Uuid::now_v7().simple().to_string();
        let path = &model.path;
        let request = Request::builder()
            .method(model.method.as_str())
            .uri(format!("http://{address}{path}?token={token}&call={token}"))
            .header(headers::SERVICE, &model.entry)
            .body(Full::default())
            .ok()?;
        let sent = Instant::now();
        let response = self.client.request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        let time = sent.elapsed();
        response_body::verify(&body, &model.entry, &token).ok()?;
        Some(time)
    }

    fn report(&self, daemon_times: Option<DaemonTimes>) -> LatencyReport {
        let settings = &self.settings;
        let kinds = settings.scenario.requests.iter().zip(&self.times);
        let kinds = kinds.map(|(model, times)| {
            let times = times.lock().unwrap_or_else(PoisonError::into_inner);
            KindLatency::new(
                model,
                model.rate * settings.rate_factor,
                &times.direct,
                &times.daemons,
                times.failed,
            )
        });
        LatencyReport {
            seconds: settings.length.as_secs_f64(),
            seed: settings.seed,
            kinds: kinds.collect(),
            daemon_times,
        }
    }
}

fn nanosecond_histogram() -> Histogram<u64> {
    // The bounds are valid, so the fallback is never reached with these constants.
    Histogram::new_with_max(MAX_LATENCY_NS, SIGNIFICANT_FIGURES)
        .unwrap_or_else(|_| Histogram::new(SIGNIFICANT_FIGURES).expect("valid precision"))
}
