//! The endpoint list in the core: updates are passed to the engines' actors, the metrics and the
//! dispatcher. The roster decides whether the dispatcher is notified of all engines or of a subset.
//! A change of the settings may change the subset too.

use super::roster::SubsetChange;
use super::{Core, EnginePort, Event, Membership, Millis, Settings};
use crate::decision::ListUpdateKind;
use crate::node_config::{EndpointListEvent, format_engine_id};

impl<E: EnginePort> Core<E> {
    /// Applies an event of the endpoint list.
    pub(super) fn update_endpoint_list(&mut self, now: Millis, event: EndpointListEvent) {
        log_list_event(&event);
        let update = self.roster.apply(&event);
        update
            .removed
            .iter()
            .for_each(|id| self.engines.engine_removed(*id));
        for record in &update.records {
            // An actor stops sending to a draining or removed engine even while the engine is still
            // ready in the dispatcher's list.
            self.engines.engine_listed(record);
            if self
                .dispatcher
                .manual_ejections()
                .contains(&record.entry.engine)
            {
                // A record with a new address creates a new actor, which must be notified of the
                // ejection.
                self.engines.set_manually_ejected(record.entry.engine, true);
            }
        }
        let metrics = &self.metrics;
        let sizes = self.roster.sizes();
        metrics.engines.set(sizes.engines);
        metrics.engines_waiting.set(sizes.waiting);
        metrics.engines_without_slot.add(update.without_slot.len());
        metrics.list_unknown_removals.add(update.unknown_removals);
        metrics.list_duplicate_records.add(update.duplicate_records);
        metrics.list_address_conflicts.add(update.address_conflicts);
        metrics
            .list_unusable_records
            .add(event.unusable_engines.len());
        metrics
            .list_large_removals
            .add(usize::from(update.large_removal));
        if let [first, rest @ ..] = &update.without_slot[..] {
            tracing::info!(
                engine = format_engine_id(*first),
                state = "without_slot",
                more = rest.len(),
                slots = self.limits.engines,
                "endpoint list has engines without a slot; they are not used until a slot is free"
            );
        }
        if let [first, rest @ ..] = &event.unusable_engines[..] {
            tracing::info!(
                engine = format_engine_id(*first),
                state = "unusable",
                more = rest.len(),
                "endpoint list has records with an unknown state, zone or machine type; they are ignored"
            );
        }
        self.apply_subset_change(now, update.subset_change);
    }

    /// Applies new settings, then the subset change that they cause.
    pub(super) fn apply_settings(&mut self, now: Millis, settings: Box<Settings>) {
        let membership = Membership::from(&*settings);
        self.notify_dispatcher(now, Event::Settings(settings));
        if let Some(change) = self.roster.set_membership(membership) {
            self.metrics.subset_membership_changes.increment();
            self.check_membership(membership);
            self.apply_subset_change(now, change);
        }
    }

    /// Publishes this manager's ordinal as a metric, and reports an ordinal that is not below the
    /// number of managers.
    pub(super) fn check_membership(&self, membership: Membership) {
        let Membership { instances, ordinal } = membership;
        self.metrics.ordinal.set(ordinal as usize);
        if membership.is_out_of_range() {
            self.metrics.subset_ordinal_out_of_range.increment();
            tracing::info!(
                ordinal,
                state = "out_of_range",
                instances,
                "ordinal is not below nInstances; it is used nevertheless"
            );
        }
    }

    /// Notifies the dispatcher of a change of its engines and publishes their number.
    fn apply_subset_change(&mut self, now: Millis, change: SubsetChange) {
        let metrics = &self.metrics;
        let sizes = self.roster.subset_sizes();
        let all_managers = f64::from(self.dispatcher.settings().instances);
        metrics.subset_size.set(sizes.engines);
        metrics.subset_zones.set(sizes.ready_zones);
        metrics.subset_managers_per_engine.set(
            self.roster
                .managers_per_engine()
                .unwrap_or(all_managers)
                .round() as usize,
        );
        metrics.subset_engines_added.add(change.engines_added);
        metrics.subset_engines_removed.add(change.engines_removed);
        metrics
            .subset_all_unavailable
            .add(usize::from(change.all_unavailable));
        self.notify_dispatcher(
            now,
            Event::EndpointList {
                kind: change.kind,
                entries: change.entries,
            },
        );
    }
}

/// Logs an event. The records of a full list are not logged, only their number, as there may be
/// thousands of them.
fn log_list_event(event: &EndpointListEvent) {
    let (number, kind) = (event.number, event.kind);
    tracing::debug!(
        number,
        ?kind,
        records = event.records.len(),
        "endpoint list event received"
    );
    if kind != ListUpdateKind::Delta {
        return;
    }
    for record in &event.records {
        let entry = &record.entry;
        tracing::debug!(
            engine = %format_engine_id(entry.engine),
            state = ?entry.state,
            started_at_ms = entry.started_at_ms,
            "engine listed"
        );
    }
}
