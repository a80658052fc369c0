//! Tests of the roster alone: lists that are large, odd or ahead of the engines.

use super::super::tests::listed;
use super::*;
use crate::config::engine_id;

const PLACES: usize = 2048;

fn event(kind: ListKind, entries: Vec<Listed>) -> ListEvent {
    ListEvent { number: 1, kind, entries, unusable: Vec::new() }
}

/// Engines of these ids, each at an address of its own.
fn lines(ids: impl Iterator<Item = u32>, state: ListState) -> Vec<Listed> {
    ids.map(|id| at(id, state, 1000 + id as u16, 0.0)).collect()
}

fn at(id: u32, state: ListState, port: u16, started_ms: f64) -> Listed {
    let mut line = listed(id, state);
    line.address.set_port(port);
    line.entry.started_ms = started_ms;
    line
}

fn ready(roster: &Roster, ids: impl Iterator<Item = u32>) -> usize {
    ids.filter(|id| roster.ready(engine_id(*id))).count()
}

/// A thousand engines at the start, six in ten replaced at once several times over, the old ones draining a while:
/// every newcomer is taken up, and nothing of those that left is kept.
#[test]
fn a_large_list_and_its_releases() {
    let mut roster = Roster::new(PLACES);
    let step = roster.take(&event(ListKind::Full, lines(0..1024, ListState::Ready)));
    assert_eq!((step.lines.len(), step.passed.len(), roster.sizes()), (1024, 0, (1024, 0)));
    for round in 0..20 {
        let (old, new) = (round * 614..(round + 1) * 614, (round + 1) * 614 + 410..(round + 2) * 614 + 410);
        let mut changes = lines(old.clone(), ListState::Draining);
        changes.extend(lines(new.clone(), ListState::Ready));
        let step = roster.take(&event(ListKind::Delta, changes));
        assert!(step.passed.is_empty() && ready(&roster, old.clone()) == 0);
        assert_eq!((ready(&roster, new), roster.sizes().0), (614, 1638));
        roster.take(&event(ListKind::Delta, lines(old, ListState::Gone)));
        assert_eq!((roster.sizes(), roster.entries()), ((1024, 0), 2048));
    }
}

/// What finds no place is told of once, waits, and is taken up once there is one, who takes work first; what goes
/// meanwhile is forgotten. Past as many again it is known with the next whole list.
#[test]
fn past_the_bound() {
    let mut roster = Roster::new(4);
    let step = roster.take(&event(ListKind::Full, lines(1..7, ListState::Ready)));
    assert_eq!((step.lines.len(), step.passed), (4, vec![engine_id(5), engine_id(6)]));
    assert!(!roster.ready(engine_id(5)) && roster.named(engine_id(5)));
    let step = roster.take(&event(ListKind::Delta, lines(5..6, ListState::Draining)));
    assert_eq!((step.lines.len(), step.passed.len(), roster.sizes()), (0, 0, (4, 2)));
    let step = roster.take(&event(ListKind::Delta, lines(1..2, ListState::Gone)));
    assert_eq!(step.lines.len(), 2, "the end, and who takes the place");
    assert!(roster.ready(engine_id(6)) && roster.sizes() == (4, 1));
    let step = roster.take(&event(ListKind::Delta, lines(5..6, ListState::Gone)));
    assert_eq!((step.lines.len(), step.unknown, roster.sizes()), (0, 0, (4, 0)));
    // A list of ten with the same four in it: four wait, and two are beyond.
    let step = roster.take(&event(ListKind::Full, lines(2..12, ListState::Ready)));
    assert_eq!((step.passed.len(), roster.sizes()), (6, (4, 4)));
    let step = roster.take(&event(ListKind::Full, lines(8..12, ListState::Ready)));
    assert_eq!((step.dropped.len(), ready(&roster, 8..12), roster.sizes()), (4, 4, (4, 0)));
    assert_eq!(roster.entries(), 8);
}

