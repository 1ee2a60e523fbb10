//! Questions that one sidecar asks another and that are answered at once, one datagram each way; notices, which are not
//! answered.
//!
//! They share the socket of gossip; their first byte tells them from its messages. A question or an answer that is
//! lost is not repeated here: who asks has another sidecar to ask.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use wharfquay_core::quarantine::{EndedInstance, QuarantineReport, RequestEnd, RequestFingerprint};
use wharfquay_daemon::sync::lock;

use crate::events::Event;
use crate::log_event;
use crate::store_era::StoreEras;

/// First byte of each datagram; gossip's messages begin with their version, a small number.
const MARK: u8 = 0x80;

/// A sidecar that can be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Peer {
    /// Its identity.
    pub(crate) id: String,
    /// Its control address.
    pub(crate) address: SocketAddr,
}

/// What is asked. Names are one letter long on the wire, since there is a question for each request of a tenant
/// with a limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Question {
    /// How recently the configuration in force was confirmed.
    #[serde(rename = "f")]
    Confirmation,
    /// Tokens of a tenant's rate limit.
    #[serde(rename = "t")]
    Tokens {
        /// Name of the tenant.
        #[serde(rename = "n")]
        tenant: String,
        /// How many.
        #[serde(rename = "w")]
        wanted: u32,
    },
    /// An instance ended while it executed these requests, which the receiver owns.
    #[serde(rename = "e")]
    Ends {
        /// The instance.
        #[serde(rename = "i")]
        instance: EndedInstance,
        /// The requests, and whether each was the only suspect in execution.
        #[serde(rename = "r")]
        requests: Vec<(RequestFingerprint, bool)>,
    },
    /// A request was answered after back ends had ended under it.
    #[serde(rename = "a")]
    Answered(RequestFingerprint),
    /// Which requests are quarantined, unless just those with this digest are.
    #[serde(rename = "q")]
    Quarantined {
        /// Digest of those that the sender knows of.
        #[serde(rename = "d")]
        digest: u64,
    },
    /// Whether the leaving of an instance was acknowledged before the sender's process started.
    #[serde(rename = "d")]
    Departed {
        /// Name of the instance.
        #[serde(rename = "n")]
        name: String,
        /// Unix time of its start, in milliseconds.
        #[serde(rename = "b")]
        born_ms: Option<u64>,
        /// Time since the sender's process started.
        #[serde(rename = "l")]
        lived_ms: u64,
        /// Whether the receiver is to read the marks for the sender, if it has to.
        #[serde(rename = "r")]
        is_to_read: bool,
    },
}

impl Question {
    /// Tells of ends of one instance.
    pub(crate) fn ends(ends: &[RequestEnd]) -> Self {
        let instance = ends
            .first()
            .map_or(EndedInstance::new(0), |end| end.instance);
        let requests = ends.iter().map(|end| (end.fingerprint, end.was_isolated));
        Self::Ends {
            instance,
            requests: requests.collect(),
        }
    }
}

/// What one sidecar tells another, which does not answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Notice {
    /// What is held against requests.
    #[serde(rename = "q")]
    Quarantine(Vec<QuarantineReport>),
    /// The platform's store was restored; the era comes with the datagram.
    #[serde(rename = "e")]
    StoreRestored,
    /// The leaving of an instance was acknowledged.
    #[serde(rename = "d")]
    Departed {
        /// Name of the instance.
        #[serde(rename = "n")]
        name: String,
        /// Unix time of its start, in milliseconds.
        #[serde(rename = "b")]
        born_ms: Option<u64>,
    },
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// This version was known to be the newest so long ago, in microseconds.
    #[serde(rename = "f")]
    Confirmed {
        /// The version.
        #[serde(rename = "v")]
        version: u64,
        /// Age of the confirmation.
        #[serde(rename = "a")]
        age_micros: u64,
    },
    /// So many tokens are granted; where there are fewer than were wanted, a further one comes after so many
    /// microseconds.
    #[serde(rename = "t")]
    Granted {
        /// The tokens.
        #[serde(rename = "g")]
        tokens: u32,
        /// Time until the next one.
        #[serde(rename = "a")]
        next_after_micros: u64,
    },
    /// What was told is taken in, or there is nothing to tell.
    #[serde(rename = "n")]
    Noted,
    /// These requests are quarantined; none where the asker knows of the same.
    #[serde(rename = "q")]
    Quarantined {
        /// The requests.
        #[serde(rename = "r")]
        reports: Vec<QuarantineReport>,
        /// Whether the sender knows what was quarantined before its process started.
        #[serde(rename = "s")]
        is_settled: bool,
    },
    /// Whether the leaving of the instance was acknowledged.
    #[serde(rename = "d")]
    Departed(bool),
    /// The question can't be answered here.
    #[serde(rename = "u")]
    Unknown,
}

