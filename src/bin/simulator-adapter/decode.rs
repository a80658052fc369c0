//! Decodes the records of a batch into dispatcher events.

use crate::frame::{Batch, Fields, FrameError};
use std::collections::BTreeMap;
use workload_manager::{
    AttemptEnded, EngineEntry, EngineState, Event, ListUpdateKind, LoadReport, Outcome, Progress,
    Request,
};

/// Codes of the event records. An `ENGINE_LIST` record stores a numbered list of engines, and an
/// `ENDPOINT_LIST` record refers to it.
pub(crate) mod code {
    pub(crate) const PEER_MESSAGE: u8 = 1;
    pub(crate) const ENDPOINT_LIST: u8 = 2;
    pub(crate) const ENGINE_LIST: u8 = 3;
    pub(crate) const TIMER: u8 = 4;
    pub(crate) const CLIENT_DISCONNECTED: u8 = 5;
    pub(crate) const START_INSTANCE: u8 = 6;
    pub(crate) const STOP_INSTANCE: u8 = 7;
    pub(crate) const RESULT_STREAMING: u8 = 8;
    pub(crate) const ATTEMPT_ENDED: u8 = 9;
    pub(crate) const PROGRESS: u8 = 10;
    pub(crate) const REQUEST: u8 = 11;
    pub(crate) const HEALTH_CHECK_ENDED: u8 = 12;
}

/// Bytes of one engine in an engine list.
const ENGINE_ENTRY_BYTES: usize = 24;
/// Number of engine lists that a process can store.
const MAX_ENGINE_LISTS: u16 = 16;
/// Maximum number of fields of a load report in a record.
const MAX_LOAD_REPORT_FIELDS: usize = 4;
/// Code of the outcome [`Outcome::Ok`].
const OUTCOME_OK: u16 = 100;
/// Bit that is set if a request has an estimate of its work.
const WORK_ESTIMATE_FLAG: u8 = 1;
/// Number of low bits of the statistics field that hold the measured memory. The higher bits hold
/// the measured work in ms.
const MEASURED_MEMORY_BITS: u32 = 12;
/// Unit of the measured memory in a record, in MB.
const MEASURED_MEMORY_UNIT_MB: f64 = 4.0;
/// Value of a progress report about a wait, if the attempt waits for a bulk load.
const BULK_LOAD_WAIT_CODE: u8 = 2;

/// The stored engine lists, by number.
pub(crate) type EngineLists = BTreeMap<u16, Vec<EngineEntry>>;

/// Format of the answers that an instance's engines send.
#[derive(Default)]
pub(crate) struct AnswerFormat {
    /// The names of the fields in load reports, in order.
    pub(crate) load_report_fields: Vec<String>,
    /// Whether answers report the work and memory that the query needed.
    pub(crate) reports_work: bool,
}

/// One event record of a batch.
#[derive(Clone, Copy)]
pub(crate) struct Record<'a> {
    pub(crate) batch: &'a Batch,
    pub(crate) index: usize,
    pub(crate) fields: Fields<'a>,
}

impl<'a> Record<'a> {
    pub(crate) fn new(batch: &'a Batch, index: usize) -> Self {
        Record {
            batch,
            index,
            fields: batch.record(index),
        }
    }

    pub(crate) fn code(&self) -> u8 {
        self.fields.u8(0)
    }

    pub(crate) fn instance(&self) -> u16 {
        self.fields.u16(1)
    }

    fn unknown_value(&self, what: &'static str, value: impl Into<u64>) -> FrameError {
        FrameError::UnknownValue {
            batch: self.batch.number,
            record: self.index,
            what,
            value: value.into(),
        }
    }

    /// Decodes the record into a dispatcher event.
    pub(crate) fn event(
        &self,
        engine_lists: &EngineLists,
        answer_format: &AnswerFormat,
    ) -> Result<Event, FrameError> {
        let fields = self.fields;
        Ok(match self.code() {
            code::PEER_MESSAGE => self.peer_message()?,
            code::ENDPOINT_LIST => self.endpoint_list(engine_lists)?,
            code::TIMER => Event::Timer {
                token: fields.u64(3),
            },
            code::CLIENT_DISCONNECTED => Event::ClientDisconnected { id: fields.u32(3) },
            code::RESULT_STREAMING => Event::ResultStreaming {
                id: fields.u32(3),
                attempt: fields.u16(7),
            },
            code::ATTEMPT_ENDED => self.attempt_ended(answer_format)?,
            code::PROGRESS => self.progress()?,
            code::REQUEST => self.request(),
            code::HEALTH_CHECK_ENDED => self.health_check_ended(answer_format)?,
            other => return Err(self.unknown_value("unknown event code", other)),
        })
    }

    fn peer_message(&self) -> Result<Event, FrameError> {
        let (offset, length) = (self.fields.u32(7), self.fields.u32(11) as usize);
        let payload = self.batch.tail(offset, length, "a peer message")?;
        Ok(Event::PeerMessage {
            payload: payload.to_vec(),
        })
    }

