//! The shallow tree by region and zone.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::{Limits, Router};

/// A router's place in the exchange: its parent, or its peers if it has none.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Position<'a> {
    Root(Vec<&'a Router>),
    Child(&'a Router),
}

/// Finds the position of one of `places`.
///
/// The routers of a zone form a heap by weight; so do the roots of a region's zones,
/// if there are more zones than the fan-out. What is left are roots.
pub(super) fn position<'a>(own: &Router, places: &[&'a Router], limits: &Limits) -> Position<'a> {
    if places.len() <= limits.max_full_mesh {
        return Position::Root(others(own, places.iter().copied()));
    }
    let in_zone = places.iter().copied().filter(|p| zone(p) == zone(own));
    if let Some(parent) = parent(own, in_zone, limits.fanout) {
        return Position::Child(parent);
    }
    let zones = heaviest(places.iter().copied(), zone);
    if zones.len() <= limits.fanout {
        return Position::Root(others(own, zones.into_iter()));
    }
    let in_region = zones.iter().copied().filter(|p| p.region == own.region);
    if let Some(parent) = parent(own, in_region, limits.fanout) {
        return Position::Child(parent);
    }
    let regions = heaviest(zones.into_iter(), |place| (place.region.as_str(), ""));
    Position::Root(others(own, regions.into_iter()))
}

/// Whether a router is among the heaviest of its zone.
pub(super) fn is_among<'a>(
    own: &Router,
    places: impl Iterator<Item = &'a Router>,
    count: usize,
) -> bool {
    let in_zone = places.filter(|p| zone(p) == zone(own));
    in_zone.filter(|p| p.weight() > own.weight()).count() < count
}

fn zone(place: &Router) -> (&str, &str) {
    (&place.region, &place.zone)
}

fn others<'a>(own: &Router, places: impl Iterator<Item = &'a Router>) -> Vec<&'a Router> {
    places.filter(|place| place.name != own.name).collect()
}

/// The parent in a heap by weight; `None` for the heaviest.
fn parent<'a>(
    own: &Router,
    places: impl Iterator<Item = &'a Router>,
    fanout: usize,
) -> Option<&'a Router> {
    let mut heavier: Vec<&Router> = places.filter(|p| p.weight() > own.weight()).collect();
    heavier.sort_unstable_by_key(|place| Reverse(place.weight()));
    let index = heavier.len();
    let parent = index.checked_sub(1)? / fanout.max(1);
    Some(heavier[parent])
}

/// The heaviest of each group.
fn heaviest<'a>(
    places: impl Iterator<Item = &'a Router>,
    group: impl Fn(&'a Router) -> (&'a str, &'a str),
) -> Vec<&'a Router> {
    let mut groups: BTreeMap<(&str, &str), &Router> = BTreeMap::new();
    for place in places {
        let held = groups.entry(group(place)).or_insert(place);
        if place.weight() > held.weight() {
            *held = place;
        }
    }
    groups.into_values().collect()
}
