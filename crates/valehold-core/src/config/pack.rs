//! Whether a set of models fits the engines, with room for one change.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use super::Served;
use crate::id::{Artifact, DataCentreId, ModelName, UpstreamId};

/// The memory of one engine that weights may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRoom {
    /// The engine.
    pub engine: UpstreamId,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// The memory, in MiB.
    pub usable_mib: u64,
}

/// Which artifacts each engine holds.
pub type Packing = BTreeMap<UpstreamId, BTreeSet<Artifact>>;

/// Why a set of models does not fit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PackFault {
    /// No engine could hold the artifact even if it were empty.
    TooLarge {
        /// The artifact.
        artifact: Artifact,
        /// What the roomiest engine takes.
        largest_mib: u64,
    },
    /// The artifact found no room beside the others.
    NoRoom {
        /// The artifact.
        artifact: Artifact,
    },
    /// All fit, but no engine has room to replace the artifact.
    NoRoomForChange {
        /// The artifact.
        artifact: Artifact,
        /// What replacing it needs on one engine.
        needed_mib: u64,
        /// The most that stays free on one engine.
        free_mib: u64,
    },
}

impl fmt::Display for PackFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { artifact, .. } => {
                write!(f, "no engine can hold {artifact}")
            }
            Self::NoRoom { artifact } => {
                write!(f, "not all can be resident: no room for {artifact}")
            }
            Self::NoRoomForChange { artifact, .. } => {
                write!(f, "no engine keeps room to replace {artifact}")
            }
        }
    }
}

/// The state of one engine while packing.
struct Bin<'a> {
    room: &'a EngineRoom,
    free_mib: u64,
    holds: BTreeSet<Artifact>,
}

/// Packs every model and adapter, and keeps room for one change.
///
/// A model and its adapters go together, the largest such group first, on the
/// engine whose free memory they fit most closely; the model's further
/// replicas go to engines that do not have it yet. Adapters for which there
/// is no room beside the rest of their group go to another engine that has
/// the base, or take the base along. What stays free must
/// let any one artifact be replaced by a second version of the same size,
/// the new one loaded before the old one goes.
///
/// # Errors
///
/// If an artifact finds no room. The packing is a heuristic: a set that it
/// refuses might fit by an order of loading that it does not try.
pub fn pack(
    rooms: &[EngineRoom],
    served: &BTreeMap<ModelName, Served>,
) -> Result<Packing, PackFault> {
    let mut bins: Vec<Bin<'_>> = rooms
        .iter()
        .map(|room| Bin {
            room,
            free_mib: room.usable_mib,
            holds: BTreeSet::new(),
        })
        .collect();
    let mut groups: Vec<Group<'_>> = groups(served);
    groups.sort_by_key(|group| std::cmp::Reverse(group.size_mib()));
    let mut apart = Vec::new();
    for group in groups {
        apart.extend(place_group(&mut bins, &group)?);
    }
    for adapter in apart {
        place_adapter(&mut bins, adapter, served)?;
    }
    check_change(&bins, served)?;
    Ok(bins.into_iter().map(|b| (b.room.engine.clone(), b.holds)).collect())
}

/// A model with the adapters that stand on it.
struct Group<'a> {
    model: &'a Served,
    adapters: Vec<&'a Served>,
}

impl Group<'_> {
    fn size_mib(&self) -> u64 {
        let adapters: u64 = self.adapters.iter().map(|a| a.size_mib).sum();
        self.model.size_mib + adapters
    }
}

fn groups(served: &BTreeMap<ModelName, Served>) -> Vec<Group<'_>> {
    let models = served.values().filter(|s| s.base.is_none());
    models
        .map(|model| {
            let on_it = |s: &&Served| s.base.as_ref() == Some(&model.artifact);
            Group { model, adapters: served.values().filter(on_it).collect() }
        })
        .collect()
}

/// Places a group; returns the adapters that found no room beside it.
fn place_group<'a>(
    bins: &mut [Bin<'_>],
    group: &Group<'a>,
) -> Result<Vec<&'a Served>, PackFault> {
    let model = group.model;
    let together = place(bins, model, &group.adapters);
    let placed = u32::from(together);
    for _ in placed..model.min_replicas.max(1) {
        if !place(bins, model, &[]) {
            return Err(fault_for(bins, model, model.size_mib));
        }
    }
    Ok(match together {
        true => Vec::new(),
        false => group.adapters.clone(),
    })
}

fn place_adapter(
    bins: &mut [Bin<'_>],
    adapter: &Served,
    served: &BTreeMap<ModelName, Served>,
) -> Result<(), PackFault> {
    let base = adapter.base.as_ref();
    let beside_base = bins
        .iter_mut()
        .filter(|bin| base.is_some_and(|base| bin.holds.contains(base)))
        .filter(|bin| bin.free_mib >= adapter.size_mib)
        .min_by_key(|bin| bin.free_mib);
    if let Some(bin) = beside_base {
        bin.free_mib -= adapter.size_mib;
        bin.holds.insert(adapter.artifact.clone());
        return Ok(());
    }
    // No engine that has the base has room: another one takes both.
    let needed = needed_mib(adapter, served);
    let base: Vec<&Served> = base_of(adapter, served).into_iter().collect();
    if place(bins, adapter, &base) {
        return Ok(());
    }
    Err(fault_for(bins, adapter, needed))
}

/// Puts an artifact, and what has to be beside it, on the tightest fit.
fn place(bins: &mut [Bin<'_>], item: &Served, beside: &[&Served]) -> bool {
    let size = item.size_mib + beside.iter().map(|s| s.size_mib).sum::<u64>();
    let taken = |bin: &Bin<'_>| {
        bin.holds.contains(&item.artifact)
            || beside.iter().any(|s| bin.holds.contains(&s.artifact))
    };
    let found = bins
        .iter_mut()
        .filter(|bin| bin.free_mib >= size && !taken(bin))
        .min_by_key(|bin| bin.free_mib);
    let Some(bin) = found else { return false };
    bin.free_mib -= size;
    bin.holds.insert(item.artifact.clone());
    bin.holds.extend(beside.iter().map(|s| s.artifact.clone()));
    true
}

fn fault_for(bins: &[Bin<'_>], item: &Served, needed_mib: u64) -> PackFault {
    let largest_mib =
        bins.iter().map(|b| b.room.usable_mib).max().unwrap_or(0);
    let artifact = item.artifact.clone();
    if needed_mib > largest_mib {
        PackFault::TooLarge { artifact, largest_mib }
    } else {
        PackFault::NoRoom { artifact }
    }
}

fn base_of<'a>(
    item: &Served,
    served: &'a BTreeMap<ModelName, Served>,
) -> Option<&'a Served> {
    served.get(&item.base.as_ref()?.name)
}

/// What one engine without the artifact needs to take it.
fn needed_mib(item: &Served, served: &BTreeMap<ModelName, Served>) -> u64 {
    let base = base_of(item, served).map_or(0, |base| base.size_mib);
    item.size_mib + base
}

fn check_change(
    bins: &[Bin<'_>],
    served: &BTreeMap<ModelName, Served>,
) -> Result<(), PackFault> {
    let free_mib = bins.iter().map(|bin| bin.free_mib).max().unwrap_or(0);
    let largest = served.values().max_by_key(|s| needed_mib(s, served));
    let Some(item) = largest else { return Ok(()) };
    let needed_mib = needed_mib(item, served);
    if needed_mib <= free_mib {
        return Ok(());
    }
    let artifact = item.artifact.clone();
    Err(PackFault::NoRoomForChange { artifact, needed_mib, free_mib })
}
