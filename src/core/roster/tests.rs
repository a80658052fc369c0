//! Tests of the roster alone: large and inconsistent endpoint lists, removals that the list reports
//! late, and subsets.

use super::super::tests::list_record;
use super::*;
use crate::node_config::engine_id;

const SLOTS: usize = 2048;

/// A subset with room for every slot, so that the dispatcher is always notified of all engines.
fn unbounded_subset() -> Subset {
    Subset::new(
        SLOTS,
        Membership {
            instances: 1,
            ordinal: 0,
        },
    )
}

fn event(kind: ListUpdateKind, engine_records: Vec<EngineRecord>) -> EndpointListEvent {
    EndpointListEvent {
        number: 1,
        kind,
        records: engine_records,
        unusable_engines: Vec::new(),
    }
}

/// Records of these engines, each at its own address.
fn records(ids: impl Iterator<Item = u32>, state: EngineState) -> Vec<EngineRecord> {
    ids.map(|id| record_at(id, state, 1000 + id as u16, 0.0))
        .collect()
}

fn record_at(id: u32, state: EngineState, port: u16, started_at_ms: f64) -> EngineRecord {
    let mut record = list_record(id, state);
    record.address.set_port(port);
    record.entry.started_at_ms = started_at_ms;
    record
}

fn sizes(engines: usize, waiting: usize) -> RosterSizes {
    RosterSizes { engines, waiting }
}

/// Number of these engines that are ready.
fn ready(roster: &Roster, ids: impl Iterator<Item = u32>) -> usize {
    ids.filter(|id| roster.is_ready(engine_id(*id))).count()
}

/// In each of twenty rounds, 614 of 1,024 engines are replaced at once, and the old ones drain
/// before they are removed. Every new engine gets a slot, and no state of a removed one is kept.
#[test]
fn repeated_large_replacements_give_every_new_engine_a_slot_and_keep_no_removed_one() {
    let mut roster = Roster::new(SLOTS, unbounded_subset());
    let update = roster.apply(&event(
        ListUpdateKind::Full,
        records(0..1024, EngineState::Ready),
    ));
    assert_eq!(
        (
            update.records.len(),
            update.without_slot.len(),
            roster.sizes()
        ),
        (1024, 0, sizes(1024, 0))
    );
    for round in 0..20 {
        let (old, new) = (
            round * 614..(round + 1) * 614,
            (round + 1) * 614 + 410..(round + 2) * 614 + 410,
        );
        let mut changes = records(old.clone(), EngineState::Draining);
        changes.extend(records(new.clone(), EngineState::Ready));
        let update = roster.apply(&event(ListUpdateKind::Delta, changes));
        assert!(update.without_slot.is_empty() && ready(&roster, old.clone()) == 0);
        assert_eq!((ready(&roster, new), roster.sizes().engines), (614, 1638));
        roster.apply(&event(
            ListUpdateKind::Delta,
            records(old, EngineState::Removed),
        ));
        assert_eq!(
            (roster.sizes(), roster.state_size()),
            (sizes(1024, 0), 2048)
        );
    }
}

/// An engine without a slot is reported once, waits and gets the next free slot, ready engines
/// first. A waiting engine that is removed gets no slot. Engines that exceed the waiting list are
/// dropped until the next full list.
#[test]
fn engines_beyond_the_capacity_wait_and_get_the_next_free_slot() {
    let mut roster = Roster::new(4, unbounded_subset());
    let update = roster.apply(&event(
        ListUpdateKind::Full,
        records(1..7, EngineState::Ready),
    ));
    assert_eq!(
        (update.records.len(), update.without_slot),
        (4, vec![engine_id(5), engine_id(6)])
    );
    assert!(!roster.is_ready(engine_id(5)) && roster.is_listed(engine_id(5)));
    let update = roster.apply(&event(
        ListUpdateKind::Delta,
        records(5..6, EngineState::Draining),
    ));
    assert_eq!(
        (
            update.records.len(),
            update.without_slot.len(),
            roster.sizes()
        ),
        (0, 0, sizes(4, 2))
    );
    let update = roster.apply(&event(
        ListUpdateKind::Delta,
        records(1..2, EngineState::Removed),
    ));
    assert_eq!(update.records.len(), 2, "a removal and a listing");
    assert!(roster.is_ready(engine_id(6)) && roster.sizes() == sizes(4, 1));
    let update = roster.apply(&event(
        ListUpdateKind::Delta,
        records(5..6, EngineState::Removed),
    ));
    assert_eq!(
        (
            update.records.len(),
            update.unknown_removals,
            roster.sizes()
        ),
        (0, 0, sizes(4, 0))
    );
    // A full list of ten engines, four of which have the slots: four wait, and two exceed the
    // waiting list.
    let update = roster.apply(&event(
        ListUpdateKind::Full,
        records(2..12, EngineState::Ready),
    ));
    assert_eq!(
        (update.without_slot.len(), roster.sizes()),
        (6, sizes(4, 4))
    );
    let update = roster.apply(&event(
        ListUpdateKind::Full,
        records(8..12, EngineState::Ready),
    ));
    assert_eq!(
        (update.removed.len(), ready(&roster, 8..12), roster.sizes()),
        (4, 4, sizes(4, 0))
    );
    assert_eq!(roster.state_size(), 8);
}

