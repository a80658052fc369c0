//! Tests of the roster alone: lists that are large, odd or ahead of the engines.

use super::super::tests::listed;
use super::*;
use crate::node_config::engine_id;

const PLACES: usize = 2048;

/// No list is so long that the module hears of a subset.
fn whole() -> Subset {
    Subset::new(
        PLACES,
        Membership {
            instances: 1,
            ordinal: 0,
        },
    )
}

fn event(kind: ListUpdateKind, entries: Vec<EngineRecord>) -> EndpointListEvent {
    EndpointListEvent {
        number: 1,
        kind,
        records: entries,
        unusable_engines: Vec::new(),
    }
}

/// Engines of these ids, each at an address of its own.
fn lines(ids: impl Iterator<Item = u32>, state: EngineState) -> Vec<EngineRecord> {
    ids.map(|id| at(id, state, 1000 + id as u16, 0.0)).collect()
}

fn at(id: u32, state: EngineState, port: u16, started_ms: f64) -> EngineRecord {
    let mut line = listed(id, state);
    line.address.set_port(port);
    line.entry.started_at_ms = started_ms;
    line
}

fn sizes(engines: usize, waiting: usize) -> RosterSizes {
    RosterSizes { engines, waiting }
}

fn ready(roster: &Roster, ids: impl Iterator<Item = u32>) -> usize {
    ids.filter(|id| roster.is_ready(engine_id(*id))).count()
}

/// A thousand engines at the start, six in ten replaced at once several times over, the old ones draining a while:
/// every newcomer is taken up, and nothing of those that left is kept.
#[test]
fn a_large_list_and_its_releases() {
    let mut roster = Roster::new(PLACES, whole());
    let step = roster.apply(&event(
        ListUpdateKind::Full,
        lines(0..1024, EngineState::Ready),
    ));
    assert_eq!(
        (step.records.len(), step.without_slot.len(), roster.sizes()),
        (1024, 0, sizes(1024, 0))
    );
    for round in 0..20 {
        let (old, new) = (
            round * 614..(round + 1) * 614,
            (round + 1) * 614 + 410..(round + 2) * 614 + 410,
        );
        let mut changes = lines(old.clone(), EngineState::Draining);
        changes.extend(lines(new.clone(), EngineState::Ready));
        let step = roster.apply(&event(ListUpdateKind::Delta, changes));
        assert!(step.without_slot.is_empty() && ready(&roster, old.clone()) == 0);
        assert_eq!((ready(&roster, new), roster.sizes().engines), (614, 1638));
        roster.apply(&event(
            ListUpdateKind::Delta,
            lines(old, EngineState::Removed),
        ));
        assert_eq!(
            (roster.sizes(), roster.state_size()),
            (sizes(1024, 0), 2048)
        );
    }
}

/// What finds no place is told of once, waits, and is taken up once there is one, who takes work first; what goes
/// meanwhile is forgotten. Past as many again it is known with the next whole list.
#[test]
fn past_the_bound() {
    let mut roster = Roster::new(4, whole());
    let step = roster.apply(&event(
        ListUpdateKind::Full,
        lines(1..7, EngineState::Ready),
    ));
    assert_eq!(
        (step.records.len(), step.without_slot),
        (4, vec![engine_id(5), engine_id(6)])
    );
    assert!(!roster.is_ready(engine_id(5)) && roster.is_listed(engine_id(5)));
    let step = roster.apply(&event(
        ListUpdateKind::Delta,
        lines(5..6, EngineState::Draining),
    ));
    assert_eq!(
        (step.records.len(), step.without_slot.len(), roster.sizes()),
        (0, 0, sizes(4, 2))
    );
    let step = roster.apply(&event(
        ListUpdateKind::Delta,
        lines(1..2, EngineState::Removed),
    ));
    assert_eq!(step.records.len(), 2, "the end, and who takes the place");
    assert!(roster.is_ready(engine_id(6)) && roster.sizes() == sizes(4, 1));
    let step = roster.apply(&event(
        ListUpdateKind::Delta,
        lines(5..6, EngineState::Removed),
    ));
    assert_eq!(
        (step.records.len(), step.unknown_removals, roster.sizes()),
        (0, 0, sizes(4, 0))
    );
    // A list of ten with the same four in it: four wait, and two are beyond.
    let step = roster.apply(&event(
        ListUpdateKind::Full,
        lines(2..12, EngineState::Ready),
    ));
    assert_eq!((step.without_slot.len(), roster.sizes()), (6, sizes(4, 4)));
    let step = roster.apply(&event(
        ListUpdateKind::Full,
        lines(8..12, EngineState::Ready),
    ));
    assert_eq!(
        (step.removed.len(), ready(&roster, 8..12), roster.sizes()),
        (4, 4, sizes(4, 0))
    );
    assert_eq!(roster.state_size(), 8);
}

