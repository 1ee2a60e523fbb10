//! Calls of the object API, implemented as functions on the store.

use bytes::Bytes;
use salvo::Request;
use salvo::http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wharfquay_core::time::Timestamp;
use wharfquay_platform::wire::{
    ConflictReply, DeleteReply, FailureReply, LeaseBody, LeaseReply, Machine, ObjectKey,
    OperationId, PutBody,
};
use wharfquay_platform::write::Keyspace as KeyspaceName;
use wharfquay_resources::snapshot::Revision;

use super::faults::FaultSwitches;
use super::keyspace::{Put, VersionConflict};
use super::leases::Lease;
use super::store::Store;

/// Input of a call.
pub(super) struct ApiRequest {
    pub(super) now: Timestamp,
    pub(super) path: PathParameters,
    pub(super) query: QueryParameters,
    pub(super) body: Bytes,
}

/// Parameters of the path; empty if the route doesn't have them.
#[derive(Debug, Default)]
pub(super) struct PathParameters {
    kind: String,
    name: String,
}

/// Parameters of the query; empty or `None` if absent.
#[derive(Debug, Default)]
pub(super) struct QueryParameters {
    expected_version: Option<u64>,
    operation: Option<OperationId>,
    author: String,
    holder: String,
    unless_version: Option<u64>,
}

impl PathParameters {
    pub(super) fn of(request: &Request) -> Self {
        Self {
            kind: request.param("kind").unwrap_or_default(),
            name: request.param("name").unwrap_or_default(),
        }
    }

    fn key(&self) -> ObjectKey {
        ObjectKey::new(self.kind.clone(), self.name.clone())
    }
}

impl QueryParameters {
    pub(super) fn of(request: &Request) -> Self {
        Self {
            expected_version: request.query("expected_version"),
            operation: request.query("operation"),
            author: request.query("author").unwrap_or_default(),
            holder: request.query("holder").unwrap_or_default(),
            unless_version: request.query("unless_version"),
        }
    }
}

/// Status and JSON body of a response.
#[derive(Debug)]
pub(super) struct ApiResponse {
    pub(super) status: StatusCode,
    pub(super) body: Vec<u8>,
}

