//! Single decisions about a part.

use googletest::prelude::*;
use mulberryyoke_decide::engine::PartId;
use mulberryyoke_decide::quarantine::parts::{Failure, Parts, Report, SETTLING_MS, Subject};
use mulberryyoke_decide::quarantine::{CONVICTION_THRESHOLD, Verdict};
use mulberryyoke_model::{ServerId, VersionId};
use smallvec::SmallVec;

const OLD: VersionId = VersionId(1);
const NEW: VersionId = VersionId(2);

/// Quarantine times before the first, second and third trial, in milliseconds.
const QUARANTINE_MS: [u64; 3] = [2_000, 60_000, 120_000];

fn part(id: u64) -> PartId {
    PartId::new("model", id)
}

fn subject(id: u64) -> Subject {
    Subject {
        part: part(id),
        version: OLD,
    }
}

fn failure(parts: &[u64], at: u64) -> Failure {
    Failure {
        parts: parts.iter().map(|id| part(*id)).collect(),
        at,
        began_at: None,
        is_silence: false,
    }
}

/// Crashes a server that is running a prompt with these parts, and advances the time by 200 ms.
fn crash(parts: &mut Parts, server: (u32, VersionId), prompt: &[u64], now: &mut u64) {
    let server = (ServerId(server.0), server.1);
    parts.record_failure(server.0, failure(prompt, *now));
    parts.record_crash(server, *now, *now);
    *now += 200;
}

fn convict(parts: &mut Parts, prompt: &[u64], now: &mut u64) {
    for server in 1..=CONVICTION_THRESHOLD {
        crash(parts, (server, OLD), prompt, now);
    }
}

fn is_convicted(parts: &Parts, id: u64, now: u64) -> bool {
    matches!(parts.verdict(subject(id), now), Verdict::Convicted { .. })
}

#[gtest]
fn the_third_crash_convicts_the_part_that_no_sound_run_shares() {
    let (mut parts, mut now) = (Parts::default(), 1_000);
    for server in 1..=CONVICTION_THRESHOLD {
        expect_that!(parts.verdict(subject(2), now), eq(Verdict::Clear));
        let own = u64::from(100 + server);
        crash(&mut parts, (server, OLD), &[1, 2, own], &mut now);
        parts.record_run(&[part(1), part(9)], OLD, now, now);
    }
    expect_that!(is_convicted(&parts, 2, now), eq(true));
    for sound in [1, 101, 102, 103] {
        expect_that!(parts.verdict(subject(sound), now), eq(Verdict::Clear));
    }
    expect_that!(parts.verdicts(&[part(1), part(2)], now), len(eq(1)));
}

#[gtest]
fn a_prompt_whose_answer_had_been_written_for_long_is_no_cause() {
    for (written_ms, has_crash) in [(0, true), (SETTLING_MS - 1, true), (SETTLING_MS, false)] {
        let (mut parts, now) = (Parts::default(), 10_000);
        let failure = Failure {
            began_at: Some(now - written_ms),
            ..failure(&[1], now)
        };
        parts.record_failure(ServerId(1), failure);
        parts.record_crash((ServerId(1), OLD), now, now);
        expect_that!(parts.has_crashes(&[part(1)], OLD), eq(has_crash));
    }
}

#[gtest]
fn a_silent_server_that_responds_later_had_not_crashed() {
    for (heard_at, has_crash) in [(900, true), (1_400, false)] {
        let mut parts = Parts::default();
        let failure = Failure {
            is_silence: true,
            ..failure(&[1], 1_000)
        };
        parts.record_failure(ServerId(1), failure);
        parts.record_crash((ServerId(1), OLD), heard_at, 5_000);
        expect_that!(parts.has_crashes(&[part(1)], OLD), eq(has_crash));
    }
}

#[gtest]
fn crashes_of_many_servers_at_once_count_as_one() {
    let (mut parts, mut now) = (Parts::default(), 1_000);
    for server in 0..12 {
        let at = now;
        crash(&mut parts, (server, OLD), &[1, 2], &mut now);
        now = at + 5;
    }
    expect_that!(parts.verdict(subject(1), now), eq(Verdict::Clear));
    expect_that!(parts.has_crashes(&[part(1)], OLD), eq(true));
}

#[gtest]
fn another_version_neither_clears_a_part_nor_is_barred() {
    let (mut parts, mut now) = (Parts::default(), 1_000);
    for server in 1..=CONVICTION_THRESHOLD {
        crash(&mut parts, (server, OLD), &[1], &mut now);
        parts.record_run(&[part(1)], NEW, now, now);
    }
    expect_that!(is_convicted(&parts, 1, now), eq(true));
    let on_new = Subject {
        part: part(1),
        version: NEW,
    };
    expect_that!(parts.verdict(on_new, now), eq(Verdict::Clear));
    expect_that!(parts.record_run(&[part(1)], OLD, now, now), len(eq(1)));
    expect_that!(parts.verdict(subject(1), now), eq(Verdict::Clear));
}