/// Records that make little sense each have one meaning, and are counted.
#[test]
fn odd_records() {
    let mut roster = Roster::new(8, whole());
    roster.apply(&event(
        ListUpdateKind::Full,
        lines(1..4, EngineState::Ready),
    ));
    // The end of an engine that nobody knows is passed on to nobody.
    let step = roster.apply(&event(
        ListUpdateKind::Delta,
        lines(9..10, EngineState::Removed),
    ));
    assert_eq!((step.records.len(), step.unknown_removals), (0, 1));
    // Twice in one event: the last one holds, also where that is its end.
    let twice = [EngineState::Ready, EngineState::Draining]
        .map(|s| lines(1..2, s))
        .concat();
    let step = roster.apply(&event(ListUpdateKind::Delta, twice));
    assert_eq!(
        (
            step.records.len(),
            step.duplicate_records,
            roster.is_ready(engine_id(1))
        ),
        (1, 1, false)
    );
    let twice = [EngineState::Ready, EngineState::Removed]
        .map(|s| lines(2..3, s))
        .concat();
    assert_eq!(
        roster
            .apply(&event(ListUpdateKind::Delta, twice))
            .duplicate_records,
        1
    );
    assert!(!roster.is_listed(engine_id(2)));
    // Told as it is: nothing changes. Back after its end: as any other.
    let step = roster.apply(&event(
        ListUpdateKind::Delta,
        lines(3..4, EngineState::Ready),
    ));
    assert_eq!(
        (
            step.records.len(),
            step.duplicate_records,
            step.unknown_removals,
            step.address_conflicts
        ),
        (1, 0, 0, 0)
    );
    let step = roster.apply(&event(
        ListUpdateKind::Delta,
        lines(2..3, EngineState::Ready),
    ));
    assert!(step.records.len() == 1 && roster.is_ready(engine_id(2)) && roster.state_size() == 5);
}

