//! Reports of sidecars to their collector.

use std::collections::HashMap;

use mulberryyoke_model::{Incarnation, Millis, Report};

use super::Account;

#[derive(Debug, Default)]
struct Source {
    sequence: u64,
    heard_at: Millis,
    /// Accounts of the last report.
    latest: Vec<Account>,
    tokens: HashMap<Account, u64>,
}

/// What sidecars have reported to this router.
#[derive(Debug, Default)]
pub(super) struct Collector(HashMap<Incarnation, Source>);

impl Collector {
    /// Counts a report and tells what grew. A report counts if it is the first of the
    /// sidecar's life or follows the one counted last. Another one shows that reports
    /// went elsewhere or were lost in between: counting begins anew at its values.
    /// Returns the sequence number of the last report counted.
    pub(super) fn collect(
        &mut self,
        sidecar: Incarnation,
        report: &Report,
        now: Millis,
        mut grown: impl FnMut(Account, u64),
    ) -> u64 {
        let source = self.0.entry(sidecar).or_default();
        source.heard_at = now;
        if report.sequence <= source.sequence {
            return source.sequence;
        }
        let follows = report.sequence == source.sequence + 1;
        source.sequence = report.sequence;
        source.latest.clear();
        for usage in &report.usage {
            let account = Account::of(usage);
            let held = source.tokens.entry(account).or_default();
            if follows && usage.tokens > *held {
                grown(account, usage.tokens - *held);
            }
            *held = usage.tokens.max(*held);
            source.latest.push(account);
        }
        source.sequence
    }

    /// Accounts of the last report of a sidecar.
    pub(super) fn latest(&self, sidecar: Incarnation) -> &[Account] {
        self.0
            .get(&sidecar)
            .map_or(&[], |source| source.latest.as_slice())
    }

    /// How old what is known of each sidecar is, in milliseconds, as far as it was heard
    /// of late.
    pub(super) fn ages(&self, now: Millis, fresh_ms: Millis) -> impl Iterator<Item = Millis> {
        let sources = self.0.values();
        let ages = sources.map(move |source| now.saturating_sub(source.heard_at));
        ages.filter(move |age_ms| *age_ms <= fresh_ms)
    }

    /// Forgets the lives not heard since an instant.
    pub(super) fn forget(&mut self, before: Millis) {
        self.0.retain(|_, source| source.heard_at >= before);
    }
}
