//! Usage reports of sidecars.

use std::collections::HashMap;

use mulberryyoke_model::{Incarnation, Millis, Report};

use super::Account;

#[derive(Debug, Default)]
struct Source {
    sequence: u64,
    received_at: Millis,
    /// Accounts in the last report.
    last_reported: Vec<Account>,
    tokens: HashMap<Account, u64>,
}

/// Usage reported to this router, by sidecar instance.
#[derive(Debug, Default)]
pub(super) struct Collector(HashMap<Incarnation, Source>);

impl Collector {
    /// Processes a report and calls `on_growth` for each counter that has grown. Growth
    /// is counted only if the report directly follows the previous one or is the first
    /// of its sidecar instance. After a gap, reports were lost or went to another
    /// collector, and the values become the new baseline. Returns the sequence number
    /// of the last report processed.
    pub(super) fn collect(
        &mut self,
        sidecar: Incarnation,
        report: &Report,
        now: Millis,
        mut on_growth: impl FnMut(Account, u64),
    ) -> u64 {
        let source = self.0.entry(sidecar).or_default();
        source.received_at = now;
        if report.sequence <= source.sequence {
            return source.sequence;
        }
        let is_consecutive = report.sequence == source.sequence + 1;
        source.sequence = report.sequence;
        source.last_reported.clear();
        for usage in &report.usage {
            let account = Account::of(usage);
            let tokens = source.tokens.entry(account).or_default();
            if is_consecutive && usage.tokens > *tokens {
                on_growth(account, usage.tokens - *tokens);
            }
            *tokens = usage.tokens.max(*tokens);
            source.last_reported.push(account);
        }
        source.sequence
    }

    /// Accounts in the last report of a sidecar.
    pub(super) fn last_reported(&self, sidecar: Incarnation) -> &[Account] {
        self.0
            .get(&sidecar)
            .map_or(&[], |source| source.last_reported.as_slice())
    }

    /// Time since the last report of each sidecar, in milliseconds, if not above
    /// `fresh_ms`.
    pub(super) fn ages(&self, now: Millis, fresh_ms: Millis) -> impl Iterator<Item = Millis> {
        let sources = self.0.values();
        let ages = sources.map(move |source| now.saturating_sub(source.received_at));
        ages.filter(move |age_ms| *age_ms <= fresh_ms)
    }

    /// Drops sidecar instances without a report since `cutoff`.
    pub(super) fn expire(&mut self, cutoff: Millis) {
        self.0.retain(|_, source| source.received_at >= cutoff);
    }
}