/// Guard: a newcomer at the address of an engine that is not gone is the one that is reached there.
#[test]
fn one_address_is_one_engine() {
    let mut roster = Roster::new(8, whole());
    roster.apply(&event(
        ListUpdateKind::Full,
        vec![
            at(1, EngineState::Ready, 1, 0.0),
            at(2, EngineState::Ready, 2, 0.0),
        ],
    ));
    roster.apply(&event(
        ListUpdateKind::Delta,
        vec![at(1, EngineState::Draining, 1, 0.0)],
    ));
    let step = roster.apply(&event(
        ListUpdateKind::Delta,
        vec![at(3, EngineState::Ready, 1, 50.0)],
    ));
    assert_eq!(
        (step.records.len(), roster.is_ready(engine_id(3))),
        (1, true)
    );
    let step = roster.apply(&event(
        ListUpdateKind::Delta,
        vec![at(4, EngineState::Ready, 2, 60.0)],
    ));
    let told: Vec<_> = step
        .records
        .iter()
        .map(|l| (l.entry.engine, l.entry.state))
        .collect();
    let want = [
        (engine_id(2), EngineState::Draining),
        (engine_id(4), EngineState::Ready),
    ];
    assert_eq!((step.address_conflicts, &told[..]), (1, &want[..]));
    // A whole list that still names the earlier one, in whatever order, brings it no work.
    let both = || {
        [
            at(4, EngineState::Ready, 2, 60.0),
            at(2, EngineState::Ready, 2, 0.0),
        ]
    };
    for order in [both().to_vec(), both().into_iter().rev().collect()] {
        roster.apply(&event(ListUpdateKind::Full, order));
        assert!(roster.is_ready(engine_id(4)) && !roster.is_ready(engine_id(2)));
    }
    // It moved: at an address of its own it takes work again.
    roster.apply(&event(
        ListUpdateKind::Delta,
        vec![at(2, EngineState::Ready, 7, 0.0)],
    ));
    assert!(roster.is_ready(engine_id(2)) && roster.is_ready(engine_id(4)));
    roster.apply(&event(ListUpdateKind::Full, Vec::new()));
    assert_eq!(roster.state_size(), 0);
}

/// Guard: a record that cannot be used leaves its engine as it was, also in a whole list; one that leaves out most is
/// done as it says, and counted.
#[test]
fn records_that_cannot_be_used_and_lists_that_leave_out_most() {
    let mut roster = Roster::new(8, whole());
    roster.apply(&event(
        ListUpdateKind::Full,
        lines(1..6, EngineState::Ready),
    ));
    let unusable = vec![engine_id(2), engine_id(7)];
    let whole = EndpointListEvent {
        unusable_engines: unusable,
        ..event(ListUpdateKind::Full, lines(1..2, EngineState::Ready))
    };
    let step = roster.apply(&whole);
    assert_eq!(
        (step.removed.len(), step.large_removal, step.records.len()),
        (3, true, 2)
    );
    assert!(roster.is_ready(engine_id(2)) && !roster.is_listed(engine_id(7)));
    let step = roster.apply(&event(
        ListUpdateKind::Full,
        lines(2..3, EngineState::Ready),
    ));
    assert_eq!(
        (step.removed.len(), step.large_removal),
        (1, false),
        "half of them"
    );
    let step = roster.apply(&event(ListUpdateKind::Full, Vec::new()));
    assert_eq!((step.large_removal, roster.sizes()), (true, sizes(0, 0)));
    assert!(
        !roster
            .apply(&event(ListUpdateKind::Full, Vec::new()))
            .large_removal
    );
}

/// A roster whose module hears of 16 engines at most, as one of a hundred managers.
fn bounded() -> Roster {
    Roster::new(
        PLACES,
        Subset::new(
            16,
            Membership {
                instances: 100,
                ordinal: 3,
            },
        ),
    )
}

/// What the module knows of the list, by what it was told.
#[derive(Default)]
struct Heard(BTreeMap<EngineId, EngineEntry>);

impl Heard {
    fn take(&mut self, news: &SubsetChange) {
        if news.kind == ListUpdateKind::Full {
            self.0.clear();
        }
        for entry in &news.entries {
            self.0.insert(entry.engine, entry.clone());
        }
        self.0
            .retain(|_, entry| entry.state != EngineState::Removed);
    }

    fn ready(&self) -> Vec<EngineId> {
        let ready = self
            .0
            .values()
            .filter(|entry| entry.state == EngineState::Ready);
        ready.map(|entry| entry.engine).collect()
    }
}

