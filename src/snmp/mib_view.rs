//! A snapshot of all objects that the agent serves, ordered by object identifier.

use crate::metrics::{ClassCounts, Metric, MetricKind, Metrics};
use rasn::types::ObjectIdentifier;
use rasn_smi::v1::{Gauge, TimeTicks};
use rasn_smi::v2::{ApplicationSyntax, Counter64, ObjectSyntax, SimpleSyntax};
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// The arc of the project's objects. It lies in an arc for projects without an enterprise number of
/// their own.
const ENTERPRISE: [u32; 10] = [1, 3, 6, 1, 4, 1, 8072, 9999, 9999, 62];

/// The `system` group of SNMPv2-MIB (RFC 3418), and the objects of it that the agent serves.
const SYSTEM_GROUP: [u32; 7] = [1, 3, 6, 1, 2, 1, 1];
const SYS_DESCR: u32 = 1;
const SYS_OBJECT_ID: u32 = 2;
const SYS_UP_TIME: u32 = 3;
const SYS_NAME: u32 = 5;

/// The table of classes below [`ENTERPRISE`], its entry, and its readable columns. The columns of
/// the counts follow the name's column, in the order of [`ClassCounts::named_counts`].
pub(super) const CLASS_TABLE: u32 = 100;
const CLASS_ENTRY: u32 = 1;
const CLASS_NAME_COLUMN: u32 = 2;
const FIRST_CLASS_COUNT_COLUMN: u32 = 3;

/// The instance number of an object that has only one instance.
const SCALAR_INSTANCE: u32 = 0;

/// The value of `sysDescr`.
const SYSTEM_DESCRIPTION: &str = concat!(
    "magpiechute ",
    env!("CARGO_PKG_VERSION"),
    ", a workload manager"
);

/// The unit of `TimeTicks`, in milliseconds.
const TICK_MS: u128 = 10;

/// The values of the `system` group that differ between agents.
pub(super) struct SystemGroup<'a> {
    /// Time since the start of the agent.
    pub(super) up_time: Duration,
    /// The workload manager's name.
    pub(super) name: &'a str,
}

/// The instances of all objects, with their values.
pub(super) struct MibView {
    instances: BTreeMap<ObjectIdentifier, ObjectSyntax>,
}

impl MibView {
    /// Takes a snapshot of all instances.
    pub(super) fn new(system: &SystemGroup<'_>, metrics: &Metrics) -> MibView {
        let mut view = MibView {
            instances: BTreeMap::new(),
        };
        view.insert_system(system);
        for (object, metric) in (1..).zip(metrics.all()) {
            view.insert_scalar(&ENTERPRISE, object, metric_value(metric));
        }
        for (row, class_counts) in (1..).zip(metrics.class_counts()) {
            view.insert_class(row, &class_counts);
        }
        view
    }

    fn insert_system(&mut self, system: &SystemGroup<'_>) {
        let ticks = (system.up_time.as_millis() / TICK_MS) as u32;
        let up_time = ObjectSyntax::ApplicationWide(ApplicationSyntax::Ticks(TimeTicks(ticks)));
        let object_id = SimpleSyntax::ObjectId(identifier(&ENTERPRISE, &[]));
        self.insert_scalar(&SYSTEM_GROUP, SYS_DESCR, octet_string(SYSTEM_DESCRIPTION));
        self.insert_scalar(
            &SYSTEM_GROUP,
            SYS_OBJECT_ID,
            ObjectSyntax::Simple(object_id),
        );
        self.insert_scalar(&SYSTEM_GROUP, SYS_UP_TIME, up_time);
        self.insert_scalar(&SYSTEM_GROUP, SYS_NAME, octet_string(system.name));
    }

    fn insert_class(&mut self, row: u32, class_counts: &ClassCounts) {
        self.insert_class_cell(CLASS_NAME_COLUMN, row, octet_string(&class_counts.class));
        for (column, (_, count)) in (FIRST_CLASS_COUNT_COLUMN..).zip(class_counts.named_counts()) {
            self.insert_class_cell(column, row, counter(count));
        }
    }

    fn insert_scalar(&mut self, group: &[u32], object: u32, value: ObjectSyntax) {
        let instance = identifier(group, &[object, SCALAR_INSTANCE]);
        self.instances.insert(instance, value);
    }

    fn insert_class_cell(&mut self, column: u32, row: u32, value: ObjectSyntax) {
        let instance = identifier(&ENTERPRISE, &[CLASS_TABLE, CLASS_ENTRY, column, row]);
        self.instances.insert(instance, value);
    }

    /// Returns the value of an instance.
    pub(super) fn get(&self, instance: &ObjectIdentifier) -> Option<&ObjectSyntax> {
        self.instances.get(instance)
    }

    /// Returns whether the object of an instance exists, possibly with other instances only.
    pub(super) fn has_object_of_instance(&self, instance: &ObjectIdentifier) -> bool {
        self.instances
            .keys()
            .any(|existing| instance.starts_with(&existing[..existing.len() - 1]))
    }

    /// Returns the first instance after an identifier, with its value.
    pub(super) fn next_after(
        &self,
        identifier: &ObjectIdentifier,
    ) -> Option<(&ObjectIdentifier, &ObjectSyntax)> {
        let range = (Bound::Excluded(identifier), Bound::Unbounded);
        self.instances.range::<ObjectIdentifier, _>(range).next()
    }
}

fn identifier(group: &[u32], sub_identifiers: &[u32]) -> ObjectIdentifier {
    ObjectIdentifier::new_unchecked([group, sub_identifiers].concat().into())
}

fn octet_string(value: &str) -> ObjectSyntax {
    ObjectSyntax::Simple(SimpleSyntax::String(value.as_bytes().to_vec().into()))
}

fn counter(value: u64) -> ObjectSyntax {
    ObjectSyntax::ApplicationWide(ApplicationSyntax::BigCounter(Counter64(value)))
}

/// An SNMP gauge has 32 bits; a larger value is reported as the largest 32-bit value.
fn gauge(value: u64) -> ObjectSyntax {
    let value = u32::try_from(value).unwrap_or(u32::MAX);
    ObjectSyntax::ApplicationWide(ApplicationSyntax::Unsigned(Gauge(value)))
}

fn metric_value(metric: Metric) -> ObjectSyntax {
    match metric.kind {
        MetricKind::Counter => counter(metric.value),
        MetricKind::Gauge => gauge(metric.value),
    }
}
