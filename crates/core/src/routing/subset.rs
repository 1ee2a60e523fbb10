//! Selection of the endpoints that one caller uses, which limits the connections per endpoint.
//!
//! Each caller ranks the endpoints by a hash of both names (rendezvous hashing) and keeps the first
//! ones. This needs no coordination and gives the same result in every process. An endpoint that is
//! added or removed changes one position in the subsets that it belongs to.

use super::endpoint::{Endpoint, EndpointId};

/// Parameters that determine the size of a caller's subset.
#[derive(Clone, Debug, PartialEq)]
pub struct SubsetSettings {
    /// Id of the calling daemon.
    pub caller: String,
    /// Number of daemons that call the service.
    pub callers: u32,
    /// Connections that an endpoint accepts from callers; `None` uses the smallest
    /// [`Endpoint::connections`].
    pub connection_limit: Option<u32>,
    /// Connections that each caller holds to an endpoint of its subset.
    pub connections_per_caller: u32,
    /// Share of an endpoint's connection limit that may be used for planning, 0.0 to 1.0. The rest
    /// absorbs the variance of the hash and callers that are being replaced.
    pub connection_share: f64,
    /// Minimum number of endpoints in a subset, if the service has that many.
    pub minimum: usize,
    /// Endpoints of other zones that are kept in the subset for spilling.
    pub remote_reserve: usize,
}

impl SubsetSettings {
    /// Creates the settings of a caller among `callers`, with default values for the rest.
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

/// Returns the number of endpoints in a caller's subset.
#[must_use]
pub fn subset_size(settings: &SubsetSettings, endpoints: usize, connection_limit: u32) -> usize {
    let planned = f64::from(connection_limit) * settings.connection_share.clamp(0.0, 1.0);
    let required = f64::from(settings.callers.max(1)) * f64::from(settings.connections_per_caller);
    let share = planned / required.max(1.0);
    let size = (endpoints as f64 * share).floor() as usize;
    size.max(settings.minimum).min(endpoints)
}

/// Selects the endpoints that the caller uses; `local` returns true for endpoints in its zone.
///
/// The local zone fills the subset first, except for the positions reserved for other zones.
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

/// Returns a hash of a caller and an endpoint: FNV-1a, then the finalizer of SplitMix64.
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
