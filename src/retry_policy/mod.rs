//! The retry policy: timeouts, retries and hedging of a request's attempts, by class and route.
//!
//! This module owns the attempt policies of the operators' file, the index of its routes, and the
//! usage of retry budgets. It determines which timeouts apply to a request, after which outcomes
//! and how often an attempt may be retried, and the delay before each retry.
//!
//! It does no I/O and reads no clock: each time is an argument. The cost of resolving a request's
//! policy does not grow with the number of routes, and a budget has a fixed size.
//!
//! `operator_config` builds the [`Policy`], `core` resolves it for each request and asks for the
//! [`RetryDecision`], and the admin address explains it. The design is in
//! `docs/attempts-design.md`.

mod attempt_policy;
mod budget;
mod latency;
mod policy;
mod route_errors;
mod route_match;
mod routes;

pub use attempt_policy::{
    AttemptPolicy, Backoff, HedgingDelay, HedgingPolicy, KeyValue, OutcomeSet, RETRYABLE_OUTCOMES,
    RetryDecision,
};
pub use budget::{Budget, BudgetUsage};
pub use latency::LatencyQuantiles;
pub use policy::{ClassPolicy, EffectiveValue, Policy};
pub use route_errors::RouteError;
pub use route_match::{FrontendKind, RequestAttributes, RouteMatch};
pub use routes::{Route, RouteIndex};

#[cfg(test)]
mod tests;
