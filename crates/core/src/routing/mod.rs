//! Endpoint selection for calls.
//!
//! One [`Router`] serves one daemon and one service. It prefers the local zone, compares two random
//! endpoints by reported and observed load, and avoids endpoints that are leaving, full, closed to
//! the call's priority or unreliable.

mod balance;
mod endpoint;
mod endpoint_stats;
mod entry;
mod hold;
mod locality;
mod observation;
mod pick;
mod received_level;
mod reference;
mod router;
mod settings;
mod split;
mod subset;
mod warm_up;

pub use endpoint::{Endpoint, EndpointId, EndpointState, UNKNOWN_INCARNATION, Zone};
pub use hold::HoldReason;
pub use observation::{Observation, ReportedLoad};
pub use pick::{Pick, PickBasis, PickRequest};
pub use router::{EndpointStatus, Router};
pub use settings::RouterSettings;
pub use split::SplitSequence;
pub use subset::{SubsetSettings, subset_size};
