//! Status of the resources, from the platform.

use std::collections::BTreeMap;

use serde::Serialize;
use wharfquay_platform::Client;
use wharfquay_platform::wire::{Object, ObjectKey};
use wharfquay_resources::status::{Status, Verdict};

use crate::connection::with_progress;
use crate::error::CliError;
use crate::table::TextTable;

/// A resource and its status.
#[derive(Serialize)]
pub(crate) struct ResourceView {
    /// Kind and name.
    pub(crate) id: String,
    /// Version that the platform holds.
    pub(crate) version: u64,
    /// Author of the last write to the object.
    pub(crate) author: String,
    /// Status; absent when none is written yet or it can't be parsed.
    pub(crate) status: Option<Status>,
}

impl ResourceView {
    /// Returns true if the resource's status has a rejected version.
    pub(crate) fn is_rejected(&self) -> bool {
        let status = self.status.as_ref();
        status.is_some_and(|status| matches!(status.verdict, Verdict::Rejected { .. }))
    }
}

/// Reads the version of the store and every resource with its status.
pub(super) async fn read_resources(client: &Client) -> Result<(u64, Vec<ResourceView>), CliError> {
    let objects = with_progress("reading the platform's objects", client.list()).await?;
    let statuses = with_progress("reading the status objects", client.list_status()).await?;
    let mut by_key: BTreeMap<ObjectKey, Object> = statuses
        .objects
        .into_iter()
        .map(|object| (object.key.clone(), object))
        .collect();
    let views = objects.objects.into_iter().map(|object| ResourceView {
        id: object.key.to_string(),
        version: object.version.number(),
        author: object.author,
        status: by_key
            .remove(&object.key)
            .and_then(|status| read_status(&status)),
    });
    Ok((objects.version.number(), views.collect()))
}

/// Parses the status in an object of the status keyspace.
pub(crate) fn read_status(object: &Object) -> Option<Status> {
    serde_json::from_value(object.spec.clone()).ok()
}

pub(super) fn render_resources(resources: &[ResourceView]) -> String {
    let mut table = TextTable::new(&["RESOURCE", "VERSION", "AUTHOR", "VERDICT", "IN FORCE"]);
    let mut reasons = String::new();
    for resource in resources {
        table.add_row([
            resource.id.clone(),
            resource.version.to_string(),
            resource.author.clone(),
            describe_verdict(resource),
            describe_zones(resource),
        ]);
        if let Some(Verdict::Rejected { reason, .. }) =
            resource.status.as_ref().map(|status| &status.verdict)
        {
            reasons.push_str(&format!("{}: {reason}\n", resource.id));
        }
    }
    format!("{}{reasons}", table.render())
}

fn describe_verdict(resource: &ResourceView) -> String {
    let Some(status) = &resource.status else {
        return "unknown".to_owned();
    };
    if status.observed_version.number() < resource.version {
        return "pending".to_owned();
    }
    match &status.verdict {
        Verdict::Pending => "pending".to_owned(),
        Verdict::Accepted => "accepted".to_owned(),
        Verdict::Rejected {
            last_good_in_force: true,
            ..
        } => "REJECTED, last good version in force".to_owned(),
        Verdict::Rejected { .. } => "REJECTED".to_owned(),
    }
}

/// Lists by zone the revision, how many of the live daemons reported, and the calls in flight.
fn describe_zones(resource: &ResourceView) -> String {
    let zones = resource.status.iter().flat_map(|status| &status.zones);
    let texts: Vec<String> = zones
        .map(|(zone, status)| {
            let calls = match status.in_flight {
                0 => String::new(),
                count => format!(", {count} in flight"),
            };
            format!(
                "{zone} {} ({}/{}{calls})",
                status.revision.number(),
                status.reported,
                status.daemons
            )
        })
        .collect();
    texts.join(" ")
}
