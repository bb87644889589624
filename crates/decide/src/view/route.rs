//! Table of the plain services' routes.

use std::cmp::Reverse;

use mulberryyoke_model::{PoolId, Route};

/// Method that matches any.
const ANY: &str = "*";

#[derive(Debug)]
struct Row {
    method: String,
    prefix: String,
    pool: PoolId,
    index: usize,
}

/// Routes of all pools, the most specific first once sorted.
#[derive(Debug, Default)]
pub(super) struct Table(Vec<Row>);

impl Table {
    pub(super) fn add(&mut self, pool: PoolId, routes: &[Route]) {
        let rows = routes.iter().enumerate().map(|(index, route)| Row {
            method: route.method.clone(),
            prefix: route.prefix.clone(),
            pool,
            index,
        });
        self.0.extend(rows);
    }

    pub(super) fn sort(&mut self) {
        self.0
            .sort_by_key(|row| (Reverse(row.prefix.len()), row.method == ANY));
    }

    /// The pool and the index of the route in it.
    pub(super) fn find(&self, method: &str, path: &str) -> Option<(PoolId, usize)> {
        let mut rows = self.0.iter();
        let row = rows.find(|row| row.matches(method, path))?;
        Some((row.pool, row.index))
    }
}

impl Row {
    fn matches(&self, method: &str, path: &str) -> bool {
        let any = self.method == ANY || self.method == method;
        any && has_prefix(path, &self.prefix)
    }
}

/// Whether a path begins with a prefix that ends at the end of a segment.
fn has_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}
