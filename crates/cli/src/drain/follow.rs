//! Follows a drain until no call is in flight, and an undrain until the backends serve again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;
use wharfquay_platform::Client;
use wharfquay_platform::conversion::object_key;
use wharfquay_resources::kinds::{Drain, DrainTarget, Resource};
use wharfquay_resources::snapshot::Revision;
use wharfquay_resources::status::{Status, Verdict};

use crate::daemon_status::DaemonStatus;
use crate::error::{CliError, ExitStatus};
use crate::output::{Output, progress};
use crate::status::daemons::{DaemonView, read_daemons};
use crate::status::platform::read_status;

/// Interval between polls of the drain's state.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between progress messages.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of a read of one daemon's status page.
const DAEMON_TIMEOUT: Duration = Duration::from_secs(1);
/// Time beyond the drain's limit for the change to reach every daemon and be reported.
const REPORT_ALLOWANCE: Duration = Duration::from_secs(10);

/// The drain to follow, and where its progress is read.
pub(super) struct FollowOptions<'a> {
    /// Client of the platform, which holds the drain's status.
    pub(super) client: &'a Client,
    pub(super) drain: &'a Drain,
    /// Version under which the drain was written; an older observed version does not cover it.
    pub(super) version: Revision,
    /// Admin addresses of `--daemon`; empty to follow only the resource's status.
    pub(super) daemons: Vec<SocketAddr>,
}

/// Progress of the drain at one poll.
enum DrainProgress {
    Empty,
    Rejected(String),
    Pending(String),
}

/// Polls until the drain's backends have no call in flight or the drain's limit has passed.
pub(super) async fn follow_until_empty(
    options: &FollowOptions<'_>,
    output: &mut Output,
) -> Result<ExitStatus, CliError> {
    let limit = Duration::from_millis(u64::from(options.drain.limit_ms)) + REPORT_ALLOWANCE;
    let started = Instant::now();
    let mut last_shown = started;
    let mut covered = CoveredDaemons::default();
    loop {
        let pending = match poll(options, &mut covered).await {
            DrainProgress::Empty => {
                let millis = started.elapsed().as_millis();
                output.write_line(&format!("empty after {millis} ms"))?;
                return Ok(ExitStatus::Success);
            }
            DrainProgress::Rejected(reason) => {
                return Err(CliError::DrainRejected(reason));
            }
            DrainProgress::Pending(state) => state,
        };
        if started.elapsed() >= limit {
            let state = pending;
            return Err(CliError::NotEmpty { limit, state });
        }
        if last_shown.elapsed() >= PROGRESS_INTERVAL {
            last_shown = Instant::now();
            progress(&pending);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Polls until no daemon that the target covers is leaving.
pub(super) async fn follow_until_serving(
    target: &DrainTarget,
    daemons: &[SocketAddr],
    output: &mut Output,
) -> Result<ExitStatus, CliError> {
    let started = Instant::now();
    loop {
        let views = read_daemons(daemons, DAEMON_TIMEOUT).await;
        let statuses = views.iter().filter_map(|view| view.status.as_ref());
        let leaving = statuses.filter(|status| status.leaving && covers(target, status));
        let ids: Vec<&str> = leaving.map(|status| status.id.as_str()).collect();
        if ids.is_empty() {
            let millis = started.elapsed().as_millis();
            output.write_line(&format!("serving again after {millis} ms"))?;
            return Ok(ExitStatus::Success);
        }
        if started.elapsed() >= REPORT_ALLOWANCE {
            return Err(CliError::StillLeaving {
                limit: REPORT_ALLOWANCE,
                daemons: ids.join(", "),
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Reads the resource's status. While that is pending and daemons are specified, their status pages
/// decide.
async fn poll(options: &FollowOptions<'_>, covered: &mut CoveredDaemons) -> DrainProgress {
    let resource_progress = poll_status(options).await;
    if options.daemons.is_empty() || !matches!(resource_progress, DrainProgress::Pending(_)) {
        return resource_progress;
    }
    let views = read_daemons(&options.daemons, DAEMON_TIMEOUT).await;
    covered.update(options, &views);
    covered.evaluate()
}

async fn poll_status(options: &FollowOptions<'_>) -> DrainProgress {
    let id = Resource::Drain(options.drain.clone()).id();
    let object = match options.client.get_status(&object_key(&id)).await {
        Ok(Some(object)) => object,
        Ok(None) => return DrainProgress::Pending("no status of the drain yet".to_owned()),
        Err(error) => return DrainProgress::Pending(error.to_string()),
    };
    match read_status(&object) {
        Some(status) if status.observed_version >= options.version => evaluate_status(&status),
        _ => DrainProgress::Pending("the drain is not observed yet".to_owned()),
    }
}

fn evaluate_status(status: &Status) -> DrainProgress {
    if let Verdict::Rejected { reason, .. } = &status.verdict {
        return DrainProgress::Rejected(reason.clone());
    }
    let in_flight = status.in_flight();
    if !status.is_in_force_everywhere() {
        return DrainProgress::Pending("not in force at every daemon yet".to_owned());
    }
    if in_flight > 0 {
        return DrainProgress::Pending(format!("{in_flight} calls in flight"));
    }
    DrainProgress::Empty
}

/// Last known state of each daemon that the drain covers.
#[derive(Default)]
struct CoveredDaemons {
    daemons: BTreeMap<SocketAddr, CoveredState>,
}

enum CoveredState {
    /// The drain is not in force at the daemon yet.
    NotLeaving,
    /// The backend gets no new work and has this many calls in flight or queued.
    Leaving(u64),
    /// The daemon responded before and no longer does; it is taken to have terminated.
    Terminated,
}

impl CoveredDaemons {
    fn update(&mut self, options: &FollowOptions<'_>, views: &[DaemonView]) {
        for view in views {
            match &view.status {
                Some(status) if covers(&options.drain.target, status) => {
                    let state = if status.leaving {
                        CoveredState::Leaving(status.pending_calls())
                    } else {
                        CoveredState::NotLeaving
                    };
                    self.daemons.insert(view.address, state);
                }
                Some(_) => {}
                None => {
                    if let Some(state) = self.daemons.get_mut(&view.address) {
                        *state = CoveredState::Terminated;
                    }
                }
            }
        }
    }

    fn evaluate(&self) -> DrainProgress {
        if self.daemons.is_empty() {
            return DrainProgress::Pending("no daemon of --daemon is covered".to_owned());
        }
        let mut not_leaving = 0;
        let mut calls = 0;
        for state in self.daemons.values() {
            match state {
                CoveredState::NotLeaving => not_leaving += 1,
                CoveredState::Leaving(pending) => calls += pending,
                CoveredState::Terminated => {}
            }
        }
        if not_leaving > 0 {
            return DrainProgress::Pending(format!("{not_leaving} daemons are not leaving yet"));
        }
        if calls > 0 {
            return DrainProgress::Pending(format!("{calls} calls in flight"));
        }
        DrainProgress::Empty
    }
}

fn covers(target: &DrainTarget, status: &DaemonStatus) -> bool {
    target.covers(&status.id, &status.zone, status.service.as_deref())
}
