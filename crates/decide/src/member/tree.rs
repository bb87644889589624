//! Exchange topology by region and zone.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::{Limits, Router};

/// A router's position in the exchange: its parent, or its peers if it has none.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Position<'a> {
    Root(Vec<&'a Router>),
    Child(&'a Router),
}

/// Computes the position of `own`, which is one of `routers`.
///
/// The routers of a zone form a heap ordered by priority. If there are more zones than
/// the fan-out, the roots of a region's zones form a heap as well. The remaining roots
/// are peers of each other.
pub(super) fn position<'a>(own: &Router, routers: &[&'a Router], limits: &Limits) -> Position<'a> {
    if routers.len() <= limits.max_full_mesh {
        return Position::Root(others(own, routers.iter().copied()));
    }
    let in_zone = routers.iter().copied().filter(|r| zone(r) == zone(own));
    if let Some(parent) = parent(own, in_zone, limits.fanout) {
        return Position::Child(parent);
    }
    let zones = group_roots(routers.iter().copied(), zone);
    if zones.len() <= limits.fanout {
        return Position::Root(others(own, zones.into_iter()));
    }
    let in_region = zones.iter().copied().filter(|r| r.region == own.region);
    if let Some(parent) = parent(own, in_region, limits.fanout) {
        return Position::Child(parent);
    }
    let regions = group_roots(zones.into_iter(), |router| (router.region.as_str(), ""));
    Position::Root(others(own, regions.into_iter()))
}

/// Whether `own` is one of the `count` routers with the highest priority in its zone.
pub(super) fn is_among_first<'a>(
    own: &Router,
    routers: impl Iterator<Item = &'a Router>,
    count: usize,
) -> bool {
    let in_zone = routers.filter(|r| zone(r) == zone(own));
    in_zone.filter(|r| r.priority() > own.priority()).count() < count
}

fn zone(router: &Router) -> (&str, &str) {
    (&router.region, &router.zone)
}

fn others<'a>(own: &Router, routers: impl Iterator<Item = &'a Router>) -> Vec<&'a Router> {
    routers.filter(|router| router.name != own.name).collect()
}

/// The parent in a heap ordered by priority; `None` for the root.
fn parent<'a>(
    own: &Router,
    routers: impl Iterator<Item = &'a Router>,
    fanout: usize,
) -> Option<&'a Router> {
    let mut above: Vec<&Router> = routers.filter(|r| r.priority() > own.priority()).collect();
    above.sort_unstable_by_key(|router| Reverse(router.priority()));
    let index = above.len();
    let parent = index.checked_sub(1)? / fanout.max(1);
    Some(above[parent])
}

/// The router with the highest priority in each group.
fn group_roots<'a>(
    routers: impl Iterator<Item = &'a Router>,
    group: impl Fn(&'a Router) -> (&'a str, &'a str),
) -> Vec<&'a Router> {
    let mut groups: BTreeMap<(&str, &str), &Router> = BTreeMap::new();
    for router in routers {
        let root = groups.entry(group(router)).or_insert(router);
        if router.priority() > root.priority() {
            *root = router;
        }
    }
    groups.into_values().collect()
}