#[derive(Serialize, Deserialize)]
enum Content {
    #[serde(rename = "q")]
    Question {
        /// Identity of the sidecar that is meant: addresses are used again.
        #[serde(rename = "i")]
        to: String,
        #[serde(rename = "q")]
        question: Question,
    },
    #[serde(rename = "r")]
    Reply(Reply),
    #[serde(rename = "t")]
    Notice {
        /// As for questions.
        #[serde(rename = "i")]
        to: String,
        #[serde(rename = "t")]
        notice: Notice,
    },
}

#[derive(Serialize, Deserialize)]
struct Datagram {
    /// Number that the reply repeats, drawn by chance, so that no reply to an earlier process fits.
    #[serde(rename = "n")]
    number: u64,
    /// The newest era of the platform's store that the sender knows of.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    store_era: Option<u64>,
    #[serde(rename = "c")]
    content: Content,
}

/// Answers questions of other sidecars.
pub(crate) trait Answer: Send + Sync {
    /// The answer, at once.
    fn answer(&self, question: &Question) -> Reply;

    /// Takes in what another sidecar tells.
    fn take(&self, notice: &Notice);
}

/// This sidecar's end of the exchange.
pub(crate) struct Exchange {
    socket: Arc<UdpSocket>,
    own_id: String,
    answerer: Arc<dyn Answer>,
    eras: Arc<StoreEras>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<Reply>>>,
}

impl fmt::Debug for Exchange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let waiting = lock(&self.waiting).len();
        formatter
            .debug_struct("Exchange")
            .field("own_id", &self.own_id)
            .field("waiting", &waiting)
            .finish_non_exhaustive()
    }
}

impl Exchange {
    pub(crate) fn new(
        socket: Arc<UdpSocket>,
        own_id: &str,
        answerer: Arc<dyn Answer>,
        eras: Arc<StoreEras>,
    ) -> Self {
        Self {
            socket,
            own_id: own_id.to_owned(),
            answerer,
            eras,
            waiting: Mutex::default(),
        }
    }

    /// Identity of this sidecar.
    pub(crate) fn own_id(&self) -> &str {
        &self.own_id
    }

    /// Whether a datagram belongs to the exchange.
    pub(crate) fn is_exchange(bytes: &[u8]) -> bool {
        bytes.first() == Some(&MARK)
    }

    /// Asks a sidecar, and waits for its answer up to `limit`. This sidecar answers itself without a datagram.
    pub(crate) async fn ask(
        &self,
        peer: &Peer,
        question: Question,
        limit: Duration,
    ) -> Option<Reply> {
        if peer.id == self.own_id {
            return Some(self.answerer.answer(&question));
        }
        let number = rand::random();
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiting).insert(number, sender);
        let _waiting = Waiting {
            exchange: self,
            number,
        };
        let to = peer.id.clone();
        self.send(peer.address, number, Content::Question { to, question });
        tokio::time::timeout(limit, receiver).await.ok()?.ok()
    }

    /// Tells another sidecar something that needs no answer.
    pub(crate) fn tell(&self, peer: &Peer, notice: Notice) {
        let to = peer.id.clone();
        self.send(peer.address, 0, Content::Notice { to, notice });
    }

    /// Takes a datagram of the exchange: answers a question, or hands an answer to who waits for it.
    pub(crate) fn take(&self, source: SocketAddr, bytes: &[u8]) {
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
            self.eras.heard(store_era);
        }
        let number = datagram.number;
        match datagram.content {
            Content::Question { to, question } if to == self.own_id => {
                let reply = self.answerer.answer(&question);
                self.send(source, number, Content::Reply(reply));
            }
            Content::Notice { to, notice } if to == self.own_id => self.answerer.take(&notice),
            Content::Question { to, .. } | Content::Notice { to, .. } => log_event!(
                Event::ControlMessageDropped,
                "source={source} reason=\"meant for {to}\""
            ),
            Content::Reply(reply) => {
                if let Some(sender) = lock(&self.waiting).remove(&number) {
                    // Who asked may have stopped waiting at this moment; the answer is of no use then.
                    let _ = sender.send(reply);
                }
            }
        }
    }

    /// Sends a datagram; one that can't be sent counts as lost.
    fn send(&self, to: SocketAddr, number: u64, content: Content) {
        let datagram = Datagram {
            number,
            store_era: self.eras.newest().number,
            content,
        };
        let mut bytes = vec![MARK];
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

/// A question without an answer yet; dropped, its answer is no longer waited for.
struct Waiting<'exchange> {
    exchange: &'exchange Exchange,
    number: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        lock(&self.exchange.waiting).remove(&self.number);
    }
}