/// Removals of unknown engines and several records of one engine in one event have a defined result
/// and are counted.
#[test]
fn unknown_removals_and_duplicate_records_are_counted_and_the_last_record_applies() {
    let mut roster = Roster::new(8, unbounded_subset());
    roster.apply(&event(
        ListUpdateKind::Full,
        records(1..4, EngineState::Ready),
    ));
    // The removal of an unknown engine is not passed to the engines' actors.
    let update = roster.apply(&event(
        ListUpdateKind::Delta,
        records(9..10, EngineState::Removed),
    ));
    assert_eq!((update.records.len(), update.unknown_removals), (0, 1));
    // Of two records of one engine in one event the last one applies, also if it is a removal.
    let duplicates = [EngineState::Ready, EngineState::Draining]
        .map(|state| records(1..2, state))
        .concat();
    let update = roster.apply(&event(ListUpdateKind::Delta, duplicates));
    assert_eq!(
        (
            update.records.len(),
            update.duplicate_records,
            roster.is_ready(engine_id(1))
        ),
        (1, 1, false)
    );
    let duplicates = [EngineState::Ready, EngineState::Removed]
        .map(|state| records(2..3, state))
        .concat();
    assert_eq!(
        roster
            .apply(&event(ListUpdateKind::Delta, duplicates))
            .duplicate_records,
        1
    );
    assert!(!roster.is_listed(engine_id(2)));
    // A record without changes is not counted as inconsistent. An engine that is listed again after
    // its removal is treated as a new one.
    let update = roster.apply(&event(
        ListUpdateKind::Delta,
        records(3..4, EngineState::Ready),
    ));
    assert_eq!(
        (
            update.records.len(),
            update.duplicate_records,
            update.unknown_removals,
            update.address_conflicts
        ),
        (1, 0, 0, 0)
    );
    let update = roster.apply(&event(
        ListUpdateKind::Delta,
        records(2..3, EngineState::Ready),
    ));
    assert!(update.records.len() == 1 && roster.is_ready(engine_id(2)) && roster.state_size() == 5);
}

