//! `subset`: properties of the engine subsets over a whole fleet: how many managers use an engine,
//! how subsets are spread over zones, how many subset members a change replaces, and which shares
//! of the budget of an engine that is warming up the managers take while their lists differ. The
//! subsets of all managers are computed in this process, without a dispatcher or a socket.

use super::fit::{Figure, Point, Prediction};
use super::options::{Options, Test};
use super::row::{Output, ScaleError, Size, rounded};
use super::{fleet, usage};
use serde::Serialize;
use std::collections::HashMap;
use workload_manager::limits::Limits;
use workload_manager::node_config::engine_id;
use workload_manager::subset::{Membership, Subset, SubsetEngines};
use workload_manager::{EngineId, EngineSharing};

const TEST: &str = Test::Subset.name();
/// In the small case, a manager uses the whole list up to this number of engines.
const MAX_COMPLETE_LIST_SMALL: usize = 12;
const MANAGERS_SMALL: u32 = 60;
/// Number of engines that are replaced one after another.
const REPLACED_ENGINES: usize = 10;
const REPLACED_ENGINES_SMALL: usize = 3;
/// Shares of the whole list that are missing from the later list: nothing, one zone, 10%, 30% and
/// 60%.
const MISSING_SHARES: [f64; 5] = [0.0, 1.0 / fleet::ZONES as f64, 0.1, 0.3, 0.6];
/// Approximate number of engines whose budget shares are summed.
const SAMPLED_ENGINES: usize = 300;
/// Maximum number of managers that may send at the same time to an engine that is warming up.
const MAX_SENDERS: u32 = 3;
/// The managers take turns in sending to an engine that is warming up. This many positions of their
/// rotation are checked.
const ROTATION_POSITIONS: u32 = 128;
/// Lowest id of the engines that start later.
const FIRST_SUCCESSOR_ID: u32 = 1 << 30;

#[derive(Serialize)]
struct BalanceRow {
    #[serde(flatten)]
    size: Size,
    /// Size of one manager's subset: minimum, mean and maximum.
    engines_least: usize,
    engines_mean: f64,
    engines_most: usize,
    /// Number of managers whose subset contains an engine: minimum, mean and maximum.
    holders_least: usize,
    holders_mean: f64,
    holders_most: usize,
    most_to_mean: f64,
    /// Engines that are in no manager's subset.
    without: usize,
    /// A zone's share of a subset divided by its share of the list: 99th percentile and maximum
    /// over all managers and zones.
    zone_part_p99: f64,
    zone_part_most: f64,
    /// Processor time of a change of the list at one manager, in microseconds: one engine is
    /// removed and another one added.
    us_change: f64,
}

#[derive(Serialize)]
struct ChurnRow {
    #[serde(flatten)]
    size: Size,
    /// Number of engines that were removed and then replaced, and the number of subsets that
    /// contained them.
    engines: usize,
    held: usize,
    /// Subset members that changed after the removal: in the managers that held the engine, in the
    /// other managers, and the maximum in one manager.
    gone_moved_holders: usize,
    gone_moved_others: usize,
    gone_moved_most: usize,
    /// The same between the lists before the removal and after the replacement: in the managers
    /// that held the engine, in those that hold only its successor, in the other managers, and the
    /// maximum in one manager.
    replaced_moved_holders: usize,
    replaced_moved_successors: usize,
    replaced_moved_others: usize,
    replaced_moved_most: usize,
    /// One manager more and one less: subset members that changed in all other managers, and the
    /// size of the additional manager's subset, which is the smallest possible change.
    manager_more_moved: usize,
    manager_more_least: usize,
    manager_less_moved: usize,
}

#[derive(Serialize)]
struct DifferingListsRow {
    #[serde(flatten)]
    size: Size,
    /// Share of the whole list that is missing from the later list.
    lacks: f64,
    /// Upper bound on the managers of an engine, by the whole list and by the later one.
    bound: u32,
    bound_later: u32,
    /// Largest sum of all managers' shares of one engine's budget: each manager with the list that
    /// gives it more, and each with a pseudo-random one of the two lists.
    parts_worst: f64,
    parts_by_chance: f64,
    /// Managers that may send at the same time to an engine that is warming up: the bound, and the
    /// maximum under any mix of the lists.
    in_turn: u32,
    in_turn_worst: usize,
}

/// A fleet with its list, and the subset of each manager.
struct Fleet {
    subset: Subset,
    managers: u32,
    subsets: Vec<SubsetEngines>,
}

