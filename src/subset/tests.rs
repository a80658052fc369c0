//! Tests of the subsets alone: balance, zones, churn, shares, and settings and lists that make little sense.

use super::ring::GOLDEN_RATIO_STEP;
use super::*;
use crate::node_config::engine_id;
use proptest::prelude::*;
use std::collections::HashSet;

type EndpointList = Vec<(EngineId, u8)>;

/// So many engines with ids that a seed spreads, in zones of equal size.
fn list(engines: u32, zones: u8, seed: u32) -> EndpointList {
    let id = |n: u32| engine_id(n.wrapping_mul(0x9E37_79B1) ^ seed);
    (0..engines)
        .map(|n| (id(n), (n % u32::from(zones)) as u8))
        .collect()
}

fn subset(max_complete_list: usize, instances: u32, list: &[(EngineId, u8)]) -> Subset {
    let mut subset = Subset::new(
        max_complete_list,
        Membership {
            instances,
            ordinal: 0,
        },
    );
    list.iter()
        .for_each(|(engine, zone)| subset.set_ready_zone(*engine, Some(*zone)));
    subset
}

/// What the managers with these ordinals hold of a list.
fn subsets_of(subset: &Subset, ordinals: impl IntoIterator<Item = u32>) -> Vec<SubsetEngines> {
    let mut own = subset.clone();
    let held = |ordinal| {
        own.set_membership(Membership {
            ordinal,
            ..own.membership
        });
        own.engines().expect("a long list")
    };
    ordinals.into_iter().map(held).collect()
}

fn subsets_of_all(subset: &Subset) -> Vec<SubsetEngines> {
    subsets_of(subset, 0..subset.membership.instances)
}

fn holders_by_engine(
    held: &[SubsetEngines],
    list: &[(EngineId, u8)],
) -> HashMap<EngineId, Vec<EngineSharing>> {
    let mut holders: HashMap<EngineId, Vec<EngineSharing>> =
        list.iter().map(|(e, _)| (*e, Vec::new())).collect();
    for (engine, entry) in held.iter().flatten() {
        holders.get_mut(engine).expect("listed").push(*entry);
    }
    holders
}

/// Places that differ between two states of one manager: of what it gained and lost, the larger number.
fn changed_engine_count(before: &SubsetEngines, after: &SubsetEngines) -> usize {
    let missing_count = |a: &SubsetEngines, b: &SubsetEngines| {
        a.keys().filter(|engine| !b.contains_key(engine)).count()
    };
    missing_count(before, after).max(missing_count(after, before))
}

/// Short lists are taken whole, and so are long ones where managers are few: they have to hold all between them.
#[test]
fn short_lists_and_lists_of_small_fleets_are_used_completely() {
    let size = |engines, instances| {
        let mut one = subset(512, instances, &list(engines, 3, 7));
        (
            one.target_size(),
            one.engines()
                .map_or(engines as usize, |members| members.len()),
        )
    };
    assert_eq!(size(80, 100), (80, 80));
    assert_eq!(size(512, 3700), (512, 512));
    assert_eq!(size(22_000, 4), (22_000, 22_000));
    assert_eq!(size(0, 100), (0, 0));
    let (wanted, held) = size(513, 3700);
    assert!(wanted == 512 && (509..=513).contains(&held), "{held}");
    let (wanted, held) = size(4096, 3700);
    assert!(wanted == 512 && (430..=520).contains(&held), "{held}");
    let (wanted, held) = size(4096, 16);
    assert!(
        wanted == 1024 && (960..=1030).contains(&held),
        "four shares of the list: {held}"
    );
}

/// At a quarter of the fleet's size, with as many holders an engine: their number, and the zones of the subsets.
#[test]
fn managers_of_a_large_fleet_are_balanced_over_engines_and_zones() {
    let list = list(5500, 14, 1);
    let fleet = subset(512, 925, &list);
    let held = subsets_of_all(&fleet);
    let numbers: Vec<usize> = holders_by_engine(&held, &list)
        .values()
        .map(Vec::len)
        .collect();
    let (most, least) = (numbers.iter().max(), numbers.iter().min());
    let mean = numbers.iter().sum::<usize>() as f64 / 5500.0;
    let ratio = *most.expect("engines") as f64 / mean;
    assert!(ratio <= 1.15, "most against mean {ratio:.3}");
    assert!(
        *least.expect("engines") as f64 >= 0.45 * mean,
        "{least:?} of {mean:.1}"
    );
    let zones: HashMap<EngineId, u8> = list.iter().copied().collect();
    for members in &held {
        assert!((430..=520).contains(&members.len()), "{}", members.len());
        for zone in 0..14 {
            let places = members
                .keys()
                .filter(|engine| zones[*engine] == zone)
                .count();
            assert!(
                places <= 44,
                "zone {zone} has {places} of {}, its part is 36.6",
                members.len()
            );
        }
    }
}

