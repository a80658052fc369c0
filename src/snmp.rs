//! The SNMP agent: version 2c, read-only, over the counters that are printed on request and at exit. Its objects
//! stand in `mibs/MAGPIECHUTE-MIB.txt`, the counters in the order of their table.

use crate::limits::Limits;
use crate::metrics::{MetricKind, Metrics};
use rasn::types::{Integer, ObjectIdentifier};
use rasn_smi::v1::{Gauge, TimeTicks};
use rasn_smi::v2::{ApplicationSyntax, Counter64, ObjectSyntax, SimpleSyntax};
use rasn_snmp::v2::{
    BulkPdu, GetBulkRequest, GetNextRequest, GetRequest, Pdu, Pdus, Response, SetRequest, VarBind,
    VarBindValue,
};
use rasn_snmp::v2c::Message;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// The project's objects, in an arc for those who hold no number of their own.
pub(crate) const ROOT: [u32; 10] = [1, 3, 6, 1, 4, 1, 8072, 9999, 9999, 62];
/// And among them the table of classes.
const CLASSES: u32 = 100;
const SYSTEM: [u32; 7] = [1, 3, 6, 1, 2, 1, 1];

/// The agent and what it answers from.
pub(crate) struct Agent {
    community: String,
    name: String,
    metrics: Arc<Metrics>,
    limits: Arc<Limits>,
    start: Instant,
}

impl Agent {
    pub(crate) fn new(
        community: String,
        name: String,
        metrics: Arc<Metrics>,
        limits: Arc<Limits>,
    ) -> Agent {
        Agent {
            community,
            name,
            metrics,
            limits,
            start: Instant::now(),
        }
    }

