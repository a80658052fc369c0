//! Engine selection: which engines may run a request, and what a placement there costs.

use super::{DedupScope, Dispatcher, Engine, EngineId, Idempotency, LoadReportMode};
use super::{hash::mix, requests::QueuedRequest};

/// Cost of an engine that keeps the data set warm, against 1: it is worth some crowding.
const AFFINITY_COST: f64 = 0.75;
/// Threads a core added to the load; keeps nearly empty engines alike.
const BASE_THREADS_PER_CORE: f64 = 0.3;
/// Largest tie-breaking part of the cost, so that managers and requests break ties differently.
const MAX_TIE_BREAK_COST: f64 = 0.02;
/// Values of a tie-breaking hash: the bits of a double's mantissa.
const TIE_HASH_SHIFT: u32 = 11;
const TIE_HASH_BITS: i32 = 53;
/// Engines that all managers prefer for a data set, by its hash.
const AFFINITY_ENGINES: usize = 4;
/// One engine in so many takes the bulk loads of a data set, the others its readers.
const BULK_LOAD_ENGINE_DIVISOR: u64 = 4;
/// Rotations that make independent hashes of one engine's.
const BULK_LOAD_ROTATION: u32 = 17;
const MANAGER_ROTATION: u32 = 11;
/// Cost factor where a bulk load and its readers could meet: standing still costs.
const SEPARATION_COST: f64 = 4.0;
/// Cost factor where a bulk load would stand still behind another one.
const OCCUPIED_COST: f64 = 3.0;
/// Cost factor where another manager's bulk loads of the data set may be.
const OTHER_MANAGER_COST: f64 = 1.3;
/// Cost factor where crossing zones costs: an equal engine in the own zone wins.
const CROSS_ZONE_COST: f64 = 1.25;
/// Cost factor at errors only: an engine that fails at once looks free.
const ERROR_COST: f64 = 4.0;

impl Dispatcher {
    /// Whether the rules and the engine's health let this request go there.
    pub(super) fn is_eligible(&self, request: &QueuedRequest, engine: &Engine) -> bool {
        engine.is_usable()
            && self.placement_allowed(request, engine)
            && self.within_dedup_scope(request, engine)
            && self.allowed_if_suspect(request, engine)
            && !engine.is_paused(self.now_ms)
    }

    /// Whether the class's zones and machine types allow the engine.
    fn placement_allowed(&self, request: &QueuedRequest, engine: &Engine) -> bool {
        let class = &self.settings.classes[request.class];
        let zones = class.allowed_zones.as_ref();
        let machine_types = class.allowed_machine_types.as_ref();
        zones.is_none_or(|zones| zones.contains(&engine.entry.zone))
            && machine_types.is_none_or(|types| types.contains(&engine.entry.machine_type))
    }

    /// Whether the engine drops the request as a repeat, if it ran before.
    fn within_dedup_scope(&self, request: &QueuedRequest, engine: &Engine) -> bool {
        let Some(execution) = request.first_execution else {
            return true;
        };
        match self.settings.classes[request.class].idempotency {
            Idempotency::WithKey(DedupScope::Zone) => engine.entry.zone == execution.zone,
            Idempotency::WithKey(DedupScope::Cell) => engine.entry.cell == execution.cell,
            _ => true,
        }
    }

    /// Whether the engine is not suspect, or may be tried with this request.
    ///
    /// A suspect engine is tried with one query at a time, of those that may be sent again.
    fn allowed_if_suspect(&self, request: &QueuedRequest, engine: &Engine) -> bool {
        let class = &self.settings.classes[request.class];
        let is_safe_trial =
            engine.running.is_empty() && class.idempotency == Idempotency::Idempotent;
        !engine.outlier.is_suspect() || is_safe_trial
    }

    /// The engines that their managers prefer for a request's data set, as they keep it warm: by hash, best first.
    pub(super) fn affinity_engines(&self, request: &QueuedRequest) -> Vec<EngineId> {
        let mut ranked: Vec<(u64, EngineId)> = self
            .engines
            .values()
            .filter(|engine| engine.is_usable())
            .map(|engine| {
                let preference = mix(engine.hash ^ u64::from(request.data_set));
                (preference, engine.entry.engine)
            })
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked
            .into_iter()
            .take(AFFINITY_ENGINES)
            .map(|(_, engine)| engine)
            .collect()
    }