/// One engine less moves one place in those that held it; one replaced moves no other manager's; and a manager more or less
/// moves nobody's.
#[test]
fn one_list_change_alters_at_most_two_engines_of_a_subset() {
    let list = list(5500, 14, 2);
    let fleet = subset(512, 925, &list);
    let before = subsets_of_all(&fleet);
    let (mut held, mut gained) = (0, 0);
    for (n, (engine, zone)) in list.iter().enumerate().step_by(2200) {
        let (mut replaced, successor) = (fleet.clone(), engine_id(0xFFFF_0000 + n as u32));
        replaced.set_ready_zone(*engine, None);
        let after_removal = subsets_of_all(&replaced);
        replaced.set_ready_zone(successor, Some(*zone));
        let after = subsets_of_all(&replaced);
        for (ordinal, ((before, after_removal), after)) in
            before.iter().zip(&after_removal).zip(&after).enumerate()
        {
            let held_it = before.contains_key(engine);
            assert!(
                changed_engine_count(before, after_removal) <= 2,
                "{ordinal}"
            );
            let places = usize::from(held_it).max(usize::from(after.contains_key(&successor)));
            assert_eq!(changed_engine_count(before, after), places, "{ordinal}");
            held += usize::from(held_it);
            gained += usize::from(after.contains_key(&successor));
        }
    }
    assert!(
        (120..=380).contains(&held) && (120..=380).contains(&gained),
        "{held} and {gained} in three plays"
    );
    for instances in [924, 926] {
        let mut other = fleet.clone();
        other.set_membership(Membership {
            instances,
            ordinal: 0,
        });
        let all_unchanged = subsets_of_all(&other)
            .iter()
            .zip(&before)
            .all(|(now, before)| changed_engine_count(before, now) == 0);
        assert!(all_unchanged, "{instances}");
    }
}

/// The parts of one engine's budget that managers take whose lists differ: never more than all of it, though one list missing_count
/// six engines in ten. In turn at once are never more than may be while lists differ by a tenth, and twice as many beyond.
#[test]
fn shares_of_an_engine_never_exceed_one_while_lists_differ() {
    const IN_TURN: u32 = 3;
    let list = list(2200, 5, 3);
    for (shared_engines, max_in_turn) in [(2200, 3), (2050, 3), (1980, 3), (1540, 6), (880, 6)] {
        let views = [
            subset(128, 370, &list),
            subset(128, 370, &list[..shared_engines]),
        ]
        .map(|view| subsets_of_all(&view));
        for (engine, _) in list[..shared_engines].iter().step_by(61) {
            let parts = |ordinal: usize| {
                views
                    .iter()
                    .filter_map(move |view| view[ordinal].get(engine))
            };
            let largest = |ordinal| {
                parts(ordinal)
                    .map(|h| 1.0 / f64::from(h.max_managers))
                    .fold(0.0, f64::max)
            };
            let sum: f64 = (0..370).map(largest).sum();
            assert!(sum <= 1.0, "{shared_engines} of 2200: {sum}");
            for turn in 0..64 {
                let is_in_turn = |h: &EngineSharing| (turn + h.rank) % h.max_managers < IN_TURN;
                let in_turn = (0..370)
                    .filter(|ordinal| parts(*ordinal).any(is_in_turn))
                    .count();
                assert!(
                    in_turn <= max_in_turn,
                    "{shared_engines} of 2200: {in_turn}"
                );
            }
        }
    }
}

/// An ordinal at or over the number of managers, and one that two managers have: each is a holder more, and all stay
/// within their parts.
#[test]
fn managers_with_duplicate_or_out_of_range_ordinals_stay_within_their_shares() {
    let list = list(2200, 5, 4);
    let fleet = subset(128, 370, &list);
    let out_of_range = Membership {
        instances: 370,
        ordinal: 370,
    };
    assert!(
        out_of_range.is_out_of_range()
            && !Membership {
                ordinal: 369,
                ..out_of_range
            }
            .is_out_of_range()
    );
    let mut held = subsets_of_all(&fleet);
    held.extend(subsets_of(&fleet, [370, 1 << 20, u32::MAX, 5]));
    assert_eq!(
        held[5], held[373],
        "two managers with one ordinal hold the same"
    );
    for members in &held[370..] {
        assert!((80..=160).contains(&members.len()), "{}", members.len());
    }
    for (engine, holders) in holders_by_engine(&held, &list) {
        let parts: f64 = holders
            .iter()
            .map(|h| 1.0 / f64::from(h.max_managers))
            .sum();
        assert!(parts <= 1.0, "{engine}: {parts}");
        assert!(holders.iter().all(|h| h.rank < h.max_managers));
    }
}

