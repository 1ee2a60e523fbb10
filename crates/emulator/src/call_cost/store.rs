//! The platform's object store, as far as two sidecars need it: objects with revisions, and watches.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::dialect::{StoreDialect, fill, header_lines};
use super::http_client::{Connection, response};

/// Revision of the configuration, the first object.
const FIRST_REVISION: u64 = 1;

pub(super) struct Store {
    dialect: StoreDialect,
    objects: Mutex<Objects>,
}

#[derive(Default)]
struct Objects {
    by_name: BTreeMap<(String, String), Value>,
    revision: u64,
}

impl Store {
    /// Creates a store that holds the configuration.
    ///
    /// # Errors
    /// Returns the reason why the configuration is no JSON.
    pub(super) fn new(dialect: StoreDialect) -> Result<Arc<Self>, String> {
        let object: Value = serde_json::from_str(&dialect.configuration)
            .map_err(|error| format!("store.configuration: {error}"))?;
        let name = text_at(&object, &dialect.name);
        let key = (dialect.configuration_kind.clone(), name);
        let objects = Objects {
            by_name: BTreeMap::from([(key, object)]),
            revision: FIRST_REVISION,
        };
        Ok(Arc::new(Self {
            dialect,
            objects: Mutex::new(objects),
        }))
    }

    /// Serves until it is dropped.
    pub(super) async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let store = Arc::clone(&self);
            connections.spawn(store.serve_connection(Connection::new(stream)));
            while connections.try_join_next().is_some() {}
        }
    }

    async fn serve_connection(self: Arc<Self>, mut connection: Connection) {
        let headers = header_lines(&self.dialect.headers);
        while let Some(request) = connection.read().await {
            let (method, target) = request.request_line();
            let call = Call::parse(&self.dialect, method, target);
            if call.query.contains_key(&self.dialect.watch_query) {
                self.wait_for_changes(&call).await;
            }
            let (status, body) = self.perform(&call, &request.body);
            let bytes = response(status, &headers, body.as_bytes());
            if connection.write(&bytes).await.is_none() {
                return;
            }
        }
    }

    /// Waits for the whole time of a watch: the configuration never changes.
    async fn wait_for_changes(&self, call: &Call) {
        let wait = call.query.get(&self.dialect.wait_query);
        let wait = wait.and_then(|text| text.parse().ok()).unwrap_or_default();
        tokio::time::sleep(Duration::from_millis(wait)).await;
    }

    fn perform(&self, call: &Call, body: &[u8]) -> (u16, String) {
        let dialect = &self.dialect;
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        let key = |name: &str| (call.kind.clone(), name.to_owned());
        let found = |objects: &Objects, name: &str| objects.by_name.get(&key(name)).cloned();
        match (call.method.as_str(), call.name.as_deref()) {
            ("GET", None) => (200, self.page(&objects, call)),
            ("GET", Some(name)) => match found(&objects, name) {
                Some(object) => (200, object.to_string()),
                None => (404, "{}".to_owned()),
            },
            ("POST" | "PUT", name) => {
                let Ok(object) = serde_json::from_slice::<Value>(body) else {
                    return (400, "{}".to_owned());
                };
                let named = text_at(&object, &dialect.name);
                let present = found(&objects, name.unwrap_or(&named));
                let revision = |object: &Value| object.pointer(&dialect.revision).cloned();
                let conflicts = match (&present, name) {
                    (Some(_), None) => true,
                    (Some(present), Some(_)) => revision(present) != revision(&object),
                    (None, _) => false,
                };
                match present.filter(|_| conflicts) {
                    Some(present) => (409, present.to_string()),
                    None => {
                        let stored = objects.write(key(&named), object, &dialect.revision);
                        (200, stored.to_string())
                    }
                }
            }
            ("DELETE", Some(name)) => match objects.by_name.remove(&key(name)) {
                Some(object) => (200, object.to_string()),
                None => (404, "{}".to_owned()),
            },
            _ => (400, "{}".to_owned()),
        }
    }

    /// Returns all objects of a kind, or for a watch the changes of the kind, of which there are none.
    fn page(&self, objects: &Objects, call: &Call) -> String {
        let dialect = &self.dialect;
        let is_watch = call.query.contains_key(&dialect.watch_query);
        let of_kind = objects.by_name.iter();
        let of_kind = of_kind.filter(|((kind, _), _)| *kind == call.kind && !is_watch);
        let items: Vec<String> = of_kind.map(|(_, object)| object.to_string()).collect();
        let template = match is_watch {
            true => &dialect.changes,
            false => &dialect.page,
        };
        let revision = objects.revision.to_string();
        fill(
            template,
            &[("items", &items.join(",")), ("revision", &revision)],
        )
    }
}

impl Objects {
    fn write(&mut self, key: (String, String), mut object: Value, revision: &str) -> Value {
        self.revision += 1;
        if let Some((parent, field)) = revision.rsplit_once('/')
            && let Some(parent) = object.pointer_mut(parent)
        {
            parent[field] = json!(self.revision);
        }
        self.by_name.insert(key, object.clone());
        object
    }
}

fn text_at(object: &Value, pointer: &str) -> String {
    let text = object.pointer(pointer).and_then(Value::as_str);
    text.unwrap_or_default().to_owned()
}

/// A parsed request line.
struct Call {
    method: String,
    kind: String,
    name: Option<String>,
    query: HashMap<String, String>,
}

impl Call {
    fn parse(dialect: &StoreDialect, method: &str, target: &str) -> Self {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.strip_prefix(&dialect.objects).unwrap_or_default();
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        Self {
            method: method.to_owned(),
            kind: kind.to_owned(),
            name: name.map(str::to_owned),
            query: pairs
                .map(|(key, value)| (key.to_owned(), value.to_owned()))
                .collect(),
        }
    }
}
