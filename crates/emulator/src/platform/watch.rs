//! The watch call: events from the log, then as they happen, with bookmarks between.

use std::sync::Arc;
use std::time::Duration;

use salvo::http::StatusCode;
use salvo::http::body::BodySender;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use wharfquay_platform::wire::WatchEvent;
use wharfquay_platform::write::Keyspace as KeyspaceName;
use wharfquay_resources::snapshot::Revision;

use super::api::ApiAnswer;
use super::keyspace::TooOld;
use super::routes::render;
use super::server::Platform;
use super::store::Store;

/// Events sent in one piece.
const BATCH_EVENTS: usize = 256;

/// Serves the watch of configuration objects.
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
            render(response, ApiAnswer::failure(StatusCode::BAD_REQUEST, error));
            return;
        };
        let from = Revision::new(from);
        let check = |store: &mut Store| next_batch(store, from).map(|_| ());
        if let Err(too_old) = self.0.with_store(check) {
            render(response, gone(from, too_old));
            return;
        }
        let feed = WatchFeed {
            platform: Arc::clone(&self.0),
            sender: response.channel(),
            reached: from,
        };
        tokio::spawn(feed.run());
    }
}

fn gone(from: Revision, too_old: TooOld) -> ApiAnswer {
    let error = format!(
        "from: given {}, allowed are {} and later",
        from.number(),
        too_old.oldest.number()
    );
    ApiAnswer::failure(StatusCode::GONE, error)
}

/// What is sent next.
enum Batch {
    /// The platform is down: the connection is cut.
    Cut,
    /// The platform hangs: nothing is sent.
    Silence,
    /// Events to send after a delay, and then whether more are waiting.
    Events {
        events: Vec<WatchEvent>,
        delay: Duration,
        more: bool,
    },
}

fn next_batch(store: &mut Store, reached: Revision) -> Result<Batch, TooOld> {
    if store.faults.down {
        return Ok(Batch::Cut);
    }
    if store.faults.hang {
        return Ok(Batch::Silence);
    }
    let keyspace = store.readable(KeyspaceName::Objects);
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
struct WatchFeed {
    platform: Arc<Platform>,
    sender: BodySender,
    reached: Revision,
}

impl WatchFeed {
    /// Runs until the reader leaves, the platform goes down or the reader falls behind the log.
    async fn run(mut self) {
        let mut changes = self.platform.changes();
        loop {
            changes.mark_unchanged();
            let reached = self.reached;
            let batch = self.platform.with_store(|store| next_batch(store, reached));
            match batch {
                Err(TooOld { .. }) => return,
                Ok(Batch::Cut) => {
                    self.sender.send_error(std::io::Error::other("down"));
                    return;
                }
                Ok(Batch::Silence) => {}
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
