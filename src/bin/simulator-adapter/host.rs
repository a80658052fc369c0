//! The table of instances: events to the library, its actions to reply records.

use crate::frame::{Batch, Bytes, Problem, Reply};
use std::collections::BTreeMap;
use workload_manager::settings_json;
use workload_manager::{
    Action, AttemptEnded, Dispatcher, EngineEntry, EngineState, Event, ListUpdateKind, LoadReport,
    Outcome, Progress, Request,
};

const ENTRY: usize = 24;
const LISTS: u16 = 16;

struct Instance {
    gateway: Dispatcher,
    report_names: Vec<String>,
    bills: bool,
}

/// All instances of this process.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<u16, Instance>,
    lists: BTreeMap<u16, Vec<EngineEntry>>,
}

impl Host {
    /// Hands a batch's events to their instances, in order, and frames what they do.
    pub(crate) fn answer(&mut self, batch: &Batch) -> Result<Vec<u8>, Problem> {
        let mut reply = Reply::default();
        let mut actions = Vec::new();
        for i in 0..batch.count {
            let r = batch.record(i);
            let instance = r.u16(1);
            match r.u8(0) {
                3 => self.inventory(batch, i, r)?,
                6 => self.start(batch, r, &mut reply, &mut actions)?,
                7 => {
                    self.instances.remove(&instance);
                }
                code => {
                    let event = self.event(batch, i, code, r)?;
                    if let (Some(event), Some(inst)) = (event, self.instances.get_mut(&instance)) {
                        inst.gateway.handle(batch.clock, event, &mut actions);
                    }
                }
            }
            for action in actions.drain(..) {
                put(&mut reply, instance, &action);
            }
        }
        Ok(reply.finish(batch.number))
    }

    fn inventory(&mut self, batch: &Batch, i: usize, r: Bytes<'_>) -> Result<(), Problem> {
        let slot = r.u16(1);
        if slot >= LISTS {
            return Err(Problem(format!(
                "batch {}, record {i}: list number {slot}",
                batch.number
            )));
        }
        let length = (r.u32(7) as usize).saturating_mul(ENTRY);
        let mut entries = Vec::new();
        for line in batch
            .tail(r.u32(3), length, "an engine list")?
            .chunks_exact(ENTRY)
            .map(Bytes)
        {
            let state = match line.u8(11) {
                0 => EngineState::Removed,
                1 => EngineState::Ready,
                2 => EngineState::Draining,
                other => {
                    return Err(Problem(format!(
                        "batch {}, record {i}: health {other}",
                        batch.number
                    )));
                }
            };
            entries.push(EngineEntry {
                engine: line.engine(0),
                zone: line.u8(6),
                machine_type: line.u16(7),
                cell: line.u16(9),
                state,
                nominal_capacity: line.f32(12),
                started_at_ms: line.f64(16),
                sharing: None,
            });
        }
        self.lists.insert(slot, entries);
        Ok(())
    }

    fn start(
        &mut self,
        batch: &Batch,
        r: Bytes<'_>,
        reply: &mut Reply,
        actions: &mut Vec<Action>,
    ) -> Result<(), Problem> {
        let instance = r.u16(1);
        self.instances.remove(&instance);
        let text = batch.tail(r.u32(11), r.u32(15) as usize, "the settings")?;
        let parsed = settings_json::parse(text).map_err(|e| e.to_string());
        let made = parsed.and_then(|p| {
            let gateway = Dispatcher::new(p.settings, r.u64(3)).map_err(|e| e.to_string())?;
            Ok(Instance {
                gateway,
                report_names: p.load_report_fields,
                bills: p.answers_report_work,
            })
        });
        match made {
            Ok(mut made) => {
                made.gateway.handle(batch.clock, Event::Started, actions);
                self.instances.insert(instance, made);
            }
            Err(text) => {
                let field = reply.text(&text);
                reply.record(74, instance, &[(3, &field)]);
            }
        }
        Ok(())
    }