impl ApiResponse {
    fn json<T: Serialize>(status: StatusCode, body: &T) -> Self {
        match serde_json::to_vec(body) {
            Ok(body) => Self { status, body },
            Err(error) => Self::failure(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }

    pub(super) fn failure(status: StatusCode, error: String) -> Self {
        let body = serde_json::to_vec(&FailureReply { error }).unwrap_or_default();
        Self { status, body }
    }

    fn bad_request(error: impl ToString) -> Self {
        Self::failure(StatusCode::BAD_REQUEST, error.to_string())
    }

    fn conflict(conflict: VersionConflict) -> Self {
        let current = conflict.current.map(|object| *object);
        Self::json(StatusCode::CONFLICT, &ConflictReply { current })
    }
}

/// A call of the API. Both results are responses; an error is the response to a failed call.
pub(super) type ApiCall = fn(&mut Store, &ApiRequest) -> Result<ApiResponse, ApiResponse>;

pub(super) fn list_objects(store: &mut Store, _: &ApiRequest) -> Result<ApiResponse, ApiResponse> {
    Ok(list(store, KeyspaceName::Objects))
}

pub(super) fn list_status(store: &mut Store, _: &ApiRequest) -> Result<ApiResponse, ApiResponse> {
    Ok(list(store, KeyspaceName::Status))
}

pub(super) fn get_object(
    store: &mut Store,
    request: &ApiRequest,
) -> Result<ApiResponse, ApiResponse> {
    get(store, KeyspaceName::Objects, request)
}

pub(super) fn get_status(
    store: &mut Store,
    request: &ApiRequest,
) -> Result<ApiResponse, ApiResponse> {
    get(store, KeyspaceName::Status, request)
}

pub(super) fn put_object(
    store: &mut Store,
    request: &ApiRequest,
) -> Result<ApiResponse, ApiResponse> {
    put(store, KeyspaceName::Objects, request)
}

pub(super) fn put_status(
    store: &mut Store,
    request: &ApiRequest,
) -> Result<ApiResponse, ApiResponse> {
    put(store, KeyspaceName::Status, request)
}

pub(super) fn delete_object(
    store: &mut Store,
    request: &ApiRequest,
) -> Result<ApiResponse, ApiResponse> {
    delete(store, KeyspaceName::Objects, request)
}

pub(super) fn delete_status(
    store: &mut Store,
    request: &ApiRequest,
) -> Result<ApiResponse, ApiResponse> {
    delete(store, KeyspaceName::Status, request)
}

pub(super) fn acquire_lease(
    store: &mut Store,
    request: &ApiRequest,
) -> Result<ApiResponse, ApiResponse> {
    let body: LeaseBody = parse(&request.body)?;
    let ttl = std::time::Duration::from_millis(body.ttl_ms);
    let name = &request.path.name;
    let response = match store.leases.acquire(request.now, name, &body.holder, ttl) {
        Ok(lease) => ApiResponse::json(StatusCode::OK, &lease_reply(request.now, lease)),
        Err(held) => ApiResponse::json(StatusCode::CONFLICT, &lease_reply(request.now, held)),
    };
    Ok(response)
}

pub(super) fn release_lease(
    store: &mut Store,
    request: &ApiRequest,
) -> Result<ApiResponse, ApiResponse> {
    store
        .leases
        .release(&request.path.name, &request.query.holder);
    Ok(empty_response())
}

pub(super) fn list_machines(
    store: &mut Store,
    request: &ApiRequest,
) -> Result<ApiResponse, ApiResponse> {
    let machines = store.visible_machines(request.now);
    if request.query.unless_version == Some(machines.version) {
        return Ok(ApiResponse {
            status: StatusCode::NOT_MODIFIED,
            body: Vec::new(),
        });
    }
    Ok(ApiResponse::json(StatusCode::OK, &machines))
}

pub(super) fn put_machine(
    store: &mut Store,
    request: &ApiRequest,
) -> Result<ApiResponse, ApiResponse> {
    let machine: Machine = parse(&request.body)?;
    if machine.id != request.path.name {
        return Err(ApiResponse::bad_request(format!(
            "id: given {:?}, allowed is the path's {:?}",
            machine.id, request.path.name
        )));
    }
    store.machines.put(request.now, machine);
    Ok(empty_response())
}

pub(super) fn delete_machine(
    store: &mut Store,
    request: &ApiRequest,
) -> Result<ApiResponse, ApiResponse> {
    store.machines.remove(request.now, &request.path.name);
    Ok(empty_response())
}

pub(super) fn get_faults(store: &mut Store, _: &ApiRequest) -> Result<ApiResponse, ApiResponse> {
    Ok(ApiResponse::json(StatusCode::OK, &store.faults))
}

pub(super) fn put_faults(
    store: &mut Store,
    request: &ApiRequest,
) -> Result<ApiResponse, ApiResponse> {
    let faults: FaultSwitches = parse(&request.body)?;
    store.faults = faults;
    Ok(empty_response())
}

fn list(store: &Store, name: KeyspaceName) -> ApiResponse {
    ApiResponse::json(StatusCode::OK, &store.keyspace_for_reads(name).list())
}

fn get(
    store: &Store,
    name: KeyspaceName,
    request: &ApiRequest,
) -> Result<ApiResponse, ApiResponse> {
    let key = request.path.key();
    let keyspace = store.keyspace_for_reads(name);
    let Some(object) = keyspace.get(&key) else {
        let error = format!("{key} doesn't exist");
        return Err(ApiResponse::failure(StatusCode::NOT_FOUND, error));
    };
    Ok(ApiResponse::json(StatusCode::OK, object))
}

fn put(
    store: &mut Store,
    name: KeyspaceName,
    request: &ApiRequest,
) -> Result<ApiResponse, ApiResponse> {
    let body: PutBody = parse(&request.body)?;
    let put = Put {
        key: request.path.key(),
        expected_version: body.expected_version,
        operation: body.operation,
        author: body.author,
        spec: body.spec,
    };
    let object = store
        .keyspace_mut(name)
        .put(put)
        .map_err(ApiResponse::conflict)?;
    Ok(ApiResponse::json(StatusCode::OK, &object))
}

fn delete(
    store: &mut Store,
    name: KeyspaceName,
    request: &ApiRequest,
) -> Result<ApiResponse, ApiResponse> {
    let expected = request.query.expected_version;
    let expected =
        expected.ok_or_else(|| ApiResponse::bad_request("expected_version is missing"))?;
    let operation = request.query.operation;
    let operation = operation.ok_or_else(|| ApiResponse::bad_request("operation is missing"))?;
    let key = request.path.key();
    let version = store
        .keyspace_mut(name)
        .delete(&key, Revision::new(expected))
        .map_err(ApiResponse::conflict)?;
    log::info!(
        "event=delete key={key} version={} operation={operation} author={:?}",
        version.number(),
        request.query.author
    );
    Ok(ApiResponse::json(StatusCode::OK, &DeleteReply { version }))
}

fn lease_reply(now: Timestamp, lease: Lease) -> LeaseReply {
    let left = lease.expires_at.saturating_since(now).as_millis();
    LeaseReply {
        holder: lease.holder,
        expires_in_ms: u64::try_from(left).unwrap_or(u64::MAX),
    }
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, ApiResponse> {
    serde_json::from_slice(body).map_err(ApiResponse::bad_request)
}

fn empty_response() -> ApiResponse {
    ApiResponse {
        status: StatusCode::OK,
        body: b"{}".to_vec(),
    }
}
