//! Decodes the wire format of the discovery feed.
//!
//! A frame consists of its length (4 bytes), the event number (8 bytes), the kind of frame (1 byte)
//! and any number of records of 27 bytes each. The length does not include its own 4 bytes. All
//! numbers are big-endian.

use crate::decision::{EngineEntry, EngineId, EngineState, ListUpdateKind};
use crate::node_config::{EndpointListEvent, EngineRecord, engine_id};
use crate::settings_json::PlatformSettings;
use bytes::Buf;
use std::net::{Ipv4Addr, SocketAddr};
use thiserror::Error;

/// Bytes of a record: id 4, address 4, port 2, state 1, zone 1, machine type 1, cell 2, nominal
/// capacity 4, start time 8.
pub(super) const RECORD_BYTES: usize = 27;

/// Bytes of a frame between its length and its records: the event number and the kind.
pub(super) const HEADER_BYTES: usize = 9;

/// The feed gives the nominal capacity of an engine in thousandths.
const CAPACITY_SCALE: f64 = 1000.0;

const KIND_HEARTBEAT: u8 = 0;
const KIND_FULL_LIST: u8 = 1;
const KIND_CHANGES: u8 = 2;

const STATE_READY: u8 = 0;
const STATE_DRAINING: u8 = 1;
const STATE_REMOVED: u8 = 2;

/// One decoded frame.
#[derive(Debug)]
pub(super) enum Frame {
    /// The feed is connected, and the endpoint list has not changed.
    Heartbeat,
    /// The full endpoint list, or changes of it.
    Event(EndpointListEvent),
}

/// Why a frame cannot be decoded.
#[derive(Debug, Error, PartialEq, Eq)]
pub(super) enum FrameError {
    /// The length is out of bounds.
    #[error("frame of {bytes} bytes; {HEADER_BYTES} to {max_bytes} are allowed")]
    Length {
        /// The length that the feed sent, or the number of bytes to decode.
        bytes: usize,
        /// The maximum length.
        max_bytes: usize,
    },
    /// The kind of frame is unknown.
    #[error("unknown kind of frame {0}")]
    UnknownKind(u8),
    /// A heartbeat has records.
    #[error("heartbeat with {0} bytes of records")]
    HeartbeatWithRecords(usize),
    /// The last record is incomplete.
    #[error("{0} bytes after the last complete record")]
    PartialRecord(usize),
}

/// Why a single record cannot be used. The other records of its frame are still used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
enum RecordError {
    #[error("unknown state {0}")]
    UnknownState(u8),
    #[error("zone {zone} or machine type {machine_type} is not in the settings")]
    UnknownLocation { zone: u8, machine_type: u8 },
}

/// Checks the length of a frame, as the feed sent it.
pub(super) fn check_length(bytes: usize, max_bytes: usize) -> Result<(), FrameError> {
    if (HEADER_BYTES..=max_bytes).contains(&bytes) {
        Ok(())
    } else {
        Err(FrameError::Length { bytes, max_bytes })
    }
}

/// Decodes a frame; `frame` starts after the length.
///
/// # Errors
///
/// See [`FrameError`]. A record that cannot be used is not an error of the frame, because the feed
/// would send the same frame again on every connection, and no later event would be received.
/// Instead, the engine of the record is listed in the event's `unusable_engines`.
pub(super) fn decode(frame: &[u8], settings: &PlatformSettings) -> Result<Frame, FrameError> {
    let Some((mut header, payload)) = frame.split_at_checked(HEADER_BYTES) else {
        return Err(FrameError::Length {
            bytes: frame.len(),
            max_bytes: usize::MAX,
        });
    };
    let number = header.get_u64();
    let kind = match header.get_u8() {
        KIND_HEARTBEAT if payload.is_empty() => return Ok(Frame::Heartbeat),
        KIND_HEARTBEAT => return Err(FrameError::HeartbeatWithRecords(payload.len())),
        KIND_FULL_LIST => ListUpdateKind::Full,
        KIND_CHANGES => ListUpdateKind::Delta,
        unknown => return Err(FrameError::UnknownKind(unknown)),
    };
    let (encoded, partial) = payload.as_chunks::<RECORD_BYTES>();
    if !partial.is_empty() {
        return Err(FrameError::PartialRecord(partial.len()));
    }
    let mut event = EndpointListEvent {
        number,
        kind,
        records: Vec::with_capacity(encoded.len()),
        unusable_engines: Vec::new(),
    };
    for record in encoded {
        let record = Record::decode(record);
        match record.to_engine_record(settings) {
            Ok(usable) => event.records.push(usable),
            Err(_) => event.unusable_engines.push(record.engine),
        }
    }
    Ok(Frame::Event(event))
}

/// The fields of a record, with the values of the wire format.
struct Record {
    engine: EngineId,
    address: SocketAddr,
    state: u8,
    zone: u8,
    machine_type: u8,
    cell: u16,
    /// In thousandths.
    nominal_capacity: u32,
    /// In ms since the Unix epoch.
    started_at_ms: u64,
}

impl Record {
    /// Decodes the fields in the order of the wire format.
    fn decode(encoded: &[u8; RECORD_BYTES]) -> Record {
        let mut fields = encoded.as_slice();
        // Rust evaluates the fields of a struct expression in the order written, which is their
        // order on the wire.
        Record {
            engine: engine_id(fields.get_u32()),
            address: SocketAddr::from((Ipv4Addr::from(fields.get_u32()), fields.get_u16())),
            state: fields.get_u8(),
            zone: fields.get_u8(),
            machine_type: fields.get_u8(),
            cell: fields.get_u16(),
            nominal_capacity: fields.get_u32(),
            started_at_ms: fields.get_u64(),
        }
    }

    /// Converts the record to the core's types. The zone and machine type of a draining or removed
    /// engine are not checked, so that its state is always passed on.
    ///
    /// # Errors
    ///
    /// The state is unknown, or the engine is ready and its zone or machine type is unknown.
    fn to_engine_record(&self, settings: &PlatformSettings) -> Result<EngineRecord, RecordError> {
        let state = match self.state {
            STATE_READY => EngineState::Ready,
            STATE_DRAINING => EngineState::Draining,
            STATE_REMOVED => EngineState::Removed,
            unknown => return Err(RecordError::UnknownState(unknown)),
        };
        let location_known = is_known_position(&settings.zones, self.zone)
            && is_known_position(&settings.machine_types, self.machine_type);
        if state == EngineState::Ready && !location_known {
            return Err(RecordError::UnknownLocation {
                zone: self.zone,
                machine_type: self.machine_type,
            });
        }
        let entry = EngineEntry {
            engine: self.engine,
            zone: self.zone,
            machine_type: u16::from(self.machine_type),
            cell: self.cell,
            state,
            nominal_capacity: f64::from(self.nominal_capacity) / CAPACITY_SCALE,
            started_at_ms: self.started_at_ms as f64,
            sharing: None,
        };
        Ok(EngineRecord {
            entry,
            address: self.address,
        })
    }
}

/// Returns true if `position` is in the list of names, or if the settings list no names.
fn is_known_position(names: &[String], position: u8) -> bool {
    names.is_empty() || usize::from(position) < names.len()
}
