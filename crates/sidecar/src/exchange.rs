//! Requests between sidecars that are replied to immediately, with one datagram each way, and
//! notices, which receive no reply.
//!
//! The datagrams share the socket of gossip and differ from its messages by the first byte. A lost
//! request or reply is not sent again here: the requester can contact another sidecar.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use wharfquay_core::quarantine::{
    QuarantineReport, RequestFingerprint, RequestTermination, TerminatedInstance,
};
use wharfquay_daemon::sync::lock;

use crate::events::Event;
use crate::log_event;
use crate::store_era::StoreEras;

/// First byte of each datagram. Gossip messages begin with their version, which is a small number.
const MAGIC_BYTE: u8 = 0x80;

/// Another sidecar that requests and notices can be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Peer {
    /// Identity of the sidecar.
    pub(crate) id: String,
    /// Control address of the sidecar.
    pub(crate) address: SocketAddr,
}

/// A request to another sidecar. Names have one letter on the wire because one such message is sent
/// for each request of a tenant with a limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ExchangeRequest {
    /// Requests the age of the last confirmation of the configuration in force.
    #[serde(rename = "f")]
    Confirmation,
    /// Requests tokens of a tenant's rate limit.
    #[serde(rename = "t")]
    Tokens {
        /// Name of the tenant whose tokens are requested.
        #[serde(rename = "n")]
        tenant: String,
        /// Number of requested tokens.
        #[serde(rename = "w")]
        wanted: u32,
    },
    /// Reports that an instance terminated while it executed these requests, which the receiver
    /// owns.
    #[serde(rename = "e")]
    Terminations {
        /// The terminated instance.
        #[serde(rename = "i")]
        instance: TerminatedInstance,
        /// Fingerprints of the requests that the instance was executing when it terminated. The
        /// flag is true if the request was a suspect and the instance was executing no other
        /// suspect.
        #[serde(rename = "r")]
        requests: Vec<(RequestFingerprint, bool)>,
    },
    /// Reports that a request received a response after backends had terminated under it.
    #[serde(rename = "a")]
    ResponseReceived(RequestFingerprint),
    /// Requests the quarantined requests, unless their digest equals this one.
    #[serde(rename = "q")]
    Quarantined {
        /// Digest of the quarantined requests that the sender knows.
        #[serde(rename = "d")]
        digest: u64,
    },
    /// Queries whether the departure of an instance was acknowledged before the sender's process
    /// started.
    #[serde(rename = "d")]
    Departed {
        /// Name of the instance.
        #[serde(rename = "n")]
        name: String,
        /// Start time of the instance in milliseconds since the Unix epoch; `None` if unknown.
        #[serde(rename = "b")]
        started_at_ms: Option<u64>,
        /// Uptime of the sender's process in milliseconds.
        #[serde(rename = "l")]
        uptime_ms: u64,
        /// True if the receiver shall read the departure records if it needs them to reply.
        #[serde(rename = "r")]
        read_records: bool,
    },
}

impl ExchangeRequest {
    /// Creates a report of terminations of one instance.
    pub(crate) fn terminations(terminations: &[RequestTermination]) -> Self {
        let instance = terminations
            .first()
            .map_or(TerminatedInstance::new(0), |termination| {
                termination.instance
            });
        let requests = terminations
            .iter()
            .map(|termination| (termination.fingerprint, termination.was_isolated));
        Self::Terminations {
            instance,
            requests: requests.collect(),
        }
    }
}

/// A message to another sidecar that receives no reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Notice {
    /// Reports of the state of suspected and quarantined requests.
    #[serde(rename = "q")]
    Quarantine(Vec<QuarantineReport>),
    /// Announces that the platform's store was restored. The era is part of the datagram.
    #[serde(rename = "e")]
    StoreRestored,
    /// Announces that the departure of an instance was acknowledged.
    #[serde(rename = "d")]
    Departed {
        /// Name of the instance.
        #[serde(rename = "n")]
        name: String,
        /// Start time of the instance in milliseconds since the Unix epoch; `None` if unknown.
        #[serde(rename = "b")]
        started_at_ms: Option<u64>,
    },
}

/// The reply to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// The version that was last confirmed as the newest, with the age of that confirmation.
    #[serde(rename = "f")]
    Confirmed {
        /// Version of the configuration.
        #[serde(rename = "v")]
        version: u64,
        /// Age of the confirmation in microseconds.
        #[serde(rename = "a")]
        age_micros: u64,
    },
    /// Granted tokens. If fewer than requested are granted, the next one is available after
    /// `next_after_micros`.
    #[serde(rename = "t")]
    Granted {
        /// Number of granted tokens.
        #[serde(rename = "g")]
        tokens: u32,
        /// Time until the next token in microseconds.
        #[serde(rename = "a")]
        next_after_micros: u64,
    },
    /// The report was recorded, or there is nothing to record.
    #[serde(rename = "n")]
    Recorded,
    /// The newest quarantined requests; empty if the requester knows the same ones.
    #[serde(rename = "q")]
    Quarantined {
        /// Reports of the requests.
        #[serde(rename = "r")]
        reports: Vec<QuarantineReport>,
        /// True if the sender knows the requests quarantined before its process started.
        #[serde(rename = "s")]
        is_initialized: bool,
    },
    /// True if the departure of the instance was acknowledged.
    #[serde(rename = "d")]
    Departed(bool),
    /// The receiver has no reply to the request.
    #[serde(rename = "u")]
    Unknown,
}