/// Records that make little sense each have one meaning, and are counted.
#[test]
fn odd_records() {
    let mut roster = Roster::new(8);
    roster.take(&event(ListKind::Full, lines(1..4, ListState::Ready)));
    // The end of an engine that nobody knows is passed on to nobody.
    let step = roster.take(&event(ListKind::Delta, lines(9..10, ListState::Gone)));
    assert_eq!((step.lines.len(), step.unknown), (0, 1));
    // Twice in one event: the last one holds, also where that is its end.
    let twice = [ListState::Ready, ListState::Draining].map(|s| lines(1..2, s)).concat();
    let step = roster.take(&event(ListKind::Delta, twice));
    assert_eq!((step.lines.len(), step.repeated, roster.ready(engine_id(1))), (1, 1, false));
    let twice = [ListState::Ready, ListState::Gone].map(|s| lines(2..3, s)).concat();
    assert_eq!(roster.take(&event(ListKind::Delta, twice)).repeated, 1);
    assert!(!roster.named(engine_id(2)));
    // Told as it is: nothing changes. Back after its end: as any other.
    let step = roster.take(&event(ListKind::Delta, lines(3..4, ListState::Ready)));
    assert_eq!((step.lines.len(), step.repeated, step.unknown, step.shared), (1, 0, 0, 0));
    let step = roster.take(&event(ListKind::Delta, lines(2..3, ListState::Ready)));
    assert!(step.lines.len() == 1 && roster.ready(engine_id(2)) && roster.entries() == 5);
}

/// Guard: a newcomer at the address of an engine that is not gone is the one that is reached there.
#[test]
fn one_address_is_one_engine() {
    let mut roster = Roster::new(8);
    roster
        .take(&event(ListKind::Full, vec![at(1, ListState::Ready, 1, 0.0), at(2, ListState::Ready, 2, 0.0)]));
    roster.take(&event(ListKind::Delta, vec![at(1, ListState::Draining, 1, 0.0)]));
    let step = roster.take(&event(ListKind::Delta, vec![at(3, ListState::Ready, 1, 50.0)]));
    assert_eq!((step.lines.len(), roster.ready(engine_id(3))), (1, true));
    let step = roster.take(&event(ListKind::Delta, vec![at(4, ListState::Ready, 2, 60.0)]));
    let told: Vec<_> = step.lines.iter().map(|l| (l.entry.engine, l.entry.state)).collect();
    let want = [(engine_id(2), ListState::Draining), (engine_id(4), ListState::Ready)];
    assert_eq!((step.shared, &told[..]), (1, &want[..]));
    // A whole list that still names the earlier one, in whatever order, brings it no work.
    let both = || [at(4, ListState::Ready, 2, 60.0), at(2, ListState::Ready, 2, 0.0)];
    for order in [both().to_vec(), both().into_iter().rev().collect()] {
        roster.take(&event(ListKind::Full, order));
        assert!(roster.ready(engine_id(4)) && !roster.ready(engine_id(2)));
    }
    // It moved: at an address of its own it takes work again.
    roster.take(&event(ListKind::Delta, vec![at(2, ListState::Ready, 7, 0.0)]));
    assert!(roster.ready(engine_id(2)) && roster.ready(engine_id(4)));
    roster.take(&event(ListKind::Full, Vec::new()));
    assert_eq!(roster.entries(), 0);
}

/// Guard: a record that cannot be used leaves its engine as it was, also in a whole list; one that leaves out most is
/// done as it says, and counted.
#[test]
fn records_that_cannot_be_used_and_lists_that_leave_out_most() {
    let mut roster = Roster::new(8);
    roster.take(&event(ListKind::Full, lines(1..6, ListState::Ready)));
    let unusable = vec![engine_id(2), engine_id(7)];
    let whole = ListEvent { unusable, ..event(ListKind::Full, lines(1..2, ListState::Ready)) };
    let step = roster.take(&whole);
    assert_eq!((step.dropped.len(), step.cut, step.lines.len()), (3, true, 2));
    assert!(roster.ready(engine_id(2)) && !roster.named(engine_id(7)));
    let step = roster.take(&event(ListKind::Full, lines(2..3, ListState::Ready)));
    assert_eq!((step.dropped.len(), step.cut), (1, false), "half of them");
    let step = roster.take(&event(ListKind::Full, Vec::new()));
    assert_eq!((step.cut, roster.sizes()), (true, (0, 0)));
    assert!(!roster.take(&event(ListKind::Full, Vec::new())).cut);
}
