//! Following a drain until no call is left, and its withdrawal until the back ends take part again.

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
use crate::error::{CliError, Finish};
use crate::output::{Output, progress};
use crate::status::daemons::{DaemonView, read_daemons};
use crate::status::platform::read_status;

/// Time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which progress is shown again.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// Longest wait for the status page of one daemon.
const DAEMON_TIMEOUT: Duration = Duration::from_secs(1);
/// Time beyond the drain's limit for the change to reach every daemon and be reported.
const REPORT_ALLOWANCE: Duration = Duration::from_secs(10);

/// What to follow.
pub(super) struct FollowOptions<'a> {
    pub(super) client: &'a Client,
    pub(super) drain: &'a Drain,
    /// Version of the drain that was written.
    pub(super) version: Revision,
    pub(super) daemons: Vec<SocketAddr>,
}

/// How far the drain is, by one look.
enum Look {
    Empty,
    Rejected(String),
    Pending(String),
}

/// Looks again and again until the drain's back ends are empty or its limit has passed.
pub(super) async fn follow_until_empty(
    options: &FollowOptions<'_>,
    output: &mut Output,
) -> Result<Finish, CliError> {
    let limit = Duration::from_millis(u64::from(options.drain.limit_ms)) + REPORT_ALLOWANCE;
    let started = Instant::now();
    let mut shown = started;
    let mut covered = CoveredDaemons::default();
    loop {
        let pending = match look(options, &mut covered).await {
            Look::Empty => {
                let millis = started.elapsed().as_millis();
                output.line(&format!("empty after {millis} ms"))?;
                return Ok(Finish::Done);
            }
            Look::Rejected(reason) => {
                return Err(CliError::DrainRejected(reason));
            }
            Look::Pending(state) => state,
        };
        if started.elapsed() >= limit {
            let state = pending;
            return Err(CliError::NotEmpty { limit, state });
        }
        if shown.elapsed() >= PROGRESS_INTERVAL {
            shown = Instant::now();
            progress(&pending);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Looks again and again until no daemon that the target covers is leaving any more.
pub(super) async fn follow_until_back(
    target: &DrainTarget,
    daemons: &[SocketAddr],
    output: &mut Output,
) -> Result<Finish, CliError> {
    let started = Instant::now();
    loop {
        let views = read_daemons(daemons, DAEMON_TIMEOUT).await;
        let statuses = views.iter().filter_map(|view| view.status.as_ref());
        let leaving = statuses.filter(|status| status.leaving && covers(target, status));
        let ids: Vec<&str> = leaving.map(|status| status.id.as_str()).collect();
        if ids.is_empty() {
            let millis = started.elapsed().as_millis();
            output.line(&format!("taking part again after {millis} ms"))?;
            return Ok(Finish::Done);
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

async fn look(options: &FollowOptions<'_>, covered: &mut CoveredDaemons) -> Look {
    let by_status = look_at_status(options).await;
    if options.daemons.is_empty() || !matches!(by_status, Look::Pending(_)) {
        return by_status;
    }
    let views = read_daemons(&options.daemons, DAEMON_TIMEOUT).await;
    covered.update(options, &views);
    covered.judge()
}

async fn look_at_status(options: &FollowOptions<'_>) -> Look {
    let id = Resource::Drain(options.drain.clone()).id();
    let object = match options.client.get_status(&object_key(&id)).await {
        Ok(Some(object)) => object,
        Ok(None) => return Look::Pending("no status of the drain yet".to_owned()),
        Err(error) => return Look::Pending(error.to_string()),
    };
    match read_status(&object) {
        Some(status) if status.observed_version >= options.version => judge_status(&status),
        _ => Look::Pending("the drain is not observed yet".to_owned()),
    }
}

fn judge_status(status: &Status) -> Look {
    if let Verdict::Rejected { reason, .. } = &status.verdict {
        return Look::Rejected(reason.clone());
    }
    let in_flight = status.in_flight();
    if !status.is_in_force_everywhere() {
        return Look::Pending("not in force at every daemon yet".to_owned());
    }
    if in_flight > 0 {
        return Look::Pending(format!("{in_flight} calls in flight"));
    }
    Look::Empty
}

/// The last state of each daemon that the drain covers.
#[derive(Default)]
struct CoveredDaemons {
    daemons: BTreeMap<SocketAddr, CoveredState>,
}

enum CoveredState {
    /// The daemon has not heard of the drain.
    Unaware,
    /// The back end gets no new work and has this many calls left.
    Leaving(u64),
    /// The daemon answered before and does no longer, so that it has ended.
    Ended,
}

impl CoveredDaemons {
    fn update(&mut self, options: &FollowOptions<'_>, views: &[DaemonView]) {
        for view in views {
            match &view.status {
                Some(status) if covers(&options.drain.target, status) => {
                    let state = if status.leaving {
                        CoveredState::Leaving(status.pending_calls())
                    } else {
                        CoveredState::Unaware
                    };
                    self.daemons.insert(view.address, state);
                }
                Some(_) => {}
                None => {
                    if let Some(state) = self.daemons.get_mut(&view.address) {
                        *state = CoveredState::Ended;
                    }
                }
            }
        }
    }

    fn judge(&self) -> Look {
        if self.daemons.is_empty() {
            return Look::Pending("no daemon given by --daemon is covered".to_owned());
        }
        let mut unaware = 0;
        let mut calls = 0;
        for state in self.daemons.values() {
            match state {
                CoveredState::Unaware => unaware += 1,
                CoveredState::Leaving(pending) => calls += pending,
                CoveredState::Ended => {}
            }
        }
        if unaware > 0 {
            return Look::Pending(format!("{unaware} daemons are not leaving yet"));
        }
        if calls > 0 {
            return Look::Pending(format!("{calls} calls in flight"));
        }
        Look::Empty
    }
}

fn covers(target: &DrainTarget, status: &DaemonStatus) -> bool {
    target.covers(&status.id, &status.zone, status.service.as_deref())
}