    /// Returns the settings of an instance to start, as JSON text.
    pub(crate) fn settings(&self) -> Result<&'a [u8], FrameError> {
        let (offset, length) = (self.fields.u32(11), self.fields.u32(15) as usize);
        self.batch.tail(offset, length, "the settings")
    }

    /// Decodes an engine list and returns it with its number.
    pub(crate) fn engine_list(&self) -> Result<(u16, Vec<EngineEntry>), FrameError> {
        let number = self.instance();
        if number >= MAX_ENGINE_LISTS {
            return Err(self.unknown_value("list number too large:", number));
        }
        let length = (self.fields.u32(7) as usize).saturating_mul(ENGINE_ENTRY_BYTES);
        let bytes = self
            .batch
            .tail(self.fields.u32(3), length, "an engine list")?;
        let entries = bytes
            .chunks_exact(ENGINE_ENTRY_BYTES)
            .map(|entry| self.engine_entry(Fields(entry)))
            .collect::<Result<Vec<EngineEntry>, FrameError>>()?;
        Ok((number, entries))
    }

    fn engine_entry(&self, entry: Fields<'_>) -> Result<EngineEntry, FrameError> {
        let state = match entry.u8(11) {
            0 => EngineState::Removed,
            1 => EngineState::Ready,
            2 => EngineState::Draining,
            other => return Err(self.unknown_value("unknown engine state", other)),
        };
        Ok(EngineEntry {
            engine: entry.engine(0),
            zone: entry.u8(6),
            machine_type: entry.u16(7),
            cell: entry.u16(9),
            state,
            nominal_capacity: entry.f32(12),
            started_at_ms: entry.f64(16),
            sharing: None,
        })
    }

    fn endpoint_list(&self, engine_lists: &EngineLists) -> Result<Event, FrameError> {
        let kind = match self.fields.u8(3) {
            0 => ListUpdateKind::Delta,
            1 => ListUpdateKind::Full,
            2 => ListUpdateKind::Cached,
            3 => ListUpdateKind::PollFailed,
            other => return Err(self.unknown_value("unknown kind of list update", other)),
        };
        let number = self.fields.u16(12);
        let entries = match (kind, engine_lists.get(&number)) {
            (ListUpdateKind::PollFailed, _) => Vec::new(),
            (_, Some(entries)) => entries.clone(),
            (_, None) => return Err(self.unknown_value("unknown list number", number)),
        };
        Ok(Event::EndpointList { kind, entries })
    }

    fn request(&self) -> Event {
        let fields = self.fields;
        let has_work_estimate = fields.u8(42) & WORK_ESTIMATE_FLAG != 0;
        Event::Request(Request {
            id: fields.u32(3),
            class: usize::from(fields.u8(7)),
            order_key: fields.u64(10),
            deadline_ms: fields.f64(18),
            estimated_work_ms: has_work_estimate.then(|| fields.f64(26)),
            data_set: fields.u32(38),
            estimated_memory_mb: Some(fields.f32(34)).filter(|memory| *memory > 0.0),
            max_attempts: None,
        })
    }

    fn progress(&self) -> Result<Event, FrameError> {
        let value = self.fields.f32(10);
        let progress = match (self.fields.u8(9), value as u8) {
            (1, _) => Progress::ShareDone(value),
            (2, _) => Progress::SpillingMb(value),
            (3, BULK_LOAD_WAIT_CODE) => Progress::WaitingForBulkLoad,
            (3, _) => Progress::WaitingForMemory,
            (other, _) => return Err(self.unknown_value("unknown kind of progress report", other)),
        };
        Ok(Event::Progress {
            id: self.fields.u32(3),
            attempt: self.fields.u16(7),
            progress,
        })
    }

    fn attempt_ended(&self, answer_format: &AnswerFormat) -> Result<Event, FrameError> {
        let fields = self.fields;
        let outcome_code = fields.u16(28);
        let statistics = fields.u32(24);
        let is_measured =
            answer_format.reports_work && outcome_code == OUTCOME_OK && statistics > 0;
        let work_ms = f64::from(statistics >> MEASURED_MEMORY_BITS);
        let memory_units = f64::from(statistics & ((1 << MEASURED_MEMORY_BITS) - 1));
        Ok(Event::AttemptEnded(AttemptEnded {
            id: fields.u32(3),
            attempt: fields.u16(22),
            engine: fields.engine(16),
            outcome: self.outcome(outcome_code)?,
            elapsed_ms: fields.f64(7),
            answered: fields.u8(15) != 0,
            measured_work_ms: is_measured.then_some(work_ms),
            measured_memory_mb: is_measured.then_some(memory_units * MEASURED_MEMORY_UNIT_MB),
            load_report: self.load_report(30, answer_format),
        }))
    }

    fn health_check_ended(&self, answer_format: &AnswerFormat) -> Result<Event, FrameError> {
        Ok(Event::HealthCheckEnded {
            engine: self.fields.engine(3),
            outcome: self.outcome(self.fields.u16(9))?,
            elapsed_ms: self.fields.f64(11),
            load_report: self.load_report(19, answer_format),
        })
    }

    fn outcome(&self, outcome_code: u16) -> Result<Outcome, FrameError> {
        Ok(match outcome_code {
            OUTCOME_OK => Outcome::Ok,
            301 => Outcome::Error,
            302 => Outcome::Rejected,
            303 => Outcome::TimedOut,
            304 => Outcome::NoConnection,
            305 => Outcome::Reset,
            306 => Outcome::Cancelled,
            307 => Outcome::NotSent,
            other => return Err(self.unknown_value("unknown outcome", other)),
        })
    }

    /// Decodes the load report at an offset: one byte with the number of values, then the values in
    /// the order of [`AnswerFormat::load_report_fields`].
    fn load_report(&self, offset: usize, answer_format: &AnswerFormat) -> LoadReport {
        let mut report = LoadReport::default();
        let field_count = usize::from(self.fields.u8(offset)).min(MAX_LOAD_REPORT_FIELDS);
        let names = answer_format.load_report_fields.iter().take(field_count);
        for (position, name) in names.enumerate() {
            let value = Some(self.fields.f32(offset + 1 + 4 * position));
            match name.as_str() {
                "rif" => report.inflight = value,
                "busy" => report.cpu_busy = value,
                "x1" => report.disk_busy = value,
                "q" => report.memory_queue = value,
                "x0" => report.memory_granted = value,
                _ => {}
            }
        }
        report
    }
}