    /// What a placement costs; the cheapest engine is chosen. `affinity` are the engines preferred for its data set.
    pub(super) fn placement_cost(
        &self,
        request: &QueuedRequest,
        engine: &Engine,
        affinity: &[EngineId],
    ) -> f64 {
        let threads = self.load(engine) + self.threads(request.class);
        let load_cost =
            (BASE_THREADS_PER_CORE + threads / self.cores(engine)) * self.slowness(engine);
        load_cost
            * self.affinity_cost(request, engine, affinity)
            * self.tie_break_cost(request, engine)
            * self.separation_cost(request, engine)
            * self.cross_zone_cost(engine)
            * error_cost(request, engine)
            * self.bulk_load_cost(request, engine)
    }

    /// Whether the class loads in bulk and others wait for that.
    fn blocks_readers(&self, class: usize) -> bool {
        let classes = &self.settings.classes;
        classes[class].is_bulk_load && classes.iter().any(|class| class.waits_for_bulk_loads)
    }

    /// Readers of a data set may stand still behind its bulk loads: a hash that all managers share parts them.
    fn separation_cost(&self, request: &QueuedRequest, engine: &Engine) -> f64 {
        let class = &self.settings.classes[request.class];
        let hash = engine.hash.rotate_left(BULK_LOAD_ROTATION) ^ u64::from(request.data_set);
        let takes_bulk_loads = mix(hash).is_multiple_of(BULK_LOAD_ENGINE_DIVISOR);
        let is_misplaced_load = self.blocks_readers(request.class) && !takes_bulk_loads;
        let is_misplaced_reader = class.waits_for_bulk_loads && takes_bulk_loads;
        if is_misplaced_load || is_misplaced_reader {
            SEPARATION_COST
        } else {
            1.0
        }
    }

    /// Engines that keep the data set warm cost less. Without reports nothing tells of a crowded engine, and a popular
    /// data set would overload its affinity engines (04dbf6b8).
    fn affinity_cost(
        &self,
        request: &QueuedRequest,
        engine: &Engine,
        affinity: &[EngineId],
    ) -> f64 {
        let reports_off = self.settings.load_reports == LoadReportMode::Off;
        if self.blocks_readers(request.class) || reports_off {
            return 1.0;
        }
        let rank = affinity.iter().position(|id| *id == engine.entry.engine);
        let rank_share = rank.map_or(1.0, |rank| rank as f64 / AFFINITY_ENGINES as f64);
        AFFINITY_COST + (1.0 - AFFINITY_COST) * rank_share
    }

    fn tie_break_cost(&self, request: &QueuedRequest, engine: &Engine) -> f64 {
        let hash = mix(engine.hash ^ self.seed ^ request.arrival_number.bits());
        1.0 + MAX_TIE_BREAK_COST * (hash >> TIE_HASH_SHIFT) as f64 / 2f64.powi(TIE_HASH_BITS)
    }

    fn cross_zone_cost(&self, engine: &Engine) -> f64 {
        let crossing_is_free = self.settings.cross_zone_cost <= 0.0;
        if crossing_is_free || engine.entry.zone == self.settings.zone {
            1.0
        } else {
            CROSS_ZONE_COST
        }
    }

    /// A bulk load stands still while another one of its data set runs on the engine. Own ones are known; those of
    /// other managers are kept apart by a hash that all share: each has its part of the engines for a data set.
    fn bulk_load_cost(&self, request: &QueuedRequest, engine: &Engine) -> f64 {
        if !self.settings.classes[request.class].is_bulk_load {
            return 1.0;
        }
        let is_occupied = engine.running.iter().any(|id| {
            let other = &self.requests[id];
            other.data_set == request.data_set && self.settings.classes[other.class].is_bulk_load
        });
        let occupied_cost = if is_occupied { OCCUPIED_COST } else { 1.0 };
        let sharing = self.settings.sharing(&engine.entry);
        let hash = engine.hash.rotate_left(MANAGER_ROTATION) ^ u64::from(request.data_set);
        let is_own_part = mix(hash) % u64::from(sharing.max_managers) == u64::from(sharing.rank);
        let part_cost = if is_own_part { 1.0 } else { OTHER_MANAGER_COST };
        occupied_cost * part_cost
    }
}

/// Engines with errors cost more, and one that failed this request most: it goes elsewhere where there is another.
fn error_cost(request: &QueuedRequest, engine: &Engine) -> f64 {
    let repeat_cost = if request.failed_on.contains(&engine.entry.engine) {
        ERROR_COST
    } else {
        0.0
    };
    1.0 + ERROR_COST * engine.outlier.error_share() + repeat_cost
}
