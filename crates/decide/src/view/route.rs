//! Routing table of the plain services.

use std::cmp::Reverse;

use mulberryyoke_model::{PoolId, Route};

/// Wildcard that matches any method.
const ANY_METHOD: &str = "*";

#[derive(Debug)]
struct Entry {
    method: String,
    prefix: String,
    pool: PoolId,
    index: usize,
}

/// Routes of all pools; after sorting, the most specific first.
#[derive(Debug, Default)]
pub(super) struct Table(Vec<Entry>);

impl Table {
    pub(super) fn add(&mut self, pool: PoolId, routes: &[Route]) {
        let entries = routes.iter().enumerate().map(|(index, route)| Entry {
            method: route.method.clone(),
            prefix: route.prefix.clone(),
            pool,
            index,
        });
        self.0.extend(entries);
    }

    pub(super) fn sort(&mut self) {
        self.0
            .sort_by_key(|entry| (Reverse(entry.prefix.len()), entry.method == ANY_METHOD));
    }

    /// The pool of the first match, and the index of the route in the pool.
    pub(super) fn find(&self, method: &str, path: &str) -> Option<(PoolId, usize)> {
        let mut entries = self.0.iter();
        let entry = entries.find(|entry| entry.matches(method, path))?;
        Some((entry.pool, entry.index))
    }
}

impl Entry {
    fn matches(&self, method: &str, path: &str) -> bool {
        let is_method = self.method == ANY_METHOD || self.method == method;
        is_method && has_prefix(path, &self.prefix)
    }
}

/// Whether `prefix` matches whole leading segments of `path`.
fn has_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}
