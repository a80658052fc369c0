//! What a request's attempts may do, by class and route: time-outs, how often and after which ends to try again, how
//! long to wait before, and how much of that all requests may do together. Decisions and state alone: no I/O, and no
//! clock but the times handed in. The design is in `docs/attempts-design.md`.

mod attempt_policy;
mod budget;
mod latency;
mod policy;
mod routes;

pub use attempt_policy::{
    AttemptPolicy, Backoff, HedgingDelay, HedgingPolicy, OutcomeSet, RETRYABLE_OUTCOMES,
    RetryDecision, Shown,
};
pub use budget::{Budget, BudgetUsage};
pub use latency::Latency;
pub use policy::{EffectiveValue, Policy};
pub use routes::{FrontendKind, RequestAttributes, Route, RouteError, RouteMatch, Routes};

#[cfg(test)]
mod tests;
