//! Engine selection: which engines may run a request, and what it costs to place it on each.

use super::{DedupScope, Dispatcher, Engine, EngineId, Idempotency, LoadReportMode};
use super::{hash::mix, requests::QueuedRequest};

/// Cost factor of the best affinity engine. The further ones have higher factors, and engines
/// without affinity have 1. A data set in the engine's cache outweighs a somewhat higher load.
const AFFINITY_COST: f64 = 0.75;
/// Threads per core that are added to the load, so that nearly idle engines cost about the same.
const BASE_THREADS_PER_CORE: f64 = 0.3;
/// Upper bound on the part of the cost that breaks ties, differently for each manager and request.
const MAX_TIE_BREAK_COST: f64 = 0.02;
/// Right shift of a tie-breaking hash, and the number of bits that remain: as many as the mantissa
/// of an `f64` has.
const TIE_HASH_SHIFT: u32 = 11;
const TIE_HASH_BITS: i32 = 53;
/// Number of engines that all managers prefer for a data set, ranked by hash.
const AFFINITY_ENGINES: usize = 4;
/// Of this number of engines, one takes the bulk loads of a data set and the others its readers.
const BULK_LOAD_ENGINE_DIVISOR: u64 = 4;
/// Bit rotations that derive independent hashes from the hash of an engine.
const BULK_LOAD_ROTATION: u32 = 17;
const MANAGER_ROTATION: u32 = 11;
/// Cost factor of an engine on which a bulk load and readers of its data set could run at the same
/// time, because the readers would wait.
const SEPARATION_COST: f64 = 4.0;
/// Cost factor of an engine on which a bulk load would wait for another one of its data set.
const OCCUPIED_COST: f64 = 3.0;
/// Cost factor of an engine on which another manager's bulk loads of the data set may run.
const OTHER_MANAGER_COST: f64 = 1.3;
/// Cost factor of an engine in another zone if cross-zone attempts have a cost. Of two equal
/// engines, the one in this manager's zone is chosen.
const CROSS_ZONE_COST: f64 = 1.25;
/// Addition to the cost factor of an engine that answers only with errors, and of one that failed
/// the same request. An engine that fails queries at once would otherwise seem idle.
const ERROR_COST: f64 = 4.0;

impl Dispatcher {
    /// Whether the rules and the engine's health allow the request on the engine.
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

    /// Whether the engine would drop the request as a repeat. Also true for a request that cannot
    /// have run yet, and for a class whose repeats are not dropped by zone or cell.
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

    /// Whether the engine is not suspect, or may get this request as a trial.
    ///
    /// A suspect engine gets one query at a time, and only of classes that may run any number of
    /// times.
    fn allowed_if_suspect(&self, request: &QueuedRequest, engine: &Engine) -> bool {
        let class = &self.settings.classes[request.class];
        let is_safe_trial =
            engine.running.is_empty() && class.idempotency == Idempotency::Idempotent;
        !engine.outlier.is_suspect() || is_safe_trial
    }

    /// The affinity engines for a request's data set, ranked by hash, best first. All managers
    /// prefer the same engines, so that these keep the data set in their caches.
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

    /// Cost of placing a request on an engine; the engine with the lowest cost is chosen.
    /// `affinity` contains the affinity engines for its data set.
    pub(super) fn placement_cost(
        &self,
        request: &QueuedRequest,
        engine: &Engine,
        affinity: &[EngineId],
    ) -> f64 {
        let threads = self.estimated_threads(engine) + self.threads(request.class);
        let load_cost = (BASE_THREADS_PER_CORE + threads / self.available_cores(engine))
            * self.slowness(engine);
        load_cost
            * self.affinity_cost(request, engine, affinity)
            * self.tie_break_cost(request, engine)
            * self.separation_cost(request, engine)
            * self.cross_zone_cost(engine)
            * error_cost(request, engine)
            * self.bulk_load_cost(request, engine)
    }

    /// Whether the class is a bulk load and some class waits for bulk loads.
    fn blocks_readers(&self, class: usize) -> bool {
        let classes = &self.settings.classes;
        classes[class].is_bulk_load && classes.iter().any(|class| class.waits_for_bulk_loads)
    }

    /// Cost factor that keeps bulk loads and readers of a data set on different engines, because
    /// the readers may have to wait. A hash that all managers share separates the engines.
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

    /// Cost factor that prefers the affinity engines. Without load reports, an overloaded engine is
    /// not noticed, and a popular data set would overload its affinity engines (04dbf6b8).
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

    /// Cost factor slightly above 1 that breaks ties by a hash.
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

    /// Cost factor of a bulk load, which waits while another one of its data set runs on the
    /// engine. This manager's bulk loads are known. Those of other managers are avoided by a hash
    /// that all managers share: it gives each manager a part of the engines for a data set.
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

/// Cost factor that rises with the engine's share of errors, and further if the engine has failed
/// this request: it then runs on another engine if there is one.
fn error_cost(request: &QueuedRequest, engine: &Engine) -> f64 {
    let repeat_cost = if request.failed_on.contains(&engine.entry.engine) {
        ERROR_COST
    } else {
        0.0
    };
    1.0 + ERROR_COST * engine.outlier.error_share() + repeat_cost
}