    /// Answers until the program ends.
    pub(crate) async fn listen(self, socket: UdpSocket) {
        let mut buffer = vec![0; self.limits.snmp_bytes];
        loop {
            // An error here is a peer's ICMP message about an earlier answer.
            let Ok((len, from)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            match self.answer(&buffer[..len]) {
                Some(answer) => {
                    self.metrics.snmp_answered.increment();
                    let _ = socket.send_to(&answer, from).await;
                }
                None => self.metrics.snmp_dropped.increment(),
            }
        }
    }

    /// The answer to one message; none to what cannot be read, or has another version or community, as the
    /// standard wants it.
    pub(crate) fn answer(&self, bytes: &[u8]) -> Option<Vec<u8>> {
        let message: Message<Pdus> = rasn::ber::decode(bytes).ok()?;
        let known = message.community.as_ref() == self.community.as_bytes();
        if message.version != Integer::from(Message::<Pdus>::VERSION) || !known {
            return None;
        }
        let view = self.view();
        let response = match message.data {
            Pdus::GetRequest(GetRequest(pdu)) => {
                let bindings = pdu
                    .variable_bindings
                    .into_iter()
                    .map(|b| get(&view, b.name))
                    .collect();
                good(pdu.request_id, bindings)
            }
            Pdus::GetNextRequest(GetNextRequest(pdu)) => {
                let bindings = pdu
                    .variable_bindings
                    .iter()
                    .map(|b| next(&view, &b.name))
                    .collect();
                good(pdu.request_id, bindings)
            }
            Pdus::GetBulkRequest(GetBulkRequest(bulk)) => {
                good(bulk.request_id, self.bulk(&view, &bulk))
            }
            Pdus::SetRequest(SetRequest(pdu)) => Pdu {
                error_status: Pdu::ERROR_STATUS_NOT_WRITABLE,
                error_index: u32::from(!pdu.variable_bindings.is_empty()),
                ..pdu
            },
            _ => return None,
        };
        let request_id = response.request_id;
        let encode = |data: Pdu| {
            let (version, community) = (message.version.clone(), message.community.clone());
            rasn::ber::encode(&Message {
                version,
                community,
                data: Response(data),
            })
            .ok()
        };
        let whole = encode(response)?;
        if whole.len() <= self.limits.snmp_bytes {
            return Some(whole);
        }
        encode(Pdu {
            request_id,
            error_status: Pdu::ERROR_STATUS_TOO_BIG,
            error_index: 0,
            variable_bindings: Vec::new(),
        })
    }

    /// Everything there is to read, in order.
    fn view(&self) -> BTreeMap<ObjectIdentifier, ObjectSyntax> {
        let text =
            |t: &str| ObjectSyntax::Simple(SimpleSyntax::String(t.as_bytes().to_vec().into()));
        let wide = ObjectSyntax::ApplicationWide;
        let ticks = (self.start.elapsed().as_millis() / 10) as u32;
        let mut view = BTreeMap::new();
        let mut put = |base: &[u32], object: u32, value| {
            let arcs: Vec<u32> = base.iter().copied().chain([object, 0]).collect();
            view.insert(ObjectIdentifier::new_unchecked(arcs.into()), value);
        };
        put(
            &SYSTEM,
            1,
            text(concat!(
                "magpiechute ",
                env!("CARGO_PKG_VERSION"),
                ", a workload manager"
            )),
        );
        let root = ObjectIdentifier::new_unchecked(ROOT.to_vec().into());
        put(
            &SYSTEM,
            2,
            ObjectSyntax::Simple(SimpleSyntax::ObjectId(root)),
        );
        put(&SYSTEM, 3, wide(ApplicationSyntax::Ticks(TimeTicks(ticks))));
        put(&SYSTEM, 5, text(&self.name));
        for (object, metric) in (1..).zip(self.metrics.all()) {
            let value = match metric.kind {
                MetricKind::Gauge => ApplicationSyntax::Unsigned(Gauge(
                    u32::try_from(metric.value).unwrap_or(u32::MAX),
                )),
                MetricKind::Counter => ApplicationSyntax::BigCounter(Counter64(metric.value)),
            };
            put(&ROOT, object, wide(value));
        }
        let mut cell = |column: u32, row: u32, value| {
            let arcs: Vec<u32> = ROOT
                .iter()
                .copied()
                .chain([CLASSES, 1, column, row])
                .collect();
            view.insert(ObjectIdentifier::new_unchecked(arcs.into()), value);
        };
        for (row, figures) in (1..).zip(self.metrics.classes()) {
            cell(2, row, text(&figures.class));
            for (column, (_, value)) in (3..).zip(figures.named_counts()) {
                cell(
                    column,
                    row,
                    wide(ApplicationSyntax::BigCounter(Counter64(value))),
                );
            }
        }
        view
    }

    fn bulk(
        &self,
        view: &BTreeMap<ObjectIdentifier, ObjectSyntax>,
        bulk: &BulkPdu,
    ) -> Vec<VarBind> {
        let (single, repeated) = bulk
            .variable_bindings
            .split_at((bulk.non_repeaters as usize).min(bulk.variable_bindings.len()));
        let mut found: Vec<VarBind> = single.iter().map(|b| next(view, &b.name)).collect();
        let mut row: Vec<ObjectIdentifier> = repeated.iter().map(|b| b.name.clone()).collect();
        for _ in 0..bulk.max_repetitions {
            // The answer stays within one message, and ends where all columns have.
            if row.is_empty() || found.len() + row.len() > self.limits.snmp_variables {
                break;
            }
            let line: Vec<VarBind> = row.iter().map(|name| next(view, name)).collect();
            row = line.iter().map(|b| b.name.clone()).collect();
            let over = line.iter().all(|b| b.value == VarBindValue::EndOfMibView);
            found.extend(line);
            if over {
                break;
            }
        }
        found
    }
}

fn good(request_id: i32, variable_bindings: Vec<VarBind>) -> Pdu {
    Pdu {
        request_id,
        error_status: Pdu::ERROR_STATUS_NO_ERROR,
        error_index: 0,
        variable_bindings,
    }
}

fn get(view: &BTreeMap<ObjectIdentifier, ObjectSyntax>, name: ObjectIdentifier) -> VarBind {
    let value = match view.get(&name) {
        Some(value) => VarBindValue::Value(value.clone()),
        // An object that is there, asked for under another instance than its only one.
        None if view.keys().any(|k| name.starts_with(&k[..k.len() - 1])) => {
            VarBindValue::NoSuchInstance
        }
        None => VarBindValue::NoSuchObject,
    };
    VarBind { name, value }
}

fn next(view: &BTreeMap<ObjectIdentifier, ObjectSyntax>, after: &ObjectIdentifier) -> VarBind {
    let beyond = (std::ops::Bound::Excluded(after), std::ops::Bound::Unbounded);
    match view.range::<ObjectIdentifier, _>(beyond).next() {
        Some((name, value)) => VarBind {
            name: name.clone(),
            value: VarBindValue::Value(value.clone()),
        },
        None => VarBind {
            name: after.clone(),
            value: VarBindValue::EndOfMibView,
        },
    }
}

#[cfg(test)]
mod tests;
