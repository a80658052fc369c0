//! Events of the endpoint list. Configuration and discovery pass them to the core in these types.

use crate::decision::{EngineEntry, EngineId, ListUpdateKind};
use std::net::{Ipv4Addr, SocketAddr};

/// Prefix of an engine id as text.
const ENGINE_ID_PREFIX: &str = "s-";

/// Number of hexadecimal digits of an engine id as text.
const ENGINE_ID_DIGITS: usize = 8;

/// One engine of the endpoint list, with the address at which this workload manager connects to it.
#[derive(Clone, Debug)]
pub struct EngineRecord {
    /// The data of the engine that the dispatcher uses.
    pub entry: EngineEntry,
    /// The address at which the engine listens.
    pub address: SocketAddr,
}

/// One event of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointListEvent {
    /// The number of the event. Later events have higher numbers.
    pub number: u64,
    /// Whether the event has the full list or a delta.
    pub kind: ListUpdateKind,
    /// The records of engines that can be used.
    pub records: Vec<EngineRecord>,
    /// Engines whose records have an unknown state, or a zone or machine type that is not in the
    /// settings. Such a record changes nothing about its engine.
    pub unusable_engines: Vec<EngineId>,
}

/// Converts the number of an engine in the endpoint list to an [`EngineId`]. The engine's address
/// is not part of the id: a new engine may take the address of an old one, and each workload
/// manager gets different addresses, but all must agree on which engines have a data set cached.
pub fn engine_id(id: u32) -> EngineId {
    EngineId {
        addr: id.to_be_bytes(),
        port: 0,
    }
}

/// Formats an engine id as `s-` and 8 hexadecimal digits.
pub fn format_engine_id(engine: EngineId) -> String {
    format!("{ENGINE_ID_PREFIX}{:08x}", u32::from_be_bytes(engine.addr))
}

/// Parses an engine id of `s-` and 8 hexadecimal digits. Returns `None` for any other text.
pub fn parse_engine_id(text: &str) -> Option<EngineId> {
    let digits = text.strip_prefix(ENGINE_ID_PREFIX)?;
    // `from_str_radix` alone would also accept a sign and fewer digits.
    let is_hexadecimal = digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if digits.len() != ENGINE_ID_DIGITS || !is_hexadecimal {
        return None;
    }
    u32::from_str_radix(digits, 16).ok().map(engine_id)
}

/// Returns the socket address of an IPv4 address, given as four bytes, and a port.
pub fn socket_address(ip: [u8; 4], port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(ip), port))
}
