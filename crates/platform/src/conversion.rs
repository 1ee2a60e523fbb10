//! Conversion between objects of the platform and typed resources.

use displaydoc::Display;
use serde_json::Value;
use wharfquay_resources::kinds::{Resource, ResourceId, ResourceKind};

use crate::wire::{Object, ObjectKey};

/// An error that an object can't be converted to a resource.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum ConversionError {
    /// 6101: object {key}: kind {kind:?} is not known; known are {known}
    UnknownKind {
        /// The object.
        key: ObjectKey,
        /// Kind of the object.
        kind: String,
        /// Names of the known kinds.
        known: String,
    },
    /// 6102: object {key}: spec: {detail}
    MalformedSpec {
        /// The object.
        key: ObjectKey,
        /// Description of the invalid field.
        detail: String,
    },
    /// 6103: object {key}: spec.name is {given:?}; it must equal the object's name
    NameMismatch {
        /// The object.
        key: ObjectKey,
        /// Name in the spec.
        given: String,
    },
}

impl std::error::Error for ConversionError {}

/// Returns the resource kind with this name.
#[must_use]
pub fn kind_named(name: &str) -> Option<ResourceKind> {
    ResourceKind::ALL
        .into_iter()
        .find(|kind| kind.as_str() == name)
}

/// Returns the typed identity of an object, or `None` when its kind is unknown.
#[must_use]
pub fn resource_id(key: &ObjectKey) -> Option<ResourceId> {
    let kind = kind_named(&key.kind)?;
    Some(ResourceId {
        kind,
        name: key.name.clone(),
    })
}

/// Returns the key under which a resource is stored.
#[must_use]
pub fn object_key(id: &ResourceId) -> ObjectKey {
    ObjectKey::new(id.kind.as_str(), id.name.clone())
}

/// Converts the spec of an object to a resource of its kind.
pub fn resource_from_object(object: &Object) -> Result<Resource, ConversionError> {
    let key = &object.key;
    let Some(id) = resource_id(key) else {
        return Err(unknown_kind(key));
    };
    let resource =
        parse_spec(id.kind, &object.spec).map_err(|error| ConversionError::MalformedSpec {
            key: key.clone(),
            detail: error.to_string(),
        })?;
    let given = resource.id();
    if given != id {
        return Err(ConversionError::NameMismatch {
            key: key.clone(),
            given: given.name,
        });
    }
    Ok(resource)
}

/// Returns the spec with which a resource is stored.
pub fn spec_of(resource: &Resource) -> Result<Value, serde_json::Error> {
    match resource {
        Resource::Service(service) => serde_json::to_value(service),
        Resource::RequestKind(request_kind) => serde_json::to_value(request_kind),
        Resource::RetryBudget(budget) => serde_json::to_value(budget),
        Resource::Drain(drain) => serde_json::to_value(drain),
        Resource::ClaimGroup(group) => serde_json::to_value(group),
    }
}

fn parse_spec(kind: ResourceKind, spec: &Value) -> Result<Resource, serde_json::Error> {
    use serde::Deserialize;
    use wharfquay_resources::kinds::{ClaimGroup, Drain, RequestKind, RetryBudget, Service};
    Ok(match kind {
        ResourceKind::Service => Resource::Service(Service::deserialize(spec)?),
        ResourceKind::RequestKind => Resource::RequestKind(RequestKind::deserialize(spec)?),
        ResourceKind::RetryBudget => Resource::RetryBudget(RetryBudget::deserialize(spec)?),
        ResourceKind::Drain => Resource::Drain(Drain::deserialize(spec)?),
        ResourceKind::ClaimGroup => Resource::ClaimGroup(ClaimGroup::deserialize(spec)?),
    })
}

fn unknown_kind(key: &ObjectKey) -> ConversionError {
    let known: Vec<&str> = ResourceKind::ALL
        .into_iter()
        .map(ResourceKind::as_str)
        .collect();
    ConversionError::UnknownKind {
        key: key.clone(),
        kind: key.kind.clone(),
        known: known.join(", "),
    }
}
