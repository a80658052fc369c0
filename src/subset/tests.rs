//! Unit tests of subsets: balance over engines and zones, changes of the list, shares of an engine,
//! and invalid settings and unusual lists.

use super::ring::GOLDEN_RATIO_STEP;
use super::*;
use crate::node_config::engine_id;
use proptest::prelude::*;
use std::collections::HashSet;

type ListedEngines = Vec<(EngineId, u8)>;

/// Builds a list of engines with ids that depend on a seed, in zones of equal size.
fn list(engines: u32, zones: u8, seed: u32) -> ListedEngines {
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

/// Returns the subsets of the managers with these ordinals.
fn subsets_of(subset: &Subset, ordinals: impl IntoIterator<Item = u32>) -> Vec<SubsetEngines> {
    let mut manager = subset.clone();
    let engines_of = |ordinal| {
        manager.set_membership(Membership {
            ordinal,
            ..manager.membership
        });
        manager.engines().expect("a long list")
    };
    ordinals.into_iter().map(engines_of).collect()
}

fn subsets_of_all(subset: &Subset) -> Vec<SubsetEngines> {
    subsets_of(subset, 0..subset.membership.instances)
}

/// Returns for each engine of the list how each of its managers shares it.
fn sharing_by_engine(
    subsets: &[SubsetEngines],
    list: &[(EngineId, u8)],
) -> HashMap<EngineId, Vec<EngineSharing>> {
    let mut managers: HashMap<EngineId, Vec<EngineSharing>> =
        list.iter().map(|(e, _)| (*e, Vec::new())).collect();
    for (engine, sharing) in subsets.iter().flatten() {
        managers.get_mut(engine).expect("listed").push(*sharing);
    }
    managers
}

/// Returns the number of engines that one manager gained or lost between two states of its subset,
/// whichever is larger.
fn changed_engine_count(before: &SubsetEngines, after: &SubsetEngines) -> usize {
    let missing_count = |a: &SubsetEngines, b: &SubsetEngines| {
        a.keys().filter(|engine| !b.contains_key(engine)).count()
    };
    missing_count(before, after).max(missing_count(after, before))
}

/// A short list is used completely. So is a long list with few managers, as their subsets together
/// must cover it.
#[test]
fn short_lists_and_lists_of_small_fleets_are_used_completely() {
    let size = |engines, instances| {
        let mut manager = subset(512, instances, &list(engines, 3, 7));
        (
            manager.target_size(),
            manager
                .engines()
                .map_or(engines as usize, |subset_engines| subset_engines.len()),
        )
    };
    assert_eq!(size(80, 100), (80, 80));
    assert_eq!(size(512, 3700), (512, 512));
    assert_eq!(size(22_000, 4), (22_000, 22_000));
    assert_eq!(size(0, 100), (0, 0));
    let (target, actual) = size(513, 3700);
    assert!(target == 512 && (509..=513).contains(&actual), "{actual}");
    let (target, actual) = size(4096, 3700);
    assert!(target == 512 && (430..=520).contains(&actual), "{actual}");
    let (target, actual) = size(4096, 16);
    assert!(
        target == 1024 && (960..=1030).contains(&actual),
        "the subset should have about four shares of the list, not {actual} engines"
    );
}

/// Checks the number of managers of each engine and the engines of each zone in a subset. The fleet
/// is a quarter of the full size, with as many managers per engine.
#[test]
fn managers_of_a_large_fleet_are_balanced_over_engines_and_zones() {
    let list = list(5500, 14, 1);
    let fleet = subset(512, 925, &list);
    let subsets = subsets_of_all(&fleet);
    let manager_counts: Vec<usize> = sharing_by_engine(&subsets, &list)
        .values()
        .map(Vec::len)
        .collect();
    let (most, least) = (manager_counts.iter().max(), manager_counts.iter().min());
    let mean = manager_counts.iter().sum::<usize>() as f64 / 5500.0;
    let ratio = *most.expect("engines") as f64 / mean;
    assert!(
        ratio <= 1.15,
        "the engine with the most managers has {ratio:.3} times the mean"
    );
    assert!(
        *least.expect("engines") as f64 >= 0.45 * mean,
        "the fewest managers of an engine are {least:?}, the mean is {mean:.1}"
    );
    let zones: HashMap<EngineId, u8> = list.iter().copied().collect();
    for engines in &subsets {
        assert!((430..=520).contains(&engines.len()), "{}", engines.len());
        for zone in 0..14 {
            let engines_in_zone = engines
                .keys()
                .filter(|engine| zones[*engine] == zone)
                .count();
            assert!(
                engines_in_zone <= 44,
                "zone {zone} has {engines_in_zone} of the {} engines, its proportional part is 36.6",
                engines.len()
            );
        }
    }
}

/// The removal of one engine changes at most two engines of a subset. A replaced engine changes one
/// engine, and only in the subsets with the old or the new engine. One manager more or less changes
/// no subset.
#[test]
fn one_list_change_alters_at_most_two_engines_of_a_subset() {
    let list = list(5500, 14, 2);
    let fleet = subset(512, 925, &list);
    let before = subsets_of_all(&fleet);
    let (mut dropped, mut added) = (0, 0);
    for (n, (engine, zone)) in list.iter().enumerate().step_by(2200) {
        let (mut replaced, successor) = (fleet.clone(), engine_id(0xFFFF_0000 + n as u32));
        replaced.set_ready_zone(*engine, None);
        let after_removal = subsets_of_all(&replaced);
        replaced.set_ready_zone(successor, Some(*zone));
        let after = subsets_of_all(&replaced);
        for (ordinal, ((before, after_removal), after)) in
            before.iter().zip(&after_removal).zip(&after).enumerate()
        {
            let had_engine = before.contains_key(engine);
            assert!(
                changed_engine_count(before, after_removal) <= 2,
                "{ordinal}"
            );
            let expected_changes =
                usize::from(had_engine).max(usize::from(after.contains_key(&successor)));
            assert_eq!(
                changed_engine_count(before, after),
                expected_changes,
                "{ordinal}"
            );
            dropped += usize::from(had_engine);
            added += usize::from(after.contains_key(&successor));
        }
    }
    assert!(
        (120..=380).contains(&dropped) && (120..=380).contains(&added),
        "{dropped} subsets dropped and {added} added an engine in three replacements"
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

/// The shares of one engine's budget that managers with different lists take never add up to more
/// than the budget, even if one list lacks 60% of the engines. The number of managers whose turn it
/// is stays within its limit while lists differ by up to 10%, and within twice the limit beyond
/// that.
#[test]
fn shares_of_an_engine_never_exceed_one_while_lists_differ() {
    const MANAGERS_PER_TURN: u32 = 3;
    let list = list(2200, 5, 3);
    for (shared_engines, max_in_turn) in [(2200, 3), (2050, 3), (1980, 3), (1540, 6), (880, 6)] {
        let views = [
            subset(128, 370, &list),
            subset(128, 370, &list[..shared_engines]),
        ]
        .map(|view| subsets_of_all(&view));
        for (engine, _) in list[..shared_engines].iter().step_by(61) {
            let sharings = |ordinal: usize| {
                views
                    .iter()
                    .filter_map(move |view| view[ordinal].get(engine))
            };
            let largest_share = |ordinal| {
                sharings(ordinal)
                    .map(|sharing| 1.0 / f64::from(sharing.max_managers))
                    .fold(0.0, f64::max)
            };
            let total_share: f64 = (0..370).map(largest_share).sum();
            assert!(
                total_share <= 1.0,
                "{shared_engines} of 2200 engines in both lists: the shares add up to {total_share}"
            );
            for turn in 0..64 {
                let is_in_turn = |sharing: &EngineSharing| {
                    (turn + sharing.rank) % sharing.max_managers < MANAGERS_PER_TURN
                };
                let in_turn = (0..370)
                    .filter(|ordinal| sharings(*ordinal).any(is_in_turn))
                    .count();
                assert!(
                    in_turn <= max_in_turn,
                    "{shared_engines} of 2200 engines in both lists: {in_turn} managers have their turn"
                );
            }
        }
    }
}

/// A manager whose ordinal is out of range or used twice is one more manager of its engines, and
/// the shares of an engine still add up to at most 1.
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
    let mut subsets = subsets_of_all(&fleet);
    subsets.extend(subsets_of(&fleet, [370, 1 << 20, u32::MAX, 5]));
    assert_eq!(
        subsets[5], subsets[373],
        "two managers with the same ordinal have the same subset"
    );
    for engines in &subsets[370..] {
        assert!((80..=160).contains(&engines.len()), "{}", engines.len());
    }
    for (engine, managers) in sharing_by_engine(&subsets, &list) {
        let total_share: f64 = managers
            .iter()
            .map(|sharing| 1.0 / f64::from(sharing.max_managers))
            .sum();
        assert!(
            total_share <= 1.0,
            "the shares of {engine} add up to {total_share}"
        );
        assert!(
            managers
                .iter()
                .all(|sharing| sharing.rank < sharing.max_managers)
        );
    }
}

/// If all engines of a subset are removed in one event, the next engines on the ring replace them.
/// An empty list gives no subset.
#[test]
fn next_engines_on_the_ring_replace_a_subset_that_is_removed_at_once() {
    let list = list(2200, 1, 5);
    let mut manager = subset(128, 370, &list);
    let before = manager.engines().expect("a long list");
    assert!(
        (120..=130).contains(&before.len()),
        "subset of a list with one zone: {} engines",
        before.len()
    );
    before
        .keys()
        .for_each(|engine| manager.set_ready_zone(*engine, None));
    let after = manager.engines().expect("a long list");
    assert!(before.keys().all(|engine| !after.contains_key(engine)));
    assert!((100..=140).contains(&after.len()), "{}", after.len());
    // The engine that follows the removed ones on the ring is in the new subset.
    let highest_position = before.keys().map(|e| engine_position(*e)).max();
    let next_position = list
        .iter()
        .map(|(e, _)| engine_position(*e))
        .filter(|position| Some(*position) > highest_position)
        .min();
    assert!(
        after
            .keys()
            .any(|engine| Some(engine_position(*engine)) == next_position)
    );
    list.iter()
        .for_each(|(engine, _)| manager.set_ready_zone(*engine, None));
    assert_eq!(
        (
            manager.engines(),
            manager.ready_engines(),
            manager.ready_zones()
        ),
        (None, 0, 0)
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// For any sizes, each engine has a manager, the number of managers of an engine stays within
    /// the bound, and the managers of an engine have different ranks.
    #[test]
    fn every_engine_has_managers_within_the_bound(
        engines in 130u32..1500, instances in 5u32..120, zones in 1u8..15, seed: u32, max_complete_list in 32usize..128,
    ) {
        let list = list(engines, zones, seed);
        let fleet = subset(max_complete_list, instances, &list);
        prop_assume!(fleet.target_size() < fleet.ready_engines());
        let subsets = subsets_of_all(&fleet);
        let mean_on_arc = f64::from(instances) * fleet.arcs().subset_fraction;
        for (engine, managers) in sharing_by_engine(&subsets, &list) {
            let manager_count = managers.len() as f64;
            prop_assert!(manager_count >= 1.0, "{engine} has no manager");
            prop_assert!(
                manager_count <= MAX_ARC_RATIO * mean_on_arc + MAX_EXCESS_MANAGERS_ON_ARC,
                "{engine} has {manager_count} managers"
            );
            let ranks: HashSet<u32> = managers.iter().map(|sharing| sharing.rank).collect();
            prop_assert_eq!(ranks.len(), managers.len());
            prop_assert!(managers.iter().all(|sharing| sharing.rank < sharing.max_managers
                && manager_count <= f64::from(sharing.max_managers)));
        }
        // With the mean that it reports, a manager's shares of all its engines add up to its share
        // of the fleet.
        for engines_of_manager in &subsets {
            let reported = engines_of_manager.values().next().expect("some").mean_managers;
            let mean = f64::from(instances) * engines_of_manager.len() as f64 / f64::from(engines);
            prop_assert!((reported / mean - 1.0).abs() < 0.03, "{reported} reported, {mean} counted");
        }
    }

    /// The same list and settings give the same subset, whatever changes led to them and in
    /// whatever order.
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

    /// The computed number of managers on an arc equals a count of them one by one.
    #[test]
    fn managers_on_an_arc_equal_a_count_one_by_one(managers in 1u32..3000, end: u32, length: u32) {
        let before = |ordinal: u32| end.wrapping_sub(ordinal.wrapping_mul(GOLDEN_RATIO_STEP));
        let counted = (0..managers).filter(|ordinal| before(*ordinal) < length).count();
        prop_assert_eq!(managers_on_arc(managers, end, length) as usize, counted);
        let expected = f64::from(managers) * f64::from(length) / RING_POSITIONS as f64;
        prop_assert!((counted as f64 - expected).abs() <= MAX_EXCESS_MANAGERS_ON_ARC);
    }
}
