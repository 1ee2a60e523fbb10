//! The listeners of one daemon and the addresses that they are bound to.

use std::io;
use std::net::SocketAddr;

use displaydoc::Display;
use tokio::net::UdpSocket;

use crate::control::gossip::ControlSockets;
use crate::listener::BoundListener;
use crate::settings::{ListenSettings, Settings};

/// An error that prevents the start of a daemon.
#[derive(Debug, Display)]
pub enum StartError {
    /// {field}: can't listen on {address}: {source}
    Listen {
        /// Settings field that specifies the address.
        field: &'static str,
        /// Address that can't be bound.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

impl std::error::Error for StartError {}

/// Addresses that a daemon listens on, with the ports that the operating system chose; `None` for
/// listeners that are not configured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Addresses {
    /// Listener for requests of callers.
    pub edge: Option<SocketAddr>,
    /// Listener for calls of other daemons.
    pub inbound: Option<SocketAddr>,
    /// Listener for the calls of the local backend.
    pub outbound: Option<SocketAddr>,
    /// Listener for control messages of other daemons.
    pub control: Option<SocketAddr>,
    /// Listener for the admin pages.
    pub admin: Option<SocketAddr>,
}

/// The listeners of one daemon.
pub(crate) struct Listeners {
    pub(crate) edge: Option<BoundListener>,
    pub(crate) inbound: Option<BoundListener>,
    pub(crate) outbound: Option<BoundListener>,
    pub(crate) control: Option<BoundListener>,
    pub(crate) admin: BoundListener,
}

impl Listeners {
    /// Binds the listeners that the settings specify.
    pub(crate) async fn bind(settings: &Settings) -> Result<Self, StartError> {
        let control = settings.control.as_ref();
        let control = control.map(|control| ListenSettings {
            listen: control.listen,
        });
        Ok(Self {
            edge: bind_optional("edge.listen", settings.edge).await?,
            inbound: bind_optional("inbound.listen", settings.inbound).await?,
            outbound: bind_optional("outbound.listen", settings.outbound).await?,
            control: bind_optional("control.listen", control).await?,
            admin: bind("admin.listen", settings.admin.listen).await?,
        })
    }

    /// Binds the UDP socket at the address of the control listener; `None` without a control
    /// listener.
    pub(crate) async fn control_sockets(&self) -> Result<Option<ControlSockets>, StartError> {
        let Some(address) = self.control.as_ref().map(|bound| bound.address) else {
            return Ok(None);
        };
        let datagrams = UdpSocket::bind(address)
            .await
            .map_err(|source| StartError::Listen {
                field: "control.listen",
                address,
                source,
            })?;
        let inbound = self.inbound.as_ref().map(|bound| bound.address);
        Ok(Some(ControlSockets {
            datagrams,
            control_address: address,
            call_address: inbound.unwrap_or(address),
        }))
    }

    /// Returns the bound addresses.
    pub(crate) fn addresses(&self) -> Addresses {
        let address = |bound: &Option<BoundListener>| bound.as_ref().map(|bound| bound.address);
        Addresses {
            edge: address(&self.edge),
            inbound: address(&self.inbound),
            outbound: address(&self.outbound),
            control: address(&self.control),
            admin: Some(self.admin.address),
        }
    }
}

async fn bind_optional(
    field: &'static str,
    settings: Option<ListenSettings>,
) -> Result<Option<BoundListener>, StartError> {
    match settings {
        Some(settings) => bind(field, settings.listen).await.map(Some),
        None => Ok(None),
    }
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<BoundListener, StartError> {
    BoundListener::bind(address)
        .await
        .map_err(|source| StartError::Listen {
            field,
            address,
            source,
        })
}
