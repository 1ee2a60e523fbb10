//! The part of a service's endpoints that one caller uses, so that connections per endpoint stay
//! bounded.
//!
//! Each caller ranks the endpoints by a hash of both names (rendezvous hashing) and keeps the first
//! ones. No coordination is needed, every process gets the same result, and an endpoint that comes
//! or goes changes one place in the subsets that it belongs to.

use super::endpoint::{Endpoint, EndpointId};

/// How large the subset of a caller is.
#[derive(Clone, Debug, PartialEq)]
pub struct SubsetSettings {
    /// Id of the calling daemon.
    pub caller: String,
    /// Number of daemons that call the service.
    pub callers: u32,
    /// Connections of callers that an endpoint accepts; `None` takes the smallest
    /// [`Endpoint::connections`].
    pub connection_limit: Option<u32>,
    /// Connections that each caller holds to an endpoint of its subset.
    pub connections_per_caller: u32,
    /// Share of an endpoint's connection limit that may be planned for, 0.0 to 1.0. The rest absorbs
    /// the spread of the hash and callers that are replaced.
    pub connection_share: f64,
    /// Fewest endpoints in a subset, where the service has so many.
    pub minimum: usize,
    /// Endpoints of other zones that are kept in the subset for spilling.
    pub remote_reserve: usize,
}

impl SubsetSettings {
    /// Settings for a caller among `callers`, with the defaults for the rest.
    #[must_use]
    pub fn for_caller(caller: &str, callers: u32) -> Self {
        Self {
            caller: caller.to_owned(),
            callers,
            connection_limit: None,
            connections_per_caller: 1,
            connection_share: 0.6,
            minimum: 3,
            remote_reserve: 2,
        }
    }
}

/// Number of endpoints in a caller's subset.
#[must_use]
pub fn subset_size(settings: &SubsetSettings, endpoints: usize, connection_limit: u32) -> usize {
    let planned = f64::from(connection_limit) * settings.connection_share.clamp(0.0, 1.0);
    let wanted = f64::from(settings.callers.max(1)) * f64::from(settings.connections_per_caller);
    let share = planned / wanted.max(1.0);
    let size = (endpoints as f64 * share).floor() as usize;
    size.max(settings.minimum).min(endpoints)
}

/// Marks the endpoints that the caller uses; `local` tells which are in its own zone.
///
/// The own zone fills the subset first, except for the places reserved for other zones.
pub(super) fn select(
    settings: &SubsetSettings,
    endpoints: &[&Endpoint],
    local: impl Fn(&Endpoint) -> bool,
) -> Vec<EndpointId> {
    let smallest = || endpoints.iter().map(|endpoint| endpoint.connections).min();
    let limit = settings.connection_limit.or_else(smallest);
    let size = subset_size(settings, endpoints.len(), limit.unwrap_or(0));
    let (near, far): (Vec<&Endpoint>, Vec<&Endpoint>) = endpoints
        .iter()
        .copied()
        .partition(|endpoint| local(endpoint));
    let reserved = settings.remote_reserve.min(far.len()).min(size);
    let near_size = (size - reserved).min(near.len());
    let far_size = (size - near_size).min(far.len());
    let mut chosen = first_by_rank(&settings.caller, near, near_size);
    chosen.extend(first_by_rank(&settings.caller, far, far_size));
    chosen
}

fn first_by_rank(caller: &str, endpoints: Vec<&Endpoint>, size: usize) -> Vec<EndpointId> {
    let mut ranked: Vec<(u64, &EndpointId)> = endpoints
        .into_iter()
        .map(|endpoint| (rank(caller, endpoint.id.as_str()), &endpoint.id))
        .collect();
    ranked.sort_unstable();
    ranked
        .into_iter()
        .take(size)
        .map(|(_, id)| id.clone())
        .collect()
}

/// Hash of a caller and an endpoint: FNV-1a, then the finalizer of SplitMix64.
fn rank(caller: &str, endpoint: &str) -> u64 {
    const OFFSET: u64 = 0xCBF2_9CE4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01B3;
    const SEPARATOR: u8 = 0xFF;
    let bytes = caller
        .bytes()
        .chain(std::iter::once(SEPARATOR))
        .chain(endpoint.bytes());
    let folded = bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    let mixed = (folded ^ (folded >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
