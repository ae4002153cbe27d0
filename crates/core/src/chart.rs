//! State charts that are defined in YAML and interpreted at run time.

use std::{collections::BTreeMap, fmt, rc::Rc};

use serde::Deserialize;

/// Alias for a [`Result`](std::result::Result) with the error [`ChartError`].
pub type Result<T> = std::result::Result<T, ChartError>;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartSource {
    initial: String,
    states: BTreeMap<String, BTreeMap<String, String>>,
}

/// A state chart: the initial state, and the transitions of each state by event.
#[derive(Debug)]
pub struct Chart {
    initial: Rc<str>,
    states: BTreeMap<Rc<str>, BTreeMap<Rc<str>, Rc<str>>>,
}

/// Error in the definition of a chart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChartError(String);

impl fmt::Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ChartError {}

impl Chart {
    /// Parses a chart and checks that every transition leads to a defined state.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a chart or refers to an undefined state.
    pub fn from_yaml(text: &str) -> Result<Chart> {
        let source: ChartSource =
            serde_saphyr::from_str(text).map_err(|err| ChartError(err.to_string()))?;
        let is_defined = |state: &str| source.states.contains_key(state);
        if !is_defined(&source.initial) {
            return Err(ChartError(format!("unknown initial state {}", source.initial)));
        }
        for (state, transitions) in &source.states {
            if let Some(next) = transitions.values().find(|next| !is_defined(next)) {
                return Err(ChartError(format!(
                    "state {state} has a transition to unknown state {next}"
                )));
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

    /// Creates a state machine in the initial state.
    pub fn start(self: &Rc<Chart>) -> StateMachine {
        StateMachine { state: Rc::clone(&self.initial), chart: Rc::clone(self) }
    }
}

/// An instance of a [`Chart`] with a current state.
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

    /// Returns whether `state` is the current state.
    pub fn is_in(&self, state: &str) -> bool {
        &*self.state == state
    }

    /// Applies `event`; returns whether the current state has a transition for it.
    pub fn apply(&mut self, event: &str) -> bool {
        let Some(next) = self.chart.states[&self.state].get(event) else {
            return false;
        };
        self.state = Rc::clone(next);
        true
    }
}