/// Measures balance and changes at all sizes, and churn and differing lists at the largest size.
pub(super) fn run(options: &Options, output: &mut Output) -> Result<(), ScaleError> {
    let sizes = options.list_sizes();
    let mut points: Vec<Point> = Vec::new();
    let mut prediction = None;
    for (index, listed) in sizes.iter().copied().enumerate() {
        if index + 1 == sizes.len() && points.len() >= 2 {
            let figure = Figure {
                test: TEST,
                figure: "us_change",
                over: "listed",
            };
            prediction = Some(Prediction::write(output, figure, &points, listed as f64)?);
        }
        let row = measure_balance(options, listed);
        output.row(&row)?;
        points.push((listed as f64, row.us_change));
        if let Some(prediction) = &prediction {
            prediction.write_error(output, row.us_change)?;
        }
    }
    let Some(listed) = sizes.last().copied() else {
        return Ok(());
    };
    output.row(&measure_churn(options, listed))?;
    for missing_share in MISSING_SHARES {
        output.row(&measure_differing_lists(options, listed, missing_share))?;
    }
    Ok(())
}

impl Fleet {
    fn new(options: &Options, listed: impl Iterator<Item = usize>) -> Fleet {
        let managers = if options.small {
            MANAGERS_SMALL
        } else {
            options.managers
        };
        let parsed = fleet::settings(managers, 0);
        let limits = Limits::new(fleet::SOCKETS, options.memory_mb, true, &parsed);
        let max_complete_list = if options.small {
            MAX_COMPLETE_LIST_SMALL
        } else {
            limits.subset_engines
        };
        let mut subset = Subset::new(
            max_complete_list,
            Membership {
                instances: managers,
                ordinal: 0,
            },
        );
        listed.for_each(|id| subset.set_ready_zone(engine_id(id as u32), Some(zone_of(id))));
        let mut fleet = Fleet {
            subset,
            managers,
            subsets: Vec::new(),
        };
        fleet.subsets = fleet.all_subsets();
        fleet
    }

    /// The subset of each manager, from the current list.
    fn all_subsets(&self) -> Vec<SubsetEngines> {
        let mut manager_subset = self.subset.clone();
        let subset_of = |ordinal| {
            manager_subset.set_membership(Membership {
                instances: self.managers,
                ordinal,
            });
            manager_subset.engines().unwrap_or_default()
        };
        (0..self.managers).map(subset_of).collect()
    }

    /// A fleet with the same list and another number of managers.
    fn with_managers(&self, managers: u32) -> Fleet {
        let mut fleet = Fleet {
            subset: self.subset.clone(),
            managers,
            subsets: Vec::new(),
        };
        fleet.subsets = fleet.all_subsets();
        fleet
    }

    /// Subset members that differ, summed over the managers that both fleets have.
    fn count_changed_in(&self, other: &Fleet) -> usize {
        let both = self.subsets.iter().zip(&other.subsets);
        both.map(|(before, after)| count_changed(before, after))
            .sum()
    }

    fn size(&self, part: &'static str, listed: usize) -> Size {
        Size::measured(TEST, part, listed, self.managers as usize)
    }
}

fn zone_of(id: usize) -> u8 {
    (id % fleet::ZONES) as u8
}

fn measure_balance(options: &Options, listed: usize) -> BalanceRow {
    let fleet = Fleet::new(options, 0..listed);
    let sizes: Vec<usize> = fleet.subsets.iter().map(SubsetEngines::len).collect();
    let mut holders: HashMap<EngineId, usize> =
        (0..listed as u32).map(|id| (engine_id(id), 0)).collect();
    fleet
        .subsets
        .iter()
        .flat_map(SubsetEngines::keys)
        .for_each(|id| *holders.entry(*id).or_default() += 1);
    let member_count: usize = sizes.iter().sum();
    let holders_mean = member_count as f64 / listed as f64;
    let holders_most = holders.values().copied().max().unwrap_or_default();
    let ratios = zone_share_ratios(&fleet.subsets, listed);
    BalanceRow {
        size: fleet.size("balance", listed),
        engines_least: sizes.iter().copied().min().unwrap_or_default(),
        engines_mean: rounded(member_count as f64 / f64::from(fleet.managers)),
        engines_most: sizes.iter().copied().max().unwrap_or_default(),
        holders_least: holders.values().copied().min().unwrap_or_default(),
        holders_mean: rounded(holders_mean),
        holders_most,
        most_to_mean: rounded(holders_most as f64 / holders_mean),
        without: holders.values().filter(|n| **n == 0).count(),
        zone_part_p99: rounded(
            ratios
                .get(ratios.len() * 99 / 100)
                .copied()
                .unwrap_or_default(),
        ),
        zone_part_most: rounded(ratios.last().copied().unwrap_or_default()),
        us_change: rounded(change_us(&fleet, listed)),
    }
}

