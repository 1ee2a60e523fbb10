//! The watch call: sends past events from the log, then new events, with bookmarks in between.

use std::sync::Arc;
use std::time::Duration;

use salvo::http::StatusCode;
use salvo::http::body::BodySender;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use wharfquay_platform::wire::WatchEvent;
use wharfquay_platform::write::Keyspace as KeyspaceName;
use wharfquay_resources::snapshot::Revision;

use super::api::ApiResponse;
use super::keyspace::TooOld;
use super::routes::render;
use super::server::Platform;
use super::store::Store;

/// Maximum number of log events that are sent together.
const BATCH_EVENTS: usize = 256;

/// Handler of the watch of configuration objects.
pub(super) struct WatchHandler(pub(super) Arc<Platform>);

#[async_trait]
impl Handler for WatchHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let Some(from) = request.query::<u64>("from") else {
            let error = "from is missing; it must be a version".to_owned();
            render(
                response,
                ApiResponse::failure(StatusCode::BAD_REQUEST, error),
            );
            return;
        };
        let from = Revision::new(from);
        let check = |store: &mut Store| next_batch(store, from).map(|_| ());
        if let Err(too_old) = self.0.with_store(check) {
            render(response, too_old_response(from, too_old));
            return;
        }
        let stream = WatchStream {
            platform: Arc::clone(&self.0),
            sender: response.channel(),
            reached: from,
        };
        tokio::spawn(stream.run());
    }
}

fn too_old_response(from: Revision, too_old: TooOld) -> ApiResponse {
    let error = format!(
        "from: given {}, allowed are {} and later",
        from.number(),
        too_old.oldest.number()
    );
    ApiResponse::failure(StatusCode::GONE, error)
}

/// Next action of a watch.
enum Batch {
    /// The platform is down: aborts the connection.
    Abort,
    /// The platform hangs: sends nothing.
    SendNothing,
    /// Sends these events after the delay; `more` is true if the log holds further events.
    Events {
        events: Vec<WatchEvent>,
        delay: Duration,
        more: bool,
    },
}

fn next_batch(store: &mut Store, reached: Revision) -> Result<Batch, TooOld> {
    if store.faults.down {
        return Ok(Batch::Abort);
    }
    if store.faults.hang {
        return Ok(Batch::SendNothing);
    }
    let keyspace = store.keyspace_for_reads(KeyspaceName::Objects);
    let mut events = keyspace.events_after(reached, BATCH_EVENTS)?;
    let more = events.len() == BATCH_EVENTS;
    if !more {
        let version = keyspace.version();
        events.push(WatchEvent::Bookmark { version });
    }
    Ok(Batch::Events {
        events,
        delay: Duration::from_millis(store.faults.delay_ms),
        more,
    })
}

/// One open watch.
struct WatchStream {
    platform: Arc<Platform>,
    sender: BodySender,
    reached: Revision,
}

impl WatchStream {
    /// Sends events until the reader disconnects, the platform is down or the log no longer holds
    /// the reader's next event.
    async fn run(mut self) {
        let mut changes = self.platform.changes();
        loop {
            changes.mark_unchanged();
            let reached = self.reached;
            let batch = self.platform.with_store(|store| next_batch(store, reached));
            match batch {
                Err(TooOld { .. }) => return,
                Ok(Batch::Abort) => {
                    self.sender.send_error(std::io::Error::other("down"));
                    return;
                }
                Ok(Batch::SendNothing) => {}
                Ok(Batch::Events {
                    events,
                    delay,
                    more,
                }) => {
                    tokio::time::sleep(delay).await;
                    if self.send(&events).await.is_err() {
                        return;
                    }
                    if more {
                        continue;
                    }
                }
            }
            let interval = self.platform.bookmark_interval();
            let _ = tokio::time::timeout(interval, changes.changed()).await;
        }
    }

    async fn send(&mut self, events: &[WatchEvent]) -> std::io::Result<()> {
        let mut lines = Vec::new();
        for event in events {
            serde_json::to_writer(&mut lines, event)?;
            lines.push(b'\n');
        }
        self.sender.send_data(lines).await?;
        let sent = events.iter().map(WatchEvent::version).max();
        self.reached = sent.map_or(self.reached, |version| version.max(self.reached));
        Ok(())
    }
}
