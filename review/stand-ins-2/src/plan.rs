//! What the engines do with each statement, and what they have run.

use crate::record::Record;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How an attempt ends on its engine.
#[derive(Clone, Debug)]
pub enum End {
    /// The attempt is served with these rows.
    Serve(&'static str),
    /// The connection is reset under the attempt, which has begun to run.
    Reset,
    /// The attempt is served, but the answer arrives spoilt: a length in it does not fit. Flight
    /// SQL engines only.
    SpoiltLength,
    /// The attempt is served with this many batches of this many bytes. Flight SQL engines only.
    ServeLarge(usize, usize),
}

/// What an engine does with one attempt.
#[derive(Clone, Debug)]
pub struct Plan {
    pub runs_for: Duration,
    pub end: End,
}

impl Plan {
    pub fn new(runs_for_ms: u64, end: End) -> Plan {
        Plan {
            runs_for: Duration::from_millis(runs_for_ms),
            end,
        }
    }
}

/// An attempt that reached an engine whole.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub engine: usize,
    pub label: String,
    pub at: Instant,
}

/// The plans of all engines, and the attempts that reached them. Clones share both.
#[derive(Clone)]
pub struct Plans {
    record: Record,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// For each label, the plans of its attempts in turn; the last one holds for all further ones.
    plans: HashMap<String, Vec<Plan>>,
    arrivals: Vec<Arrival>,
}

impl Plans {
    pub fn new(record: &Record) -> Plans {
        Plans {
            record: record.clone(),
            state: Arc::default(),
        }
    }

    /// Sets what happens to the attempts of the statement with this label.
    pub fn set(&self, label: &str, plans: Vec<Plan>) {
        let mut state = self.state.lock().expect("plans");
        state.plans.insert(label.to_owned(), plans);
    }

    /// Records that an attempt has reached an engine, and returns its plan.
    pub fn arrive(&self, engine: usize, statement: &str) -> (String, Plan) {
        let label = statement
            .rsplit("-- ")
            .next()
            .unwrap_or_default()
            .to_owned();
        let mut state = self.state.lock().expect("plans");
        let earlier = state
            .arrivals
            .iter()
            .filter(|run| run.label == label)
            .count();
        state.arrivals.push(Arrival {
            engine,
            label: label.clone(),
            at: Instant::now(),
        });
        let plan = state
            .plans
            .get(&label)
            .and_then(|plans| plans.get(earlier).or(plans.last()))
            .cloned()
            .unwrap_or(Plan::new(5, End::Serve("a\tb\tc\n")));
        self.record.line(format!(
            "engine {engine}: runs {label} (run {} of it)",
            earlier + 1
        ));
        (label, plan)
    }

    pub fn note(&self, text: String) {
        self.record.line(text);
    }

    /// The attempts with this label that reached an engine.
    pub fn arrivals_of(&self, label: &str) -> Vec<Arrival> {
        let state = self.state.lock().expect("plans");
        let arrivals = state.arrivals.iter();
        arrivals.filter(|run| run.label == label).cloned().collect()
    }

    /// All attempts that reached an engine.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.lock().expect("plans").arrivals.clone()
    }
}

/// A statement with a label in its comment.
pub fn statement(class: &str, label: &str) -> String {
    match class {
        "log-load" => format!("INSERT INTO lic_7.log SELECT * FROM staging.rows -- {label}"),
        _ => format!("SELECT a, b, c FROM lic_7.log -- {label}"),
    }
}
