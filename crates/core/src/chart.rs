//! State charts read from YAML files and interpreted at run time.

use std::{collections::BTreeMap, fmt, rc::Rc};

use serde::Deserialize;

/// A result whose error is a [`ChartError`].
pub type Result<T> = std::result::Result<T, ChartError>;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartSource {
    initial: String,
    states: BTreeMap<String, BTreeMap<String, String>>,
}

/// A parsed state chart: states, and per state the events it reacts to.
#[derive(Debug)]
pub struct Chart {
    initial: Rc<str>,
    states: BTreeMap<Rc<str>, BTreeMap<Rc<str>, Rc<str>>>,
}

/// The reason that a chart file was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChartError(String);

impl fmt::Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ChartError {}

impl Chart {
    /// Parses a chart and checks that every transition leads to a known state.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a chart or names an unknown state.
    pub fn from_yaml(text: &str) -> Result<Chart> {
        let source: ChartSource =
            serde_saphyr::from_str(text).map_err(|err| ChartError(err.to_string()))?;
        let known = |state: &str| source.states.contains_key(state);
        if !known(&source.initial) {
            return Err(ChartError(format!("unknown initial state {}", source.initial)));
        }
        for (state, transitions) in &source.states {
            if let Some(next) = transitions.values().find(|next| !known(next)) {
                return Err(ChartError(format!("state {state} leads to unknown state {next}")));
            }
        }
        Ok(Chart::from_source(source))
    }

    fn from_source(source: ChartSource) -> Chart {
        let states = source
            .states
            .into_iter()
            .map(|(state, transitions)| {
                let transitions = transitions
                    .into_iter()
                    .map(|(event, next)| (event.into(), next.into()))
                    .collect();
                (state.into(), transitions)
            })
            .collect();
        Chart { initial: source.initial.into(), states }
    }

    /// Starts a machine in the chart's initial state.
    pub fn start(self: &Rc<Chart>) -> StateMachine {
        StateMachine { state: Rc::clone(&self.initial), chart: Rc::clone(self) }
    }
}

/// A chart with a current state.
#[derive(Debug, Clone)]
pub struct StateMachine {
    chart: Rc<Chart>,
    state: Rc<str>,
}

impl StateMachine {
    /// Returns the name of the current state.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Returns whether the machine is in `state`.
    pub fn is_in(&self, state: &str) -> bool {
        &*self.state == state
    }

    /// Applies `event`; returns whether the current state reacts to it.
    pub fn apply(&mut self, event: &str) -> bool {
        let Some(next) = self.chart.states[&self.state].get(event) else {
            return false;
        };
        self.state = Rc::clone(next);
        true
    }
}