#[derive(Serialize, Deserialize)]
enum Content {
    #[serde(rename = "q")]
    Request {
        /// Identity of the addressed sidecar. It is needed because addresses are reused.
        #[serde(rename = "i")]
        to: String,
        #[serde(rename = "q")]
        request: ExchangeRequest,
    },
    #[serde(rename = "r")]
    Reply(Reply),
    #[serde(rename = "t")]
    Notice {
        /// Identity of the addressed sidecar, as in requests.
        #[serde(rename = "i")]
        to: String,
        #[serde(rename = "t")]
        notice: Notice,
    },
}

#[derive(Serialize, Deserialize)]
struct Datagram {
    /// Random number that the reply repeats, which prevents a reply to an earlier process from
    /// matching.
    #[serde(rename = "n")]
    number: u64,
    /// Newest era of the platform's store that the sender knows.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    store_era: Option<u64>,
    #[serde(rename = "c")]
    content: Content,
}

/// Handles requests and notices of other sidecars.
pub(crate) trait ExchangeHandler: Send + Sync {
    /// Returns the reply. Must not block.
    fn handle_request(&self, request: &ExchangeRequest) -> Reply;

    /// Handles a notice.
    fn handle_notice(&self, notice: &Notice);
}

/// This sidecar's endpoint of the exchange.
pub(crate) struct Exchange {
    socket: Arc<UdpSocket>,
    own_id: String,
    handler: Arc<dyn ExchangeHandler>,
    eras: Arc<StoreEras>,
    pending: Mutex<HashMap<u64, oneshot::Sender<Reply>>>,
}

impl fmt::Debug for Exchange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let pending = lock(&self.pending).len();
        formatter
            .debug_struct("Exchange")
            .field("own_id", &self.own_id)
            .field("waiting", &pending)
            .finish_non_exhaustive()
    }
}

impl Exchange {
    pub(crate) fn new(
        socket: Arc<UdpSocket>,
        own_id: &str,
        handler: Arc<dyn ExchangeHandler>,
        eras: Arc<StoreEras>,
    ) -> Self {
        Self {
            socket,
            own_id: own_id.to_owned(),
            handler,
            eras,
            pending: Mutex::default(),
        }
    }

    /// Returns the identity of this sidecar.
    pub(crate) fn own_id(&self) -> &str {
        &self.own_id
    }

    /// True if a datagram belongs to the exchange.
    pub(crate) fn is_exchange(bytes: &[u8]) -> bool {
        bytes.first() == Some(&MAGIC_BYTE)
    }

    /// Sends a request and waits up to `limit` for the reply; `None` if none arrives. A request to
    /// this sidecar itself is handled locally without a datagram.
    pub(crate) async fn request(
        &self,
        peer: &Peer,
        request: ExchangeRequest,
        limit: Duration,
    ) -> Option<Reply> {
        if peer.id == self.own_id {
            return Some(self.handler.handle_request(&request));
        }
        let number = rand::random();
        let (sender, receiver) = oneshot::channel();
        lock(&self.pending).insert(number, sender);
        let _waiting = PendingRequest {
            exchange: self,
            number,
        };
        let to = peer.id.clone();
        self.send(peer.address, number, Content::Request { to, request });
        tokio::time::timeout(limit, receiver).await.ok()?.ok()
    }

    /// Sends a notice to another sidecar.
    pub(crate) fn notify(&self, peer: &Peer, notice: Notice) {
        let to = peer.id.clone();
        self.send(peer.address, 0, Content::Notice { to, notice });
    }

    /// Processes a datagram of the exchange: handles a request or a notice, or passes a reply to
    /// its requester.
    pub(crate) fn receive(&self, source: SocketAddr, bytes: &[u8]) {
        let datagram: Datagram = match ciborium::from_reader(&bytes[1..]) {
            Ok(datagram) => datagram,
            Err(error) => {
                log_event!(
                    Event::ControlMessageDropped,
                    "source={source} reason=\"{error}\""
                );
                return;
            }
        };
        if let Some(store_era) = datagram.store_era {
            self.eras.observe_peer_era(store_era);
        }
        let number = datagram.number;
        match datagram.content {
            Content::Request { to, request } if to == self.own_id => {
                let reply = self.handler.handle_request(&request);
                self.send(source, number, Content::Reply(reply));
            }
            Content::Notice { to, notice } if to == self.own_id => {
                self.handler.handle_notice(&notice)
            }
            Content::Request { to, .. } | Content::Notice { to, .. } => log_event!(
                Event::ControlMessageDropped,
                "source={source} reason=\"addressed to {to}\""
            ),
            Content::Reply(reply) => {
                if let Some(sender) = lock(&self.pending).remove(&number) {
                    // The requester may have timed out meanwhile; the reply is then discarded.
                    let _ = sender.send(reply);
                }
            }
        }
    }

    /// Sends a datagram. One that can't be sent is treated as lost.
    fn send(&self, to: SocketAddr, number: u64, content: Content) {
        let datagram = Datagram {
            number,
            store_era: self.eras.newest().number,
            content,
        };
        let mut bytes = vec![MAGIC_BYTE];
        if let Err(error) = ciborium::into_writer(&datagram, &mut bytes) {
            log_event!(Event::ControlSendFailed, "to={to} error=\"{error}\"");
            return;
        }
        match self.socket.try_send_to(&bytes, to) {
            Ok(_) => {}
            Err(error) => log_event!(Event::ControlSendFailed, "to={to} error=\"{error}\""),
        }
    }
}

/// A request that awaits its reply. Dropping it discards the reply.
struct PendingRequest<'exchange> {
    exchange: &'exchange Exchange,
    number: u64,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        lock(&self.exchange.pending).remove(&self.number);
    }
}
