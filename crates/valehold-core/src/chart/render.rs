//! Charts as text and as Graphviz input.

use std::fmt::Write;

use super::ChartFile;

impl ChartFile {
    /// Returns the chart as text: a line a state, a line a transition.
    pub fn to_text(&self) -> String {
        let mut out = format!("{}: {}\n", self.name(), self.about());
        for state in self.state_names() {
            let mark = if state == self.initial() { " (initial)" } else { "" };
            let about = self.about_state(state);
            let _ = writeln!(out, "\n{state}{mark}: {about}");
            for event in self.event_names() {
                if let Some(target) = self.target(state, event) {
                    let _ = writeln!(out, "  {event} -> {target}");
                }
            }
        }
        out
    }

    /// Returns the chart as a Graphviz digraph.
    pub fn to_graphviz(&self) -> String {
        let mut out = String::from("digraph chart {\n  rankdir=LR;\n");
        let _ = writeln!(out, "  start [shape=point];");
        let _ = writeln!(out, "  start -> {:?};", self.initial());
        for state in self.state_names() {
            for event in self.event_names() {
                if let Some(target) = self.target(state, event) {
                    let _ = writeln!(
                        out,
                        "  {state:?} -> {target:?} [label={event:?}];"
                    );
                }
            }
        }
        out.push_str("}\n");
        out
    }
}