/// If a new engine is listed at the address of an engine that is not removed yet, attempts to that
/// address reach the new engine, so only the new one is ready.
#[test]
fn of_two_ready_engines_at_one_address_the_one_started_last_is_ready() {
    let mut roster = Roster::new(8, unbounded_subset());
    roster.apply(&event(
        ListUpdateKind::Full,
        vec![
            record_at(1, EngineState::Ready, 1, 0.0),
            record_at(2, EngineState::Ready, 2, 0.0),
        ],
    ));
    roster.apply(&event(
        ListUpdateKind::Delta,
        vec![record_at(1, EngineState::Draining, 1, 0.0)],
    ));
    let update = roster.apply(&event(
        ListUpdateKind::Delta,
        vec![record_at(3, EngineState::Ready, 1, 50.0)],
    ));
    assert_eq!(
        (update.records.len(), roster.is_ready(engine_id(3))),
        (1, true)
    );
    let update = roster.apply(&event(
        ListUpdateKind::Delta,
        vec![record_at(4, EngineState::Ready, 2, 60.0)],
    ));
    let reported: Vec<_> = update
        .records
        .iter()
        .map(|record| (record.entry.engine, record.entry.state))
        .collect();
    let expected = [
        (engine_id(2), EngineState::Draining),
        (engine_id(4), EngineState::Ready),
    ];
    assert_eq!(
        (update.address_conflicts, &reported[..]),
        (1, &expected[..])
    );
    // A full list that still contains the earlier engine, in either order, does not make it ready.
    let same_address = || {
        [
            record_at(4, EngineState::Ready, 2, 60.0),
            record_at(2, EngineState::Ready, 2, 0.0),
        ]
    };
    for order in [
        same_address().to_vec(),
        same_address().into_iter().rev().collect(),
    ] {
        roster.apply(&event(ListUpdateKind::Full, order));
        assert!(roster.is_ready(engine_id(4)) && !roster.is_ready(engine_id(2)));
    }
    // The earlier engine is ready again once it is listed at an address of its own.
    roster.apply(&event(
        ListUpdateKind::Delta,
        vec![record_at(2, EngineState::Ready, 7, 0.0)],
    ));
    assert!(roster.is_ready(engine_id(2)) && roster.is_ready(engine_id(4)));
    roster.apply(&event(ListUpdateKind::Full, Vec::new()));
    assert_eq!(roster.state_size(), 0);
}

/// An unusable record leaves its engine unchanged, also in a full list. A full list that omits more
/// than half of the engines is applied and counted.
#[test]
fn unusable_records_keep_their_engine_and_large_removals_are_applied_and_counted() {
    let mut roster = Roster::new(8, unbounded_subset());
    roster.apply(&event(
        ListUpdateKind::Full,
        records(1..6, EngineState::Ready),
    ));
    let unusable = vec![engine_id(2), engine_id(7)];
    let full_list = EndpointListEvent {
        unusable_engines: unusable,
        ..event(ListUpdateKind::Full, records(1..2, EngineState::Ready))
    };
    let update = roster.apply(&full_list);
    assert_eq!(
        (
            update.removed.len(),
            update.large_removal,
            update.records.len()
        ),
        (3, true, 2)
    );
    assert!(roster.is_ready(engine_id(2)) && !roster.is_listed(engine_id(7)));
    let update = roster.apply(&event(
        ListUpdateKind::Full,
        records(2..3, EngineState::Ready),
    ));
    assert_eq!(
        (update.removed.len(), update.large_removal),
        (1, false),
        "exactly half of the engines are removed"
    );
    let update = roster.apply(&event(ListUpdateKind::Full, Vec::new()));
    assert_eq!((update.large_removal, roster.sizes()), (true, sizes(0, 0)));
    assert!(
        !roster
            .apply(&event(ListUpdateKind::Full, Vec::new()))
            .large_removal
    );
}

/// The roster of one of a hundred managers, whose dispatcher is notified of about 16 engines.
fn roster_with_small_subset() -> Roster {
    Roster::new(
        SLOTS,
        Subset::new(
            16,
            Membership {
                instances: 100,
                ordinal: 3,
            },
        ),
    )
}

/// The endpoint list that a dispatcher has after the updates that were applied.
#[derive(Default)]
struct DispatcherView(BTreeMap<EngineId, EngineEntry>);

impl DispatcherView {
    fn apply(&mut self, change: &SubsetChange) {
        if change.kind == ListUpdateKind::Full {
            self.0.clear();
        }
        for entry in &change.entries {
            self.0.insert(entry.engine, entry.clone());
        }
        self.0
            .retain(|_, entry| entry.state != EngineState::Removed);
    }

    /// The ready engines of the list.
    fn ready(&self) -> Vec<EngineId> {
        let ready = self
            .0
            .values()
            .filter(|entry| entry.state == EngineState::Ready);
        ready.map(|entry| entry.engine).collect()
    }
}