/// For every zone and every subset, the zone's share of the subset divided by its share of the
/// list, ascending.
fn zone_share_ratios(subsets: &[SubsetEngines], listed: usize) -> Vec<f64> {
    let mut of_list = [0.0; fleet::ZONES];
    (0..listed).for_each(|id| of_list[usize::from(zone_of(id))] += 1.0 / listed as f64);
    let mut ratios = Vec::new();
    for members in subsets {
        let mut of_subset = [0.0; fleet::ZONES];
        for engine in members.keys() {
            of_subset[usize::from(zone_of(u32::from_be_bytes(engine.addr) as usize))] += 1.0;
        }
        let zones = of_subset
            .iter()
            .zip(&of_list)
            .filter(|(_, of_list)| **of_list > 0.0);
        ratios.extend(
            zones.map(|(member_count, of_list)| member_count / members.len() as f64 / of_list),
        );
    }
    ratios.sort_by(f64::total_cmp);
    ratios
}

/// Processor time of a change of the list at one manager, in microseconds.
fn change_us(fleet: &Fleet, listed: usize) -> f64 {
    const CHANGES: u32 = 500;
    let mut manager_subset = fleet.subset.clone();
    manager_subset.engines();
    let time_before = usage::thread_processor_time();
    for change in 0..CHANGES {
        let removed = (change as usize * 7919) % listed;
        manager_subset.set_ready_zone(engine_id(removed as u32), None);
        manager_subset.set_ready_zone(
            engine_id(FIRST_SUCCESSOR_ID + change),
            Some(zone_of(removed)),
        );
        manager_subset.engines();
    }
    (usage::thread_processor_time() - time_before).as_secs_f64() * 1e6 / f64::from(CHANGES)
}

/// Subset members that differ: the larger of the numbers of engines gained and lost.
fn count_changed(before: &SubsetEngines, after: &SubsetEngines) -> usize {
    let count_missing = |a: &SubsetEngines, b: &SubsetEngines| {
        a.keys().filter(|engine| !b.contains_key(engine)).count()
    };
    count_missing(before, after).max(count_missing(after, before))
}

impl ChurnRow {
    fn new(size: Size, engines: usize) -> ChurnRow {
        ChurnRow {
            size,
            engines,
            held: 0,
            gone_moved_holders: 0,
            gone_moved_others: 0,
            gone_moved_most: 0,
            replaced_moved_holders: 0,
            replaced_moved_successors: 0,
            replaced_moved_others: 0,
            replaced_moved_most: 0,
            manager_more_moved: 0,
            manager_more_least: 0,
            manager_less_moved: 0,
        }
    }

    /// Adds the changes that one replacement causes in one manager's subset.
    fn add(&mut self, replacement: &Replacement, members: &MembersByStep) {
        let held = members.before.contains_key(&replacement.old);
        let changed_on_removal = count_changed(members.before, members.removed);
        let changed_on_replacement = count_changed(members.before, members.after);
        self.held += usize::from(held);
        self.gone_moved_most = self.gone_moved_most.max(changed_on_removal);
        self.replaced_moved_most = self.replaced_moved_most.max(changed_on_replacement);
        if held {
            self.gone_moved_holders += changed_on_removal;
        } else {
            self.gone_moved_others += changed_on_removal;
        }
        let moved_counter = match (held, members.after.contains_key(&replacement.new)) {
            (true, _) => &mut self.replaced_moved_holders,
            (false, true) => &mut self.replaced_moved_successors,
            (false, false) => &mut self.replaced_moved_others,
        };
        *moved_counter += changed_on_replacement;
    }
}

/// An engine and its successor.
struct Replacement {
    old: EngineId,
    new: EngineId,
}

/// The subset of one manager before a replacement, after the old engine's removal, and with its
/// successor.
struct MembersByStep<'a> {
    before: &'a SubsetEngines,
    removed: &'a SubsetEngines,
    after: &'a SubsetEngines,
}