#[gtest]
fn one_copy_is_tried_after_the_quarantine_which_grows_with_each_crash() {
    let (mut parts, mut now) = (Parts::default(), 1_000);
    convict(&mut parts, &[1], &mut now);
    for (crashes, quarantine_ms) in (CONVICTION_THRESHOLD + 1..).zip(QUARANTINE_MS) {
        let crashed_at = now - 200;
        expect_that!(
            parts.admit(subject(1), crashed_at + quarantine_ms - 1),
            eq(false)
        );
        now = crashed_at + quarantine_ms;
        expect_that!(parts.admit(subject(1), now), eq(true));
        expect_that!(parts.admit(subject(1), now), eq(false));
        crash(&mut parts, (crashes, OLD), &[1], &mut now);
        expect_that!(parts.verdict(subject(1), now).crashes(), eq(crashes));
    }
}

#[gtest]
fn a_trial_that_ends_well_clears_the_part() {
    let (mut parts, mut now) = (Parts::default(), 1_000);
    convict(&mut parts, &[1], &mut now);
    now += QUARANTINE_MS[0];
    expect_that!(parts.admit(subject(1), now), eq(true));
    expect_that!(parts.record_run(&[part(1)], OLD, now, now), len(eq(1)));
    expect_that!(parts.admit(subject(1), now), eq(true));
    expect_that!(parts.admit(subject(1), now), eq(true));
}

#[gtest]
fn merging_is_idempotent_and_commutative_and_late_reports_do_not_count() {
    let mut now = 1_000;
    let mut sources = [(); 3].map(|()| Parts::default());
    for (server, source) in (0..).zip(&mut sources) {
        crash(source, (server, OLD), &[1], &mut now);
    }
    let reports = sources
        .each_ref()
        .map(|source| source.report(subject(1), now));
    for order in [[0, 1, 2], [2, 1, 0], [1, 1, 0]] {
        let mut receiver = Parts::default();
        for index in order.into_iter().chain([2, 0]) {
            receiver.merge(&reports[index], now);
        }
        expect_that!(is_convicted(&receiver, 1, now), eq(true), "{order:?}");
        receiver.record_run(&[part(1)], OLD, now, now);
        let [cleared] = &receiver.updates(now)[..] else {
            panic!("one report");
        };
        expect_that!(receiver.merge(&reports[0], now), eq(false));
        expect_that!(sources[0].clone().merge(cleared, now), eq(true));
        expect_that!(receiver.verdict(subject(1), now), eq(Verdict::Clear));
    }
}

#[gtest]
fn a_run_of_a_part_without_crashes_is_not_kept_or_told() {
    let mut parts = Parts::default();
    parts.record_run(&[part(1)], OLD, 1_000, 1_000);
    let report = Report {
        run_age_ms: Some(1),
        ..Report::new(subject(2))
    };
    expect_that!(parts.merge(&report, 1_000), eq(false));
    expect_that!(parts.is_empty(), eq(true));
}

#[gtest]
fn memory_and_updates_are_bounded_under_a_flood_of_distinct_parts() {
    let (mut parts, mut now) = (Parts::default(), 1_000);
    convict(&mut parts, &[1], &mut now);
    for server in 0..200 {
        let first = 1_000 + u64::from(server) * 64;
        let prompt: SmallVec<[u64; 64]> = (first..first + 64).collect();
        let at = now;
        crash(&mut parts, (10 + server, OLD), &prompt, &mut now);
        now = at + 1;
    }
    for version in 10..30 {
        crash(&mut parts, (version, VersionId(version)), &[1], &mut now);
    }
    expect_that!(parts.len(), le(4_096));
    expect_that!(parts.verdicts(&[part(1)], now), len(eq(1)));
    parts.tell_again(now);
    expect_that!(parts.updates(now), len(le(96)));
    expect_that!(parts.updates(now)[0].subject, eq(subject(1)));
    parts.expire(now + 600_000);
    expect_that!(parts.is_empty(), eq(true));
}

#[gtest]
fn an_operator_lifts_a_conviction() {
    let (mut parts, mut now) = (Parts::default(), 1_000);
    convict(&mut parts, &[1], &mut now);
    expect_that!(parts.clear(subject(1), now), eq(CONVICTION_THRESHOLD));
    expect_that!(parts.verdict(subject(1), now), eq(Verdict::Clear));
    expect_that!(parts.clear(subject(1), now), eq(0));
}

#[gtest]
fn a_part_id_survives_its_text_form() {
    expect_that!(PartId::parse(&part(7).to_string()), some(eq(part(7))));
    expect_that!(PartId::parse("7"), none());
}