/// Of a long list the module hears a part, and all of it is known: whoever drains or ends takes nothing more, heard of or not.
#[test]
fn every_listed_engine_is_known() {
    let (mut roster, mut heard) = (bounded(), Heard::default());
    let step = roster.apply(&event(
        ListUpdateKind::Full,
        lines(0..300, EngineState::Ready),
    ));
    heard.take(&step.subset_change);
    let SubsetSizes {
        engines: size,
        ready_zones: zones,
    } = roster.subset_sizes();
    assert!((12..=18).contains(&size) && zones == 1, "{size}");
    assert_eq!(
        (step.records.len(), heard.0.len(), ready(&roster, 0..300)),
        (300, size, 300)
    );
    let held = heard.ready();
    let other = (0..300)
        .find(|id| !held.contains(&engine_id(*id)))
        .expect("one that is not held");
    let step = roster.apply(&event(
        ListUpdateKind::Delta,
        lines(other..other + 1, EngineState::Draining),
    ));
    heard.take(&step.subset_change);
    assert_eq!(
        (step.records.len(), roster.is_ready(engine_id(other))),
        (1, false)
    );
    // One that is held drains: the next in order is told with the same event, and it itself as gone.
    let drained = u32::from_be_bytes(held[0].addr);
    let step = roster.apply(&event(
        ListUpdateKind::Delta,
        lines(drained..drained + 1, EngineState::Draining),
    ));
    heard.take(&step.subset_change);
    assert_eq!(
        (step.records.len(), step.records[0].entry.state),
        (1, EngineState::Draining)
    );
    assert!(
        !heard.0.contains_key(&held[0]) && !roster.is_ready(held[0]) && roster.is_listed(held[0])
    );
    assert!(heard.0.len() >= size - 1 && heard.0.values().all(|entry| entry.sharing.is_some()));
}

/// A list that grows past the bound and shrinks below it: the module hears of the subset, and of all again. What it knows is
/// at every moment what the list has.
#[test]
fn lists_that_pass_the_bound() {
    let (mut roster, mut heard) = (bounded(), Heard::default());
    let step = roster.apply(&event(
        ListUpdateKind::Full,
        lines(0..16, EngineState::Ready),
    ));
    heard.take(&step.subset_change);
    assert!(heard.0.len() == 16 && heard.0.values().all(|entry| entry.sharing.is_none()));
    assert_eq!(
        (roster.subset_sizes().engines, roster.managers_per_engine()),
        (16, None)
    );
    for end in [40, 200] {
        let step = roster.apply(&event(
            ListUpdateKind::Delta,
            lines(16..end, EngineState::Ready),
        ));
        heard.take(&step.subset_change);
        assert!(
            (10..=18).contains(&heard.0.len()) && roster.subset_sizes().engines == heard.0.len()
        );
        assert!(
            heard.0.values().all(|entry| entry.sharing.is_some())
                && roster.managers_per_engine().is_some()
        );
    }
    heard.take(
        &roster
            .apply(&event(
                ListUpdateKind::Delta,
                lines(12..200, EngineState::Draining),
            ))
            .subset_change,
    );
    assert_eq!(
        (heard.ready().len(), heard.0.len()),
        (12, 200),
        "a short list of those that take work"
    );
    heard.take(
        &roster
            .apply(&event(
                ListUpdateKind::Delta,
                lines(12..200, EngineState::Removed),
            ))
            .subset_change,
    );
    assert!(heard.0.len() == 12 && heard.0.values().all(|entry| entry.sharing.is_none()));
}

