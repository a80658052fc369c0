//! The sockets of a node. All are bound at the start, before any actor runs.

use crate::node_config::{ConfigError, NodeConfig, OptionalFrontEnds, parse_loopback_address};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio_listener::{Listener, ListenerAddress, SystemOptions, UserOptions};

/// An error while opening a socket.
#[derive(Debug, Error)]
pub enum BindError {
    /// An address in a configuration file cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The address is in use, or is not an address of this machine.
    #[error("cannot listen on {address}: {source}")]
    Address {
        /// The address of the socket.
        address: SocketAddr,
        /// The error that the operating system reported.
        source: io::Error,
    },
    /// The inherited descriptor is not a listening TCP socket.
    #[error("cannot listen on descriptor {descriptor}: {source}")]
    Descriptor {
        /// The descriptor's number.
        descriptor: i32,
        /// The error that the operating system reported.
        source: io::Error,
    },
}

/// A socket and the address that it is bound to.
pub(super) struct BoundSocket<S> {
    pub(super) socket: S,
    pub(super) address: SocketAddr,
}

/// The SNMP agent's socket.
pub(super) struct SnmpSocket {
    pub(super) bound: BoundSocket<UdpSocket>,
    /// The SNMP community that may read.
    pub(super) community: String,
}

/// All sockets of a node.
pub(super) struct Sockets {
    pub(super) platform: BoundSocket<TcpListener>,
    pub(super) flight: Option<BoundSocket<TcpListener>>,
    pub(super) admin: Option<BoundSocket<TcpListener>>,
    pub(super) snmp_agent: Option<SnmpSocket>,
}

impl Sockets {
    /// Opens all sockets that the configuration and the operators' file ask for.
    pub(super) async fn bind(
        config: &NodeConfig,
        front_ends: OptionalFrontEnds,
    ) -> Result<Sockets, BindError> {
        let platform = match config.listen_fd {
            Some(descriptor) => inherit_listener(descriptor).await?,
            None => bind_tcp(config.listen).await?,
        };
        let flight = match &front_ends.flight {
            Some(front_end) => {
                Some(bind_tcp(parse_loopback_address(&front_end.listen, "flight")?).await?)
            }
            None => None,
        };
        let admin = match config.admin {
            Some(address) => Some(bind_tcp(address).await?),
            None => None,
        };
        let snmp_agent = match front_ends.snmp {
            Some(snmp_agent) => Some(SnmpSocket {
                bound: bind_udp(parse_loopback_address(&snmp_agent.listen, "snmp")?).await?,
                community: snmp_agent.community,
            }),
            None => None,
        };
        Ok(Sockets {
            platform,
            flight,
            admin,
            snmp_agent,
        })
    }
}

/// Takes over the listening socket that the platform owns and passes under this descriptor.
async fn inherit_listener(descriptor: i32) -> Result<BoundSocket<TcpListener>, BindError> {
    let bind_error = |source: io::Error| BindError::Descriptor { descriptor, source };
    let mut options = UserOptions::default();
    options.sd_accept_ignore_environment = true;
    let listener = Listener::bind(
        &ListenerAddress::FromFd(descriptor),
        &SystemOptions::default(),
        &options,
    )
    .await
    .map_err(bind_error)?;
    let socket = listener
        .try_into_tcp_listener()
        .map_err(|_| bind_error(io::Error::other("it is not a TCP socket")))?;
    let address = socket.local_addr().map_err(bind_error)?;
    Ok(BoundSocket { socket, address })
}

async fn bind_tcp(address: SocketAddr) -> Result<BoundSocket<TcpListener>, BindError> {
    let bind_error = |source| BindError::Address { address, source };
    let socket = TcpListener::bind(address).await.map_err(bind_error)?;
    let address = socket.local_addr().map_err(bind_error)?;
    Ok(BoundSocket { socket, address })
}

async fn bind_udp(address: SocketAddr) -> Result<BoundSocket<UdpSocket>, BindError> {
    let bind_error = |source| BindError::Address { address, source };
    let socket = UdpSocket::bind(address).await.map_err(bind_error)?;
    let address = socket.local_addr().map_err(bind_error)?;
    Ok(BoundSocket { socket, address })
}