/// The roster keeps all engines of a long list, and the dispatcher is notified of a subset. An
/// engine that drains is no longer ready, whether it is in the subset or not.
#[test]
fn engines_outside_the_subset_stay_in_the_roster_and_are_not_ready_once_they_drain() {
    let (mut roster, mut view) = (roster_with_small_subset(), DispatcherView::default());
    let update = roster.apply(&event(
        ListUpdateKind::Full,
        records(0..300, EngineState::Ready),
    ));
    view.apply(&update.subset_change);
    let SubsetSizes {
        engines: size,
        ready_zones: zones,
    } = roster.subset_sizes();
    assert!((12..=18).contains(&size) && zones == 1, "{size}");
    assert_eq!(
        (update.records.len(), view.0.len(), ready(&roster, 0..300)),
        (300, size, 300)
    );
    let subset = view.ready();
    let outside_id = (0..300)
        .find(|id| !subset.contains(&engine_id(*id)))
        .expect("an engine outside the subset");
    let update = roster.apply(&event(
        ListUpdateKind::Delta,
        records(outside_id..outside_id + 1, EngineState::Draining),
    ));
    view.apply(&update.subset_change);
    assert_eq!(
        (update.records.len(), roster.is_ready(engine_id(outside_id))),
        (1, false)
    );
    // An engine of the subset drains: one update removes it and adds the next engine on its ring.
    let drained_id = u32::from_be_bytes(subset[0].addr);
    let update = roster.apply(&event(
        ListUpdateKind::Delta,
        records(drained_id..drained_id + 1, EngineState::Draining),
    ));
    view.apply(&update.subset_change);
    assert_eq!(
        (update.records.len(), update.records[0].entry.state),
        (1, EngineState::Draining)
    );
    assert!(
        !view.0.contains_key(&subset[0])
            && !roster.is_ready(subset[0])
            && roster.is_listed(subset[0])
    );
    assert!(view.0.len() >= size - 1 && view.0.values().all(|entry| entry.sharing.is_some()));
}

/// While the list is longer than the subset bound, the dispatcher is notified of a subset, before
/// and after that of all engines.
#[test]
fn a_list_that_crosses_the_subset_bound_switches_between_subset_and_complete_list() {
    let (mut roster, mut view) = (roster_with_small_subset(), DispatcherView::default());
    let update = roster.apply(&event(
        ListUpdateKind::Full,
        records(0..16, EngineState::Ready),
    ));
    view.apply(&update.subset_change);
    assert!(view.0.len() == 16 && view.0.values().all(|entry| entry.sharing.is_none()));
    assert_eq!(
        (roster.subset_sizes().engines, roster.managers_per_engine()),
        (16, None)
    );
    for end in [40, 200] {
        let update = roster.apply(&event(
            ListUpdateKind::Delta,
            records(16..end, EngineState::Ready),
        ));
        view.apply(&update.subset_change);
        assert!((10..=18).contains(&view.0.len()) && roster.subset_sizes().engines == view.0.len());
        assert!(
            view.0.values().all(|entry| entry.sharing.is_some())
                && roster.managers_per_engine().is_some()
        );
    }
    view.apply(
        &roster
            .apply(&event(
                ListUpdateKind::Delta,
                records(12..200, EngineState::Draining),
            ))
            .subset_change,
    );
    assert_eq!(
        (view.ready().len(), view.0.len()),
        (12, 200),
        "few engines are ready: the dispatcher gets all engines"
    );
    view.apply(
        &roster
            .apply(&event(
                ListUpdateKind::Delta,
                records(12..200, EngineState::Removed),
            ))
            .subset_change,
    );
    assert!(view.0.len() == 12 && view.0.values().all(|entry| entry.sharing.is_none()));
}

