//! Counters, gauges and latency histograms of one sidecar in the Prometheus text format.

mod catalogue;

use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;

use prometheus::core::Collector;
use prometheus::{
    Encoder, Gauge, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec,
    IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};
use wharfquay_core::admission::completion::{FULL_SHARE, LimitedKind};
use wharfquay_core::admission::returns::PromiseCounts;
use wharfquay_core::backend_load::{BackendLoad, ReportedExecution};
use wharfquay_core::call::Repeatability;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::routing::PickBasis;
use wharfquay_daemon::sync::lock;

pub use catalogue::CATALOGUE;

use crate::inbound::load_reports::ReadReport;
use crate::inbound::response::{Mark, ResponseClaim};
use crate::outbound::connection::lifecycle::ConnectionEnd;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.010, 0.025, 0.050, 0.100, 0.250, 0.500, 1.0, 2.5, 5.0,
];

/// Maximum number of tenants with their own label; the first ones seen get one, the others share a
/// label. This bounds the size of the page that a scraper reads.
const MAX_NAMED_TENANTS: usize = 128;
/// Label of the tenants without their own label.
const OTHER_TENANTS: &str = "other";

/// Values that are sampled when the metrics are rendered.
#[derive(Clone, Debug, Default)]
pub struct Gauges {
    /// Load of the local backend: number of calls in execution, maximum number of calls that it may
    /// execute concurrently, and number of calls waiting for admission.
    pub load: (u32, u32, u32),
    /// Admission level of the local backend, from 0 (admits no call) to 32768 (admits every call).
    pub level: u16,
    /// Version of the configuration in force; zero if there is none.
    pub version: u64,
    /// Time since the configuration came into force.
    pub configuration_age: Duration,
    /// Number of known sidecars in each member state, with the name of the state.
    pub members: Vec<(&'static str, i64)>,
    /// True if callers may be sent to this sidecar.
    pub is_ready: bool,
    /// Numbers of log lines written and dropped.
    pub log_lines: (u64, u64),
    /// Number of repeats that the local backend may still receive in the current window.
    pub repeats_left: u64,
    /// Time since the last confirmation of the configuration; `None` if it was never confirmed.
    pub confirmed_age: Option<Duration>,
    /// Number of suspects (requests executed one at a time after a backend terminated while
    /// executing them) and number of quarantined requests that are known here.
    pub quarantine: (usize, usize),
    /// Rate limit that the local backend announces, in requests per second.
    pub rate_limit: Option<f64>,
    /// Load that the local backend reports; `None` if unknown.
    pub backend_load: Option<BackendLoad>,
    /// Expected execution time of one more call at the local backend; `None` if unknown.
    pub execution: Option<ReportedExecution>,
    /// Request kinds of which only a share is started here.
    pub limited_kinds: Vec<LimitedKind>,
    /// Request kinds whose executions at the local backend do not all complete, with their
    /// completed share in permille.
    pub incomplete_kinds: Vec<(String, u16)>,
}

/// The metrics of one sidecar.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    request_seconds: HistogramVec,
    requests_cut: IntCounterVec,
    attempts: IntCounterVec,
    retries: IntCounterVec,
    given_up: IntCounterVec,
    calls: IntCounterVec,
    unexecuted_claims: IntCounterVec,
    calls_sent_again: IntCounterVec,
    call_seconds: Histogram,
    queue_seconds: Histogram,
    platform_calls: IntCounterVec,
    load: [IntGauge; 4],
    configuration: [IntGauge; 2],
    members: IntGaugeVec,
    ready: IntGauge,
    log_lines: IntGaugeVec,
    repeats_left: IntGauge,
    tenant_requests: IntCounterVec,
    named_tenants: Mutex<HashSet<String>>,
    confirmed_age: IntGauge,
    instances_terminated: IntCounter,
    quarantine: IntGaugeVec,
    rate_limit: Gauge,
    /// Load reports by [`ReadReport`], in the order of its labels.
    load_reports: [IntCounter; ReadReport::LABELS.len()],
    reported_load: IntGaugeVec,
    slowdown: IntGauge,
    expected_execution: Gauge,
    started_share: GaugeVec,
    completed_share: GaugeVec,
    /// Attempts by [`PickBasis`]: expected execution, counts, expired, none.
    picks: [IntCounter; 4],
    report_age: Histogram,
    caller_requests: IntCounterVec,
    promises: IntCounterVec,
}

/// Registers the metrics of the catalogue.
struct Registrar(Registry);

impl Registrar {
    fn options(name: &'static str) -> Opts {
        let entry = CATALOGUE.iter().find(|(listed, _)| *listed == name);
        Opts::new(name, entry.map_or("", |(_, help)| *help))
    }