/// A whole list that is cut or empty, and all engines of the subset gone in one event: the module hears of what is left, and of
/// the next in order.
#[test]
fn subsets_of_lists_that_are_cut() {
    let (mut roster, mut heard) = (bounded(), Heard::default());
    let complete = event(ListUpdateKind::Full, lines(0..300, EngineState::Ready));
    heard.take(&roster.apply(&complete).subset_change);
    let held = heard.ready();
    let left = || (0..300).filter(|id| !held.contains(&engine_id(*id)));
    let gone: Vec<EngineRecord> = held
        .iter()
        .flat_map(|id| {
            let id = u32::from_be_bytes(id.addr);
            lines(id..id + 1, EngineState::Removed)
        })
        .collect();
    let step = roster.apply(&event(ListUpdateKind::Delta, gone));
    heard.take(&step.subset_change);
    assert!(step.subset_change.all_unavailable && step.subset_change.engines_removed == held.len());
    assert!(
        heard.0.len() >= 10 && held.iter().all(|id| !heard.0.contains_key(id)),
        "{}",
        heard.0.len()
    );
    let step = roster.apply(&event(
        ListUpdateKind::Full,
        lines(left(), EngineState::Ready),
    ));
    assert!(
        !step.subset_change.all_unavailable && step.subset_change.entries.is_empty(),
        "the same list again"
    );
    let cut: Vec<u32> = left().step_by(3).collect();
    let step = roster.apply(&event(
        ListUpdateKind::Full,
        lines(cut.iter().copied(), EngineState::Ready),
    ));
    heard.take(&step.subset_change);
    assert!(
        step.large_removal
            && heard
                .ready()
                .iter()
                .all(|id| cut.contains(&u32::from_be_bytes(id.addr)))
    );
    let step = roster.apply(&event(ListUpdateKind::Full, Vec::new()));
    heard.take(&step.subset_change);
    assert!(
        step.large_removal
            && step.subset_change.all_unavailable
            && heard.0.is_empty()
            && roster.subset_sizes()
                == SubsetSizes {
                    engines: 0,
                    ready_zones: 0,
                }
    );
    heard.take(&roster.apply(&complete).subset_change);
    assert_eq!(heard.ready(), held, "the same list, the same subset");
}

/// New settings change the subset once: what moved is told, and nothing where they name the same place.
#[test]
fn settings_that_change_the_fleet() {
    let (mut roster, mut heard) = (bounded(), Heard::default());
    heard.take(
        &roster
            .apply(&event(
                ListUpdateKind::Full,
                lines(0..300, EngineState::Ready),
            ))
            .subset_change,
    );
    let before = heard.ready();
    assert!(
        roster
            .set_membership(Membership {
                instances: 100,
                ordinal: 3
            })
            .is_none()
    );
    let news = roster
        .set_membership(Membership {
            instances: 100,
            ordinal: 50,
        })
        .expect("another ordinal");
    heard.take(&news);
    assert!(news.engines_added > 0 && news.engines_removed > 0 && heard.ready() != before);
    let news = roster
        .set_membership(Membership {
            instances: 60,
            ordinal: 3,
        })
        .expect("fewer managers");
    heard.take(&news);
    assert!(
        heard.0.len() >= 18,
        "a larger share each: {}",
        heard.0.len()
    );
    let news = roster
        .set_membership(Membership {
            instances: 3,
            ordinal: 3,
        })
        .expect("few managers");
    heard.take(&news);
    assert!(heard.0.len() == 300 && heard.0.values().all(|entry| entry.sharing.is_none()));
}

/// Guard: an engine that was given back by hand while the module did not hear of it is cold from that call on.
#[test]
fn given_back_while_not_held() {
    let mut roster = bounded();
    let step = roster.apply(&event(
        ListUpdateKind::Full,
        lines(0..300, EngineState::Ready),
    ));
    let (mut heard, held) = (Heard::default(), step.subset_change.entries.clone());
    heard.take(&step.subset_change);
    for id in 0..300 {
        roster.reset_slow_start(engine_id(id), 5000.0);
    }
    let gone = held.iter().map(|entry| {
        at(
            u32::from_be_bytes(entry.engine.addr),
            EngineState::Removed,
            1,
            0.0,
        )
    });
    heard.take(
        &roster
            .apply(&event(ListUpdateKind::Delta, gone.collect()))
            .subset_change,
    );
    assert!(!heard.0.is_empty() && heard.0.values().all(|entry| entry.started_at_ms == 5000.0));
    assert!(held.iter().all(|entry| entry.started_at_ms == 0.0));
}
