//! Resolution of compare-and-swap writes whose response was lost.

use googletest::prelude::*;
use mulberryyoke_decide::cas::{MAX_HISTORY, Outcome, find, history, resolve};
use mulberryyoke_model::{Entry, Revision};

const OWN: u64 = 7;

/// Expected revision, commands with their revisions, outcome.
type Row<'a> = (Option<Revision>, &'a [(u64, Revision)], Outcome);

/// Returns the entry after writes of these commands at these revisions, oldest first.
fn after(writes: &[(u64, Revision)]) -> (Entry, Revision) {
    let mut held: Option<(Entry, Revision)> = None;
    for (command, revision) in writes {
        let earlier = held.as_ref().map(|(entry, at)| history(entry, *at));
        let entry = Entry {
            command: *command,
            earlier: earlier.unwrap_or_default(),
            ..Entry::default()
        };
        held = Some((entry, *revision));
    }
    held.expect("at least one write")
}

const fn written(revision: Revision, replaced: Option<Revision>) -> Outcome {
    Outcome::Written { revision, replaced }
}

#[gtest]
fn outcomes_follow_from_the_current_entry() {
    let table: [Row; 7] = [
        (None, &[(OWN, 5)], written(5, None)),
        (Some(4), &[(1, 4), (OWN, 5)], written(5, None)),
        (Some(4), &[(1, 4), (OWN, 5), (2, 9)], written(5, Some(9))),
        (Some(4), &[(1, 4)], Outcome::NotApplied),
        (Some(4), &[(1, 4), (2, 9)], Outcome::Conflict),
        (None, &[(2, 9), (3, 10)], Outcome::Conflict),
        // An older state, in which the expected revision never existed.
        (Some(4), &[(1, 3)], Outcome::Unknown),
    ];
    for (expected, writes, outcome) in table {
        let (entry, revision) = after(writes);
        let found = resolve(OWN, expected, Some((&entry, revision)));
        expect_that!(found, eq(outcome), "{expected:?} {writes:?}");
    }
    expect_that!(resolve(OWN, None, None), eq(Outcome::NotApplied));
    expect_that!(resolve(OWN, Some(4), None), eq(Outcome::Unknown));
}

#[gtest]
fn outcomes_are_known_as_far_back_as_the_history() {
    let max_history = u64::try_from(MAX_HISTORY).expect("a small number");
    for later in 0..max_history + 3 {
        let mut writes = vec![(1, 4), (OWN, 5)];
        writes.extend((0..later).map(|n| (100 + n, 6 + n)));
        let (entry, revision) = after(&writes);
        let replaced = (later > 0).then_some(revision);
        let known = (later <= max_history).then_some(written(5, replaced));
        expect_that!(find(OWN, &entry, revision), eq(known), "after {later}");
        let outcome = known.unwrap_or(Outcome::Unknown);
        let found = resolve(OWN, Some(4), Some((&entry, revision)));
        expect_that!(found, eq(outcome), "after {later}");
        expect_that!(entry.earlier.len(), le(MAX_HISTORY));
    }
}