    /// Registers a metric. One that can't be registered is only missing from the page.
    fn register<C: Collector + Clone + 'static>(&self, collector: C) -> C {
        if let Err(error) = self.0.register(Box::new(collector.clone())) {
            log::error!("event=library_message message=\"{error}\"");
        }
        collector
    }

    fn counter(&self, name: &'static str) -> prometheus::Result<IntCounter> {
        IntCounter::with_opts(Self::options(name)).map(|counter| self.register(counter))
    }

    fn counters(&self, name: &'static str, labels: &[&str]) -> prometheus::Result<IntCounterVec> {
        IntCounterVec::new(Self::options(name), labels).map(|counters| self.register(counters))
    }

    fn gauge(&self, name: &'static str) -> prometheus::Result<IntGauge> {
        IntGauge::with_opts(Self::options(name)).map(|gauge| self.register(gauge))
    }

    fn decimal_gauge(&self, name: &'static str) -> prometheus::Result<Gauge> {
        Gauge::with_opts(Self::options(name)).map(|gauge| self.register(gauge))
    }

    fn gauges(&self, name: &'static str, labels: &[&str]) -> prometheus::Result<IntGaugeVec> {
        IntGaugeVec::new(Self::options(name), labels).map(|gauges| self.register(gauges))
    }

    fn decimal_gauges(&self, name: &'static str, labels: &[&str]) -> prometheus::Result<GaugeVec> {
        GaugeVec::new(Self::options(name), labels).map(|gauges| self.register(gauges))
    }

    fn histogram_options(name: &'static str) -> HistogramOpts {
        HistogramOpts::from(Self::options(name)).buckets(LATENCY_BUCKETS.to_vec())
    }

    fn histogram(&self, name: &'static str) -> prometheus::Result<Histogram> {
        Histogram::with_opts(Self::histogram_options(name))
            .map(|histogram| self.register(histogram))
    }

    fn histograms(&self, name: &'static str, labels: &[&str]) -> prometheus::Result<HistogramVec> {
        let histograms = HistogramVec::new(Self::histogram_options(name), labels);
        histograms.map(|histograms| self.register(histograms))
    }
}