    #[expect(clippy::too_many_lines, reason = "not split yet")]
    fn event(
        &self,
        batch: &Batch,
        i: usize,
        code: u8,
        r: Bytes<'_>,
    ) -> Result<Option<Event>, Problem> {
        let wrong = |what: &str, value: u64| {
            Problem(format!(
                "batch {}, record {i}: unknown {what} {value}",
                batch.number
            ))
        };
        let inst = self.instances.get(&r.u16(1));
        Ok(Some(match code {
            2 => {
                let kind = match r.u8(3) {
                    0 => ListUpdateKind::Delta,
                    1 => ListUpdateKind::Full,
                    2 => ListUpdateKind::Cached,
                    3 => ListUpdateKind::PollFailed,
                    other => return Err(wrong("kind of list", other.into())),
                };
                let slot = r.u16(12);
                let entries = match (kind, self.lists.get(&slot)) {
                    (ListUpdateKind::PollFailed, _) => Vec::new(),
                    (_, Some(list)) => list.clone(),
                    (_, None) => return Err(wrong("list number", slot.into())),
                };
                Event::EndpointList { kind, entries }
            }
            11 => Event::Request(Request {
                id: r.u32(3),
                class: usize::from(r.u8(7)),
                order_key: r.u64(10),
                deadline_ms: r.f64(18),
                estimated_work_ms: (r.u8(42) & 1 != 0).then(|| r.f64(26)),
                data_set: r.u32(38),
                estimated_memory_mb: Some(r.f32(34)).filter(|mb| *mb > 0.0),
                max_attempts: None,
            }),
            8 => Event::ResultStreaming {
                id: r.u32(3),
                attempt: r.u16(7),
            },
            4 => Event::Timer { token: r.u64(3) },
            5 => Event::ClientDisconnected { id: r.u32(3) },
            1 => Event::PeerMessage {
                payload: batch
                    .tail(r.u32(7), r.u32(11) as usize, "a message")?
                    .to_vec(),
            },
            10 => {
                let level = r.f32(10);
                let note = match (r.u8(9), level as u8) {
                    (1, _) => Progress::ShareDone(level),
                    (2, _) => Progress::SpillingMb(level),
                    (3, 2) => Progress::WaitingForBulkLoad,
                    (3, _) => Progress::WaitingForMemory,
                    (other, _) => return Err(wrong("kind of note", other.into())),
                };
                Event::Progress {
                    id: r.u32(3),
                    attempt: r.u16(7),
                    progress: note,
                }
            }
            9 => {
                let code = r.u16(28);
                let stats = r.u32(24);
                let bills = inst.is_some_and(|i| i.bills) && code == 100 && stats > 0;
                Event::AttemptEnded(AttemptEnded {
                    id: r.u32(3),
                    attempt: r.u16(22),
                    engine: r.engine(16),
                    outcome: outcome(code).ok_or_else(|| wrong("outcome", code.into()))?,
                    elapsed_ms: r.f64(7),
                    answered: r.u8(15) != 0,
                    measured_work_ms: bills.then(|| f64::from(stats >> 12)),
                    measured_memory_mb: bills.then(|| f64::from(stats & 0xfff) * 4.0),
                    load_report: report(inst, r, 30),
                })
            }
            12 => {
                let code = r.u16(9);
                Event::HealthCheckEnded {
                    engine: r.engine(3),
                    outcome: outcome(code).ok_or_else(|| wrong("outcome", code.into()))?,
                    elapsed_ms: r.f64(11),
                    load_report: report(inst, r, 19),
                }
            }
            other => return Err(wrong("event code", other.into())),
        }))
    }
}

fn outcome(code: u16) -> Option<Outcome> {
    Some(match code {
        100 => Outcome::Ok,
        301 => Outcome::Error,
        302 => Outcome::Rejected,
        303 => Outcome::TimedOut,
        304 => Outcome::NoConnection,
        305 => Outcome::Reset,
        306 => Outcome::Cancelled,
        307 => Outcome::NotSent,
        _ => return None,
    })
}

fn report(inst: Option<&Instance>, r: Bytes<'_>, at: usize) -> LoadReport {
    let mut report = LoadReport::default();
    let held = usize::from(r.u8(at)).min(4);
    let names = inst.map_or(&[][..], |i| &i.report_names);
    for (i, name) in names.iter().take(held).enumerate() {
        let value = Some(r.f32(at + 1 + 4 * i));
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

#[expect(clippy::too_many_lines, reason = "not split yet")]
fn put(reply: &mut Reply, instance: u16, action: &Action) {
    let address = |e: &workload_manager::EngineId| {
        let mut field = [0; 6];
        field[..4].copy_from_slice(&e.addr);
        field[4..].copy_from_slice(&e.port.to_le_bytes());
        field
    };
    match action {
        Action::StartAttempt {
            id,
            engine,
            timeout_ms,
        } => {
            let timeout = timeout_ms.unwrap_or(0.0).to_le_bytes();
            reply.record(
                65,
                instance,
                &[
                    (3, &id.to_le_bytes()),
                    (7, &timeout),
                    (15, &address(engine)),
                ],
            );
        }
        Action::Reject {
            id,
            retry_after_ms: hold_off_ms,
        } => {
            reply.record(
                66,
                instance,
                &[(3, &id.to_le_bytes()), (7, &hold_off_ms.to_le_bytes())],
            );
        }
        Action::Fail { id } => reply.record(67, instance, &[(3, &id.to_le_bytes())]),
        Action::CancelAttempt { id, attempt } => {
            reply.record(
                68,
                instance,
                &[(3, &id.to_le_bytes()), (7, &attempt.to_le_bytes())],
            );
        }
        Action::SetTimer { after_ms, token } => {
            reply.record(
                69,
                instance,
                &[(3, &after_ms.to_le_bytes()), (11, &token.to_le_bytes())],
            );
        }
        Action::SendHealthCheck { engine } => reply.record(70, instance, &[(3, &address(engine))]),
        Action::SetAttemptTerms {
            id,
            memory_mb,
            priority,
        } => {
            let memory = (*memory_mb as f32).to_le_bytes();
            reply.record(
                77,
                instance,
                &[(3, &id.to_le_bytes()), (7, &memory), (11, &[*priority])],
            );
        }
        Action::Log { line } => {
            let field = reply.text(line);
            reply.record(73, instance, &[(3, &field)]);
        }
        Action::SubscribeEndpointList => reply.record(75, instance, &[(3, &[1])]),
    }
}
