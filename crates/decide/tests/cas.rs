//! What a later reading tells of a write whose answer was lost.

use googletest::prelude::*;
use mulberryyoke_decide::cas::{MAX_HISTORY, Outcome, find, history, resolve};
use mulberryyoke_model::{Entry, Revision};

const MINE: u64 = 7;

/// Expected revision, commands with their revisions, what is told.
type Row<'a> = (Option<Revision>, &'a [(u64, Revision)], Outcome);

/// The entry left by writes of these commands at these revisions, oldest first.
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
    held.expect("there is a write")
}

const fn written(revision: Revision, replaced: Option<Revision>) -> Outcome {
    Outcome::Written { revision, replaced }
}

#[gtest]
fn settles_by_what_is_there() {
    let table: [Row; 7] = [
        (None, &[(MINE, 5)], written(5, None)),
        (Some(4), &[(1, 4), (MINE, 5)], written(5, None)),
        (Some(4), &[(1, 4), (MINE, 5), (2, 9)], written(5, Some(9))),
        (Some(4), &[(1, 4)], Outcome::NotApplied),
        (Some(4), &[(1, 4), (2, 9)], Outcome::Conflict),
        (None, &[(2, 9), (3, 10)], Outcome::Conflict),
        // Older contents: what was expected was never there.
        (Some(4), &[(1, 3)], Outcome::Unknown),
    ];
    for (expected, writes, settled) in table {
        let (entry, revision) = after(writes);
        let found = resolve(MINE, expected, Some((&entry, revision)));
        expect_that!(found, eq(settled), "{expected:?} {writes:?}");
    }
    expect_that!(resolve(MINE, None, None), eq(Outcome::NotApplied));
    expect_that!(resolve(MINE, Some(4), None), eq(Outcome::Unknown));
}

#[gtest]
fn settles_only_as_far_back_as_writes_are_kept() {
    let kept = u64::try_from(MAX_HISTORY).expect("a small number");
    for later in 0..kept + 3 {
        let mut writes = vec![(1, 4), (MINE, 5)];
        writes.extend((0..later).map(|n| (100 + n, 6 + n)));
        let (entry, revision) = after(&writes);
        let replaced = (later > 0).then_some(revision);
        let known = (later <= kept).then_some(written(5, replaced));
        expect_that!(find(MINE, &entry, revision), eq(known), "after {later}");
        let settled = known.unwrap_or(Outcome::Unknown);
        let found = resolve(MINE, Some(4), Some((&entry, revision)));
        expect_that!(found, eq(settled), "after {later}");
        expect_that!(entry.earlier.len(), le(MAX_HISTORY));
    }
}