impl Metrics {
    /// Creates metrics that are all zero.
    ///
    /// # Errors
    /// If the library rejects a name or label. All of them are constants of this crate that it
    /// accepts.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registrar = Registrar(Registry::new());
        let load_reports = registrar.counters("wharfquay_load_reports_total", &["result"])?;
        let picks = registrar.counters("wharfquay_picks_total", &["basis"])?;
        Ok(Self {
            requests: registrar.counters("wharfquay_requests_total", &["route", "result"])?,
            request_seconds: registrar.histograms("wharfquay_request_seconds", &["route"])?,
            requests_cut: registrar.counters("wharfquay_requests_cut_total", &["reason"])?,
            attempts: registrar.counters("wharfquay_attempts_total", &["target", "result"])?,
            retries: registrar.counters("wharfquay_retries_total", &["service"])?,
            given_up: registrar
                .counters("wharfquay_retries_given_up_total", &["service", "reason"])?,
            calls: registrar.counters("wharfquay_calls_total", &["result"])?,
            unexecuted_claims: registrar
                .counters("wharfquay_unexecuted_claims_total", &["mark", "echoed"])?,
            calls_sent_again: registrar
                .counters("wharfquay_calls_sent_again_total", &["repeatable"])?,
            call_seconds: registrar.histogram("wharfquay_call_seconds")?,
            queue_seconds: registrar.histogram("wharfquay_queue_seconds")?,
            platform_calls: registrar
                .counters("wharfquay_platform_calls_total", &["operation", "result"])?,
            load: [
                registrar.gauge("wharfquay_in_flight")?,
                registrar.gauge("wharfquay_limit")?,
                registrar.gauge("wharfquay_waiting")?,
                registrar.gauge("wharfquay_level")?,
            ],
            configuration: [
                registrar.gauge("wharfquay_configuration_version")?,
                registrar.gauge("wharfquay_configuration_age_seconds")?,
            ],
            members: registrar.gauges("wharfquay_members", &["state"])?,
            ready: registrar.gauge("wharfquay_ready")?,
            log_lines: registrar.gauges("wharfquay_log_lines_total", &["fate"])?,
            repeats_left: registrar.gauge("wharfquay_repeats_left")?,
            tenant_requests: registrar
                .counters("wharfquay_tenant_requests_total", &["tenant", "result"])?,
            named_tenants: Mutex::default(),
            confirmed_age: registrar.gauge("wharfquay_configuration_confirmed_age_seconds")?,
            instances_terminated: registrar.counter("wharfquay_instances_ended_total")?,
            quarantine: registrar.gauges("wharfquay_quarantine_requests", &["standing"])?,
            rate_limit: registrar.decimal_gauge("wharfquay_backend_rate_limit")?,
            load_reports: ReadReport::LABELS.map(|label| load_reports.with_label_values(&[label])),
            reported_load: registrar.gauges("wharfquay_backend_reported_load", &["value"])?,
            slowdown: registrar.gauge("wharfquay_backend_slowdown_percent")?,
            expected_execution: registrar
                .decimal_gauge("wharfquay_backend_expected_execution_seconds")?,
            started_share: registrar
                .decimal_gauges("wharfquay_started_share", &["service", "kind"])?,
            completed_share: registrar.decimal_gauges("wharfquay_completed_share", &["kind"])?,
            picks: PICK_BASES.map(|basis| picks.with_label_values(&[basis])),
            report_age: registrar.histogram("wharfquay_load_report_age_seconds")?,
            caller_requests: registrar
                .counters("wharfquay_caller_requests_total", &["caller", "result"])?,
            promises: registrar.counters("wharfquay_return_promises_total", &["result"])?,
            registry: registrar.0,
        })
    }

    /// Counts a request that received its final response.
    pub fn request_completed(&self, route: &str, result: ResultCode, took: Duration) {
        self.requests
            .with_label_values(&[route, result.name()])
            .inc();
        let seconds = self.request_seconds.with_label_values(&[route]);
        seconds.observe(took.as_secs_f64());
    }

    /// Counts a request of a tenant that received its final response.
    pub fn tenant_request_completed(&self, tenant: &str, result: ResultCode) {
        self.tenant_requests
            .with_label_values(&[self.tenant_label(tenant), result.name()])
            .inc();
    }

    /// Counts a request of a caller that shares scarce capacity. `is_on_time` is true if it returned
    /// at its promised time.
    pub fn caller_request_completed(&self, caller: &str, is_admitted: bool, is_on_time: bool) {
        let fate = if is_admitted { "admitted" } else { "refused" };
        self.caller_requests
            .with_label_values(&[self.tenant_label(caller), fate])
            .inc();
        if is_on_time {
            let fate = if is_admitted { "kept" } else { "missed" };
            self.promises.with_label_values(&[fate]).inc();
        }
    }

    /// Adds numbers of promises.
    pub fn count_promises(&self, counts: PromiseCounts) {
        let fates = [
            ("given", counts.given),
            ("none", counts.beyond_deadline),
            ("early", counts.early),
            ("unclaimed", counts.unclaimed),
        ];
        for (fate, count) in fates.into_iter().filter(|(_, count)| *count > 0) {
            self.promises.with_label_values(&[fate]).inc_by(count);
        }
    }

    /// Returns the name of a tenant, or the common label if too many others have their own.
    fn tenant_label<'name>(&self, tenant: &'name str) -> &'name str {
        let mut named = lock(&self.named_tenants);
        let is_named = named.contains(tenant)
            || (named.len() < MAX_NAMED_TENANTS && named.insert(tenant.to_owned()));
        if is_named { tenant } else { OTHER_TENANTS }
    }

    /// Counts a completed attempt.
    pub fn attempt_completed(&self, target: &str, result: ResultCode) {
        self.attempts
            .with_label_values(&[target, result.name()])
            .inc();
    }

    /// Counts an attempt after the first.
    pub fn retried(&self, service: &str) {
        self.retries.with_label_values(&[service]).inc();
    }

    /// Counts a failed attempt that is not followed by another, by the reason for it.
    pub fn record_no_retry(&self, service: &str, reason: &str) {
        self.given_up.with_label_values(&[service, reason]).inc();
    }

    /// Counts a completed call for the local backend.
    pub fn call_completed(&self, result: ResultCode, queued: Duration, took: Duration) {
        self.calls.with_label_values(&[result.name()]).inc();
        self.queue_seconds.observe(queued.as_secs_f64());
        self.call_seconds.observe(took.as_secs_f64());
    }

    /// Counts a response of the local backend that claims that its request was not executed.
    pub(crate) fn backend_responded(&self, claim: ResponseClaim) {
        if claim.mark != Mark::None {
            let labels = [claim.mark.name(), claim.echo.name()];
            self.unexecuted_claims.with_label_values(&labels).inc();
        }
    }

    /// Counts a call that is sent again to the local backend after it refused the call.
    pub(crate) fn call_sent_again(&self, repeatability: Repeatability) {
        let label = match repeatability {
            Repeatability::Repeatable => "true",
            Repeatability::AtMostOnce => "false",
        };
        self.calls_sent_again.with_label_values(&[label]).inc();
    }

    /// Counts a request whose connection ended before its response was completely written.
    pub(crate) fn request_cut(&self, reason: ConnectionEnd) {
        self.requests_cut.with_label_values(&[reason.name()]).inc();
    }

    /// Returns the number of requests that were cut for a reason other than their caller.
    pub(crate) fn requests_cut_here(&self) -> u64 {
        let reasons = ConnectionEnd::ALL.into_iter();
        let here = reasons.filter(|reason| !reason.is_by_caller());
        let counts = here.map(|reason| self.requests_cut.with_label_values(&[reason.name()]).get());
        counts.sum()
    }

    /// Counts an instance of the local backend that terminated without announcing it.
    pub fn count_unannounced_termination(&self) {
        self.instances_terminated.inc();
    }

    /// Counts an attempt by what was known of the load of the picked sidecar.
    pub fn picked(&self, basis: PickBasis) {
        let index = match basis {
            PickBasis::ExpectedExecution(age) => {
                self.report_age.observe(age.as_secs_f64());
                0
            }
            PickBasis::Counts => 1,
            PickBasis::Expired => 2,
            PickBasis::NoReport => 3,
        };
        self.picks[index].inc();
    }

    /// Counts a load report of the local backend by what became of it.
    pub(crate) fn load_report_read(&self, read: ReadReport) {
        if let Some(index) = read.label_index() {
            self.load_reports[index].inc();
        }
    }

    /// Counts a call to the platform.
    pub fn platform_called(&self, operation: &str, result: &str) {
        self.platform_calls
            .with_label_values(&[operation, result])
            .inc();
    }

    /// Returns the text for a scraper.
    #[must_use]
    pub fn render(&self, gauges: &Gauges) -> String {
        self.set(gauges);
        let mut text = Vec::new();
        let families = self.registry.gather();
        if TextEncoder::new().encode(&families, &mut text).is_err() {
            text.clear();
        }
        String::from_utf8(text).unwrap_or_default()
    }

    fn set(&self, gauges: &Gauges) {
        let (in_flight, limit, waiting) = gauges.load;
        let load = [in_flight, limit, waiting, u32::from(gauges.level)];
        for (gauge, value) in self.load.iter().zip(load) {
            gauge.set(i64::from(value));
        }
        let age = gauges.configuration_age.as_secs();
        for (gauge, value) in self.configuration.iter().zip([gauges.version, age]) {
            gauge.set(signed(value));
        }
        for (state, count) in &gauges.members {
            self.members.with_label_values(&[*state]).set(*count);
        }
        self.ready.set(i64::from(gauges.is_ready));
        let (written, dropped) = gauges.log_lines;
        for (fate, lines) in [("written", written), ("dropped", dropped)] {
            self.log_lines.with_label_values(&[fate]).set(signed(lines));
        }
        self.repeats_left.set(signed(gauges.repeats_left));
        let confirmed_age = gauges.confirmed_age.map(|age| signed(age.as_secs()));
        self.confirmed_age
            .set(confirmed_age.unwrap_or(NEVER_CONFIRMED));
        let (suspects, quarantined) = gauges.quarantine;
        for (standing, count) in [("suspect", suspects), ("quarantined", quarantined)] {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.quarantine.with_label_values(&[standing]).set(count);
        }
        self.rate_limit
            .set(gauges.rate_limit.unwrap_or(NO_RATE_LIMIT));
        self.set_backend_load(gauges);
    }

    fn set_backend_load(&self, gauges: &Gauges) {
        let load = gauges.backend_load;
        let values = [
            ("running", load.map(|load| load.running)),
            ("waiting", load.map(|load| load.waiting)),
            ("slots", load.map(|load| load.slots)),
        ];
        for (name, value) in values {
            let value = value.map_or(UNKNOWN_LOAD, i64::from);
            self.reported_load.with_label_values(&[name]).set(value);
        }
        let slowdown = load.and_then(|load| load.slowdown);
        let percent = slowdown.map_or(UNKNOWN_LOAD, |slowdown| i64::from(slowdown.percent()));
        self.slowdown.set(percent);
        let expected = gauges.execution.map(|execution| execution.expected);
        let seconds = expected.map_or(UNKNOWN_LOAD as f64, |time| time.as_secs_f64());
        self.expected_execution.set(seconds);
        self.started_share.reset();
        for limited in &gauges.limited_kinds {
            let labels = [limited.service.as_str(), limited.kind.as_str()];
            self.started_share
                .with_label_values(&labels)
                .set(limited.share);
        }
        self.completed_share.reset();
        for (kind, permille) in &gauges.incomplete_kinds {
            let share = f64::from(*permille) / f64::from(FULL_SHARE);
            self.completed_share.with_label_values(&[kind]).set(share);
        }
    }
}

/// Value of the confirmation age if there was no confirmation.
const NEVER_CONFIRMED: i64 = -1;
/// Labels of the picks, in the order of [`Metrics::picks`].
const PICK_BASES: [&str; 4] = ["expected_execution", "counts", "expired", "none"];
/// Value of a reported load that is unknown.
const UNKNOWN_LOAD: i64 = -1;
/// Value of the rate limit of a backend that announces none.
const NO_RATE_LIMIT: f64 = -1.0;

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
