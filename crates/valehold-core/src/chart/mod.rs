//! State charts, read from files and interpreted.
//!
//! A chart names its states, its events, its initial state, and for every
//! state what each event does: a transition, or nothing. The file has to say
//! so for every pair; what it leaves out is an error. Code that follows a
//! chart gets a [`Chart`] with its own enums for states and events, and can
//! change state only by [`Chart::next`].

mod file;
pub mod library;
mod render;
#[cfg(test)]
mod tests;

use std::{fmt::Debug, marker::PhantomData};

use crate::error::Error;
pub use file::ChartFile;

/// An enum whose variants are the states or the events of a chart.
pub trait Label: Copy + Eq + Debug + 'static {
    /// Every variant.
    const ALL: &'static [Self];

    /// Returns the variant's name in the chart's file.
    fn name(self) -> &'static str;

    /// Returns the variant's position in [`Label::ALL`].
    fn index(self) -> usize;
}

/// Declares an enum whose variants are states or events of a chart.
#[macro_export]
macro_rules! chart_labels {
    ($(#[$doc:meta])* $name:ident {
        $($(#[$vdoc:meta])* $variant:ident = $text:literal,)*
    }) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(rename_all = "snake_case")]
        pub enum $name {
            $($(#[$vdoc])* $variant,)*
        }

        impl $crate::chart::Label for $name {
            const ALL: &'static [Self] = &[$(Self::$variant,)*];

            fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }

            fn index(self) -> usize {
                self as usize
            }
        }
    };
}

/// A chart whose states are `S` and whose events are `E`.
#[derive(Debug, Clone)]
pub struct Chart<S, E> {
    initial: S,
    /// The target of each state and event; `None` where the file ignores it.
    table: Vec<Vec<Option<S>>>,
    events: PhantomData<E>,
}

impl<S: Label, E: Label> Chart<S, E> {
    /// Binds a checked file to the enums of the code that follows it.
    ///
    /// # Errors
    ///
    /// If the file's states or events are not exactly those of the enums.
    pub fn try_from_file(file: &ChartFile) -> Result<Self, Error> {
        same_names::<S>(file, "state", file.state_names())?;
        same_names::<E>(file, "event", file.event_names())?;
        let find = |name: &str| {
            S::ALL
                .iter()
                .copied()
                .find(|s| s.name() == name)
                .ok_or_else(|| Error::new(format!("no state {name:?}")))
        };
        let mut table = Vec::with_capacity(S::ALL.len());
        for state in S::ALL {
            let mut row = Vec::with_capacity(E::ALL.len());
            for event in E::ALL {
                let target = file.target(state.name(), event.name());
                row.push(target.map(&find).transpose()?);
            }
            table.push(row);
        }
        let initial = find(file.initial())?;
        Ok(Self { initial, table, events: PhantomData })
    }

    /// Returns the state in which the chart starts.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns the state after an event.
    ///
    /// An event that the file ignores in this state leaves it as it is.
    pub fn next(&self, state: S, event: E) -> S {
        self.table[state.index()][event.index()].unwrap_or(state)
    }
}

fn same_names<L: Label>(
    file: &ChartFile,
    what: &str,
    names: Vec<&str>,
) -> Result<(), Error> {
    let ours: Vec<&str> = L::ALL.iter().map(|label| label.name()).collect();
    let unknown = names.iter().find(|name| !ours.contains(name));
    if let Some(name) = unknown {
        let message = format!("{what} {name:?} is not known to the code");
        return Err(Error::new(message).context(file.name()));
    }
    let missing = ours.iter().find(|name| !names.contains(name));
    if let Some(name) = missing {
        let message = format!("{what} {name:?} is missing");
        return Err(Error::new(message).context(file.name()));
    }
    Ok(())
}
