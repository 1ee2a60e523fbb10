//! The `/decisions` page: the latest decision records as JSON lines, oldest first.

use salvo::http::StatusCode;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::{Request, Response};

use crate::decisions::DecisionLog;

const JSON_LINES: HeaderValue = HeaderValue::from_static("application/x-ndjson");
/// Query parameter with the maximum number of records.
const LIMIT: &str = "limit";

/// Responds with the newest records, at most as many as the query parameter `limit` allows.
pub(super) fn render(log: &DecisionLog, request: &Request, response: &mut Response) {
    if !log.is_on() {
        response.status_code(StatusCode::NOT_FOUND);
        response.render("no decisions are recorded: admin.decision_records is 0\n");
        return;
    }
    let limit = match request.query::<String>(LIMIT) {
        None => usize::MAX,
        Some(given) => match given.parse() {
            Ok(limit) => limit,
            Err(_) => {
                response.status_code(StatusCode::BAD_REQUEST);
                let text = format!("limit: given {given:?} (allowed: a number of records)\n");
                response.render(text);
                return;
            }
        },
    };
    response.render(lines(log, limit));
    response.headers_mut().insert(CONTENT_TYPE, JSON_LINES);
}

fn lines(log: &DecisionLog, limit: usize) -> String {
    let records = log.newest(limit);
    let lines = records
        .iter()
        .filter_map(|record| serde_json::to_string(record.as_ref()).ok());
    lines.map(|line| line + "\n").collect()
}