/// All engines of the subset are removed at once, or a full list is truncated or empty. The subset
/// is filled again from the engines that remain.
#[test]
fn removed_or_truncated_subsets_are_refilled_from_the_remaining_engines() {
    let (mut roster, mut view) = (roster_with_small_subset(), DispatcherView::default());
    let full_list = event(ListUpdateKind::Full, records(0..300, EngineState::Ready));
    view.apply(&roster.apply(&full_list).subset_change);
    let subset = view.ready();
    let remaining_ids = || (0..300).filter(|id| !subset.contains(&engine_id(*id)));
    let removals: Vec<EngineRecord> = subset
        .iter()
        .flat_map(|id| {
            let id = u32::from_be_bytes(id.addr);
            records(id..id + 1, EngineState::Removed)
        })
        .collect();
    let update = roster.apply(&event(ListUpdateKind::Delta, removals));
    view.apply(&update.subset_change);
    assert!(
        update.subset_change.all_unavailable
            && update.subset_change.engines_removed == subset.len()
    );
    assert!(
        view.0.len() >= 10 && subset.iter().all(|id| !view.0.contains_key(id)),
        "{}",
        view.0.len()
    );
    let update = roster.apply(&event(
        ListUpdateKind::Full,
        records(remaining_ids(), EngineState::Ready),
    ));
    assert!(
        !update.subset_change.all_unavailable && update.subset_change.entries.is_empty(),
        "the same list again changes nothing"
    );
    let truncated_ids: Vec<u32> = remaining_ids().step_by(3).collect();
    let update = roster.apply(&event(
        ListUpdateKind::Full,
        records(truncated_ids.iter().copied(), EngineState::Ready),
    ));
    view.apply(&update.subset_change);
    assert!(
        update.large_removal
            && view
                .ready()
                .iter()
                .all(|id| truncated_ids.contains(&u32::from_be_bytes(id.addr)))
    );
    let update = roster.apply(&event(ListUpdateKind::Full, Vec::new()));
    view.apply(&update.subset_change);
    assert!(
        update.large_removal
            && update.subset_change.all_unavailable
            && view.0.is_empty()
            && roster.subset_sizes()
                == SubsetSizes {
                    engines: 0,
                    ready_zones: 0,
                }
    );
    view.apply(&roster.apply(&full_list).subset_change);
    assert_eq!(view.ready(), subset, "the list gives the same subset");
}

/// A changed membership gives one update with the difference between the subsets, an unchanged one
/// gives none.
#[test]
fn only_a_changed_membership_changes_the_subset() {
    let (mut roster, mut view) = (roster_with_small_subset(), DispatcherView::default());
    view.apply(
        &roster
            .apply(&event(
                ListUpdateKind::Full,
                records(0..300, EngineState::Ready),
            ))
            .subset_change,
    );
    let before = view.ready();
    assert!(
        roster
            .set_membership(Membership {
                instances: 100,
                ordinal: 3
            })
            .is_none()
    );
    let change = roster
        .set_membership(Membership {
            instances: 100,
            ordinal: 50,
        })
        .expect("another ordinal");
    view.apply(&change);
    assert!(change.engines_added > 0 && change.engines_removed > 0 && view.ready() != before);
    let change = roster
        .set_membership(Membership {
            instances: 60,
            ordinal: 3,
        })
        .expect("fewer managers");
    view.apply(&change);
    assert!(
        view.0.len() >= 18,
        "fewer managers have larger subsets: {}",
        view.0.len()
    );
    let change = roster
        .set_membership(Membership {
            instances: 3,
            ordinal: 3,
        })
        .expect("few managers");
    view.apply(&change);
    assert!(view.0.len() == 300 && view.0.values().all(|entry| entry.sharing.is_none()));
}

/// The slow start of an engine outside the subset begins when its manual ejection ends. The engine
/// joins the subset later with that start time.
#[test]
fn an_engine_returned_to_service_outside_the_subset_joins_it_in_slow_start() {
    let mut roster = roster_with_small_subset();
    let update = roster.apply(&event(
        ListUpdateKind::Full,
        records(0..300, EngineState::Ready),
    ));
    let (mut view, subset_entries) = (
        DispatcherView::default(),
        update.subset_change.entries.clone(),
    );
    view.apply(&update.subset_change);
    for id in 0..300 {
        roster.reset_slow_start(engine_id(id), 5000.0);
    }
    let removals = subset_entries.iter().map(|entry| {
        record_at(
            u32::from_be_bytes(entry.engine.addr),
            EngineState::Removed,
            1,
            0.0,
        )
    });
    view.apply(
        &roster
            .apply(&event(ListUpdateKind::Delta, removals.collect()))
            .subset_change,
    );
    assert!(!view.0.is_empty() && view.0.values().all(|entry| entry.started_at_ms == 5000.0));
    assert!(
        subset_entries
            .iter()
            .all(|entry| entry.started_at_ms == 0.0)
    );
}