fn measure_churn(options: &Options, listed: usize) -> ChurnRow {
    let mut fleet = Fleet::new(options, 0..listed);
    let engines = if options.small {
        REPLACED_ENGINES_SMALL
    } else {
        REPLACED_ENGINES
    };
    let mut row = ChurnRow::new(fleet.size("churn", listed), engines);
    for replaced in 0..engines {
        let id = replaced * listed / engines;
        let replacement = Replacement {
            old: engine_id(id as u32),
            new: engine_id(FIRST_SUCCESSOR_ID + id as u32),
        };
        fleet.subset.set_ready_zone(replacement.old, None);
        let removed = fleet.all_subsets();
        fleet
            .subset
            .set_ready_zone(replacement.new, Some(zone_of(id)));
        let after = fleet.all_subsets();
        for ((before, removed), after) in fleet.subsets.iter().zip(&removed).zip(&after) {
            let members = MembersByStep {
                before,
                removed,
                after,
            };
            row.add(&replacement, &members);
        }
        fleet.subsets = after;
    }
    let one_more = fleet.with_managers(fleet.managers + 1);
    row.manager_more_moved = fleet.count_changed_in(&one_more);
    row.manager_more_least = one_more.subsets.last().map_or(0, SubsetEngines::len);
    let one_less = fleet.with_managers(fleet.managers - 1);
    row.manager_less_moved = fleet.count_changed_in(&one_less);
    row
}

fn measure_differing_lists(
    options: &Options,
    listed: usize,
    missing_share: f64,
) -> DifferingListsRow {
    let kept = listed - (listed as f64 * missing_share) as usize;
    // The engines missing from the later list are spread evenly over zones and positions.
    let later = Fleet::new(options, (0..listed).filter(|id| id * 7919 % listed < kept));
    let whole = Fleet::new(options, 0..listed);
    let bound = |fleet: &Fleet| {
        fleet.subsets[0]
            .values()
            .next()
            .map_or(0, |sharing| sharing.max_managers)
    };
    let mut row = DifferingListsRow {
        size: whole.size("views", listed),
        lacks: rounded(missing_share),
        bound: bound(&whole),
        bound_later: bound(&later),
        parts_worst: 0.0,
        parts_by_chance: 0.0,
        in_turn: MAX_SENDERS,
        in_turn_worst: 0,
    };
    let engines = (0..listed).filter(|id| id * 7919 % listed < kept);
    for (sample, id) in engines.step_by((kept / SAMPLED_ENGINES).max(1)).enumerate() {
        let engine = engine_id(id as u32);
        let managers = whole.subsets.iter().zip(&later.subsets);
        let managers: Vec<[Option<&EngineSharing>; 2]> = managers
            .map(|(whole, later)| [whole.get(&engine), later.get(&engine)])
            .collect();
        let (worst, by_chance, senders) = budget_shares(&managers, sample);
        row.parts_worst = row.parts_worst.max(rounded(worst));
        row.parts_by_chance = row.parts_by_chance.max(rounded(by_chance));
        row.in_turn_worst = row.in_turn_worst.max(senders);
    }
    row
}

/// The worst and the pseudo-random sum of the managers' shares of one engine's budget, and the
/// maximum number of managers that may send to it at the same time. Each manager has one entry per
/// list, which is `None` if its subset from that list does not contain the engine.
fn budget_shares(managers: &[[Option<&EngineSharing>; 2]], salt: usize) -> (f64, f64, usize) {
    let share = |entry: &Option<&EngineSharing>| {
        entry.map_or(0.0, |sharing| 1.0 / f64::from(sharing.max_managers))
    };
    let worst = managers
        .iter()
        .map(|entries| share(&entries[0]).max(share(&entries[1])))
        .sum();
    let pick = |index: usize| (index.wrapping_mul(2_654_435_761) >> 7) + salt;
    let by_chance = managers
        .iter()
        .enumerate()
        .map(|(index, entries)| share(&entries[pick(index) % 2]))
        .sum();
    let count_senders = |position: u32| {
        let may_send = |sharing: &EngineSharing| {
            (position + sharing.rank) % sharing.max_managers < MAX_SENDERS
        };
        managers
            .iter()
            .filter(|entries| entries.iter().flatten().any(|sharing| may_send(sharing)))
            .count()
    };
    (
        worst,
        by_chance,
        (0..ROTATION_POSITIONS)
            .map(count_senders)
            .max()
            .unwrap_or_default(),
    )
}