/// All engines of a subset gone in one event: the next in order are held. No engine at all: nothing is.
#[test]
fn next_engines_on_the_ring_replace_a_subset_that_is_removed_at_once() {
    let list = list(2200, 1, 5);
    let mut own = subset(128, 370, &list);
    let before = own.engines().expect("a long list");
    assert!(
        (120..=130).contains(&before.len()),
        "one zone: {}",
        before.len()
    );
    before
        .keys()
        .for_each(|engine| own.set_ready_zone(*engine, None));
    let after = own.engines().expect("a long list");
    assert!(before.keys().all(|engine| !after.contains_key(engine)));
    assert!((100..=140).contains(&after.len()), "{}", after.len());
    // The first of those that follow are the next on the ring.
    let highest_position = before.keys().map(|e| engine_position(*e)).max();
    let next_position = list
        .iter()
        .map(|(e, _)| engine_position(*e))
        .filter(|at| Some(*at) > highest_position)
        .min();
    assert!(
        after
            .keys()
            .any(|engine| Some(engine_position(*engine)) == next_position)
    );
    list.iter()
        .for_each(|(engine, _)| own.set_ready_zone(*engine, None));
    assert_eq!(
        (own.engines(), own.ready_engines(), own.ready_zones()),
        (None, 0, 0)
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Whatever the sizes: no engine is without a manager, the bound on holders holds, and their places differ.
    #[test]
    fn every_engine_has_managers_within_the_bound(
        engines in 130u32..1500, instances in 5u32..120, zones in 1u8..15, seed: u32, max_complete_list in 32usize..128,
    ) {
        let list = list(engines, zones, seed);
        let fleet = subset(max_complete_list, instances, &list);
        prop_assume!(fleet.target_size() < fleet.ready_engines());
        let held = subsets_of_all(&fleet);
        let arc = f64::from(instances) * fleet.arcs().subset_fraction;
        for (engine, holders) in holders_by_engine(&held, &list) {
            let number = holders.len() as f64;
            prop_assert!(number >= 1.0, "{engine} is held by nobody");
            prop_assert!(number <= MAX_ARC_RATIO * arc + MAX_EXCESS_MANAGERS_ON_ARC, "{engine} is held by {number}");
            let places: HashSet<u32> = holders.iter().map(|h| h.rank).collect();
            prop_assert_eq!(places.len(), holders.len());
            prop_assert!(holders.iter().all(|h| h.rank < h.max_managers && number <= f64::from(h.max_managers)));
        }
        // What a manager takes for the mean makes its parts of all that it holds one part of the fleet.
        for members in &held {
            let reported = members.values().next().expect("some").mean_managers;
            let mean = f64::from(instances) * members.len() as f64 / f64::from(engines);
            prop_assert!((reported / mean - 1.0).abs() < 0.03, "{reported} reported, {mean} counted");
        }
    }

    /// The same list gives the same subset, in whatever order and by whatever way it came.
    #[test]
    fn subset_does_not_depend_on_the_order_of_list_changes(
        seed: u32, ordinal in 0u32..50, order in Just((0..600usize).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let list = list(600, 4, seed);
        let mut expected_subset = subset(64, 50, &list[..500]);
        expected_subset.set_membership(Membership { instances: 50, ordinal });
        let mut other = Subset::new(64, Membership { instances: 9, ordinal: 3 });
        for (step, n) in order.iter().enumerate() {
            let (engine, zone) = list[*n];
            other.set_ready_zone(engine, Some(zone ^ 1));
            other.set_ready_zone(engine, Some(zone));
            if step % 50 == 0 {
                other.engines();
            }
        }
        list[500..].iter().for_each(|(engine, _)| other.set_ready_zone(*engine, None));
        other.set_membership(Membership { instances: 50, ordinal });
        prop_assert_eq!(expected_subset.engines(), other.engines());
    }

    /// Managers on an arc, counted one by one.
    #[test]
    fn managers_on_an_arc_equal_a_count_one_by_one(managers in 1u32..3000, end: u32, length: u32) {
        let before = |ordinal: u32| end.wrapping_sub(ordinal.wrapping_mul(GOLDEN_RATIO_STEP));
        let counted = (0..managers).filter(|ordinal| before(*ordinal) < length).count();
        prop_assert_eq!(managers_on_arc(managers, end, length) as usize, counted);
        let expected = f64::from(managers) * f64::from(length) / RING_POSITIONS as f64;
        prop_assert!((counted as f64 - expected).abs() <= MAX_EXCESS_MANAGERS_ON_ARC);
    }
}
