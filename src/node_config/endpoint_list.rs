//! Events of the endpoint list, in the form in which configuration and discovery pass them to the core.

use crate::decision::{EngineEntry, EngineId, ListUpdateKind};
use std::net::{Ipv4Addr, SocketAddr};

/// What the text form of an engine's id begins with.
const ENGINE_ID_PREFIX: &str = "s-";

/// Hexadecimal digits of an engine's id.
const ENGINE_ID_DIGITS: usize = 8;

/// One engine of the list, with the address at which this workload manager reaches it.
#[derive(Clone, Debug)]
pub struct EngineRecord {
    /// What the dispatcher knows of it.
    pub entry: EngineEntry,
    /// Where it listens.
    pub address: SocketAddr,
}

/// One event of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointListEvent {
    /// Its number; events are numbered upwards.
    pub number: u64,
    /// The full list, or changes.
    pub kind: ListUpdateKind,
    /// The engines.
    pub records: Vec<EngineRecord>,
    /// Engines whose records name a state, zone or machine type that the settings do not know: they stay as they were.
    pub unusable_engines: Vec<EngineId>,
}

/// The engine with this id. Its address is not used: a new engine may take an old one's address, and each workload
/// manager is given other addresses, while all have to agree on which engines have a data set cached.
pub fn engine_id(id: u32) -> EngineId {
    EngineId {
        addr: id.to_be_bytes(),
        port: 0,
    }
}

/// An engine's id as text: `s-` and 8 hexadecimal digits.
pub fn format_engine_id(engine: EngineId) -> String {
    format!("{ENGINE_ID_PREFIX}{:08x}", u32::from_be_bytes(engine.addr))
}

/// The engine with this id as text; none where the text has another form.
pub fn parse_engine_id(text: &str) -> Option<EngineId> {
    let digits = text.strip_prefix(ENGINE_ID_PREFIX)?;
    // The number's own parser would also accept a sign and fewer digits.
    let is_hexadecimal = digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if digits.len() != ENGINE_ID_DIGITS || !is_hexadecimal {
        return None;
    }
    u32::from_str_radix(digits, 16).ok().map(engine_id)
}

/// An address from its four bytes and port.
pub fn socket_address(ip: [u8; 4], port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(ip), port))
}
