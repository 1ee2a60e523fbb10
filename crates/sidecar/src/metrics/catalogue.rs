//! Names and help texts of the metrics.

/// Every metric with its help text. `docs/OPERATIONS.md` contains the same list.
pub const CATALOGUE: [(&str, &str); 37] = [
    (
        "wharfquay_requests_total",
        "Requests of callers and of the back end that ended, by route and result",
    ),
    (
        "wharfquay_request_seconds",
        "Time from the arrival of a request to its final answer, by route",
    ),
    (
        "wharfquay_requests_cut_total",
        "Requests of callers whose connection ended before the response was completely written, by reason: caller_gone, caller_stalled, response_broken, stopped",
    ),
    (
        "wharfquay_attempts_total",
        "Attempts that ended, by the sidecar that got them and result",
    ),
    (
        "wharfquay_retries_total",
        "Attempts after the first, by service",
    ),
    (
        "wharfquay_retries_given_up_total",
        "Failed attempts without a further one, by service and reason",
    ),
    (
        "wharfquay_calls_total",
        "Calls for the local back end that ended, by result",
    ),
    (
        "wharfquay_unexecuted_claims_total",
        "Responses of the local backend that claim that their request was not executed, by mark (not_executed, misdirected) and by whether they name the request (matching, missing, other); only those that do are believed",
    ),
    (
        "wharfquay_calls_sent_again_total",
        "Calls sent again to the local backend after it refused them, by whether they may be executed more than once",
    ),
    (
        "wharfquay_call_seconds",
        "Time from the arrival of a call to its answer",
    ),
    (
        "wharfquay_queue_seconds",
        "Time that calls waited for admission",
    ),
    (
        "wharfquay_platform_calls_total",
        "Calls to the platform, by operation and result",
    ),
    (
        "wharfquay_in_flight",
        "Calls that the local back end executes",
    ),
    ("wharfquay_limit", "Calls that it may execute at a time"),
    ("wharfquay_waiting", "Calls that wait for admission"),
    (
        "wharfquay_level",
        "Admission level of the local back end; 32768 is open",
    ),
    (
        "wharfquay_configuration_version",
        "Version of the configuration in force; 0 is none",
    ),
    (
        "wharfquay_configuration_age_seconds",
        "Time since it came in force",
    ),
    ("wharfquay_members", "Sidecars that are known, by state"),
    ("wharfquay_ready", "Whether callers may be sent here"),
    (
        "wharfquay_log_lines_total",
        "Log lines, by whether they were written or dropped",
    ),
    (
        "wharfquay_repeats_left",
        "Repeated calls that the local back end may still get now under the bound on repeats",
    ),
    (
        "wharfquay_tenant_requests_total",
        "Requests of callers with an API key that ended, by tenant and result; tenants after the first 128 as other",
    ),
    (
        "wharfquay_configuration_confirmed_age_seconds",
        "Time since the configuration in force was last confirmed to be the newest; -1 where it never was",
    ),
    (
        "wharfquay_instances_ended_total",
        "Instances of the local back end that ended without a word while they executed requests",
    ),
    (
        "wharfquay_quarantine_requests",
        "Requests under which back ends ended that are known here, by standing: suspect (isolated), quarantined (refused)",
    ),
    (
        "wharfquay_backend_rate_limit",
        "Requests per second that the local backend announces as the limit for all senders together; -1 if it announces none",
    ),
    (
        "wharfquay_load_reports_total",
        "Load reports in responses of the local backend, by what became of them: in_force, outdated, other_instance, malformed",
    ),
    (
        "wharfquay_backend_reported_load",
        "Load that the local backend reported last, by value: running, waiting, slots; -1 if unknown",
    ),
    (
        "wharfquay_backend_slowdown_percent",
        "Time that work takes at the local backend, as it reported last, in percent of the usual time; -1 if unknown",
    ),
    (
        "wharfquay_backend_expected_execution_seconds",
        "Expected execution time of one more call at the local backend at its present slowdown; -1 if unknown",
    ),
    (
        "wharfquay_started_share",
        "Share of the requests of callers here that is started, by called service and request kind; absent while all are",
    ),
    (
        "wharfquay_completed_share",
        "Share of the recent executions at the local backend that completed, by request kind; absent while all do and for kinds that make no calls",
    ),
    (
        "wharfquay_picks_total",
        "Attempts, by what was known of the load of the picked sidecar: expected_execution (it reports a slowdown), counts, expired, none",
    ),
    (
        "wharfquay_load_report_age_seconds",
        "Age of the expected execution time of the picked sidecar when it was used",
    ),
    (
        "wharfquay_caller_requests_total",
        "Requests of callers that share scarce capacity, by caller and result: admitted, or refused for lack of capacity (requests refused for another reason are in neither); callers without a tenant as none, those after the first 128 as other",
    ),
    (
        "wharfquay_return_promises_total",
        "Refused requests by what became of their return: given (a promise), none (beyond the deadline), early (returned before the promised time or without a promise), kept (returned on time and admitted), missed (returned on time and refused), unclaimed (did not return in time)",
    ),
];
