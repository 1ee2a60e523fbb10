//! Writes to the platform, with progress and a report of conflicts.

use wharfquay_platform::wire::Object;
use wharfquay_platform::{Client, PlatformError, WriteReceipt, WriteRequest};
use wharfquay_resources::kinds::ResourceId;

use crate::change_text::conflict_lines;
use crate::connection::with_progress;
use crate::output::notice;

/// Makes a write; when someone else has written since `seen`, says who and what.
pub(crate) async fn write_or_report(
    client: &Client,
    request: &WriteRequest,
    id: &ResourceId,
    seen: Option<&Object>,
) -> Result<WriteReceipt, PlatformError> {
    let what = format!("writing {id}");
    let result = with_progress(&what, client.write_with_retry(request)).await;
    if let Err(PlatformError::Conflict(met)) = &result {
        for line in conflict_lines(id, seen, met) {
            notice(&line);
        }
    }
    result
}
