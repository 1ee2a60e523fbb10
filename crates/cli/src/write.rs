//! Writes to the platform, with progress messages and a report of conflicts.

use wharfquay_platform::wire::Object;
use wharfquay_platform::{Client, PlatformError, WriteReceipt, WriteRequest};
use wharfquay_resources::kinds::ResourceId;

use crate::change_text::conflict_lines;
use crate::connection::with_progress;
use crate::output::error_line;

/// Executes a write. On a conflict, prints who wrote the resource since `last_read`, and what
/// changed.
pub(crate) async fn write_or_report(
    client: &Client,
    request: &WriteRequest,
    id: &ResourceId,
    last_read: Option<&Object>,
) -> Result<WriteReceipt, PlatformError> {
    let operation = format!("writing {id}");
    let result = with_progress(&operation, client.write_with_retry(request)).await;
    if let Err(PlatformError::Conflict(conflict)) = &result {
        for line in conflict_lines(id, last_read, conflict) {
            error_line(&line);
        }
    }
    result
}
