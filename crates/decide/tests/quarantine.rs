//! Detection and quarantine of poison requests, simulated without servers.

use std::collections::HashSet;

use googletest::prelude::*;
use mulberryyoke_decide::quarantine::{
    CONVICTION_THRESHOLD, Failure, Quarantine, Suspect, Verdict, arbiter,
};
use mulberryyoke_model::{Digest, ServerId, VersionId};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const POISON: Digest = Digest(1);

const OLD: VersionId = VersionId(1);
const NEW: VersionId = VersionId(2);

/// Initial quarantine time, in milliseconds.
const BASE_QUARANTINE_MS: u64 = 60_000;

/// The failure of a request whose response broke off.
const fn broken(digest: Digest, at: u64) -> Failure {
    Failure {
        digest,
        at,
        is_silence: false,
    }
}

/// Crashes a server of the old version that is running these requests and advances the time by
/// 100 ms.
fn crash(quarantine: &mut Quarantine, server: u32, requests: &[Digest], now: &mut u64) {
    crash_on(quarantine, (server, OLD), requests, now);
}

fn crash_on(
    quarantine: &mut Quarantine,
    (server, version): (u32, VersionId),
    requests: &[Digest],
    now: &mut u64,
) {
    for digest in requests {
        quarantine.record_failure(ServerId(server), broken(*digest, *now));
    }
    quarantine.record_crash((ServerId(server), version), *now, *now);
    *now += 100;
}

#[gtest]
fn the_third_crash_convicts_and_a_failure_without_a_crash_is_no_evidence() {
    let (mut quarantine, mut now) = (Quarantine::default(), 1_000);
    for server in 0..9 {
        quarantine.record_failure(ServerId(100 + server), broken(POISON, now));
    }
    expect_that!(quarantine.verdict(POISON, now), eq(Verdict::Clear));
    for crashes in 1..CONVICTION_THRESHOLD {
        crash(&mut quarantine, crashes, &[POISON], &mut now);
        expect_that!(
            quarantine.verdict(POISON, now),
            eq(Verdict::Suspect { crashes })
        );
    }
    crash(&mut quarantine, CONVICTION_THRESHOLD, &[POISON], &mut now);
    let verdict = quarantine.verdict(POISON, now);
    let is_convicted = matches!(
        verdict,
        Verdict::Convicted {
            crashes: CONVICTION_THRESHOLD,
            ..
        }
    );
    expect_that!(is_convicted, eq(true));
    expect_that!(quarantine.admit(POISON, now), eq(false));
}

#[gtest]
fn a_success_clears_and_late_reports_of_earlier_crashes_do_not_count() {
    let (mut local, mut remote, mut now) = (Quarantine::default(), Quarantine::default(), 1_000);
    crash(&mut local, 1, &[POISON], &mut now);
    crash(&mut local, 2, &[POISON], &mut now);
    let early = local.snapshot(POISON, now);
    remote.merge(&early, |_| Some(OLD), now);
    expect_that!(remote.verdict(POISON, now).crashes(), eq(2));
    now += 500;
    expect_that!(local.record_success(POISON, OLD, now), eq(2));
    remote.merge(&local.snapshot(POISON, now), |_| Some(OLD), now);
    remote.merge(&early, |_| Some(OLD), now + 49);
    now += 50;
    expect_that!(remote.verdict(POISON, now), eq(Verdict::Clear));
    crash(&mut remote, 3, &[POISON], &mut now);
    expect_that!(remote.verdict(POISON, now).crashes(), eq(1));
}

#[gtest]
fn a_popular_request_that_succeeds_between_crashes_is_not_convicted() {
    let (mut quarantine, mut now) = (Quarantine::default(), 1_000);
    for server in 0..200 {
        crash(&mut quarantine, server, &[POISON], &mut now);
        quarantine.record_success(POISON, OLD, now);
        expect_that!(quarantine.verdict(POISON, now), eq(Verdict::Clear));
    }
}

#[gtest]
fn a_mass_crash_is_no_evidence() {
    let (mut quarantine, mut now) = (Quarantine::default(), 1_000);
    for kill in 0..5 {
        let at = now;
        for server in 0..4 {
            let request = Digest(u128::from(server) + 1);
            quarantine.record_failure(ServerId(10 * kill + server), broken(request, now));
            quarantine.record_crash((ServerId(10 * kill + server), OLD), now, now);
            now += 5;
        }
        now = at + 3_000;
    }
    for request in 1..=4 {
        expect_that!(quarantine.verdict(Digest(request), now), eq(Verdict::Clear));
    }
}

#[gtest]
fn one_copy_of_a_suspect_runs_at_a_time() {
    let (mut quarantine, mut now) = (Quarantine::default(), 1_000);
    crash(&mut quarantine, 1, &[POISON], &mut now);
    expect_that!(quarantine.admit(POISON, now), eq(true));
    expect_that!(quarantine.admit(POISON, now), eq(false));
    expect_that!(quarantine.admit(Digest(2), now), eq(true));
    // A late report of a crash caused by another copy does not end the probe.
    let mut other = Quarantine::default();
    crash(&mut other, 2, &[POISON], &mut (now - 50));
    quarantine.merge(&other.snapshot(POISON, now), |_| Some(OLD), now);
    expect_that!(quarantine.admit(POISON, now), eq(false));
    // The probing copy crashes a server itself.
    crash(&mut quarantine, 3, &[POISON], &mut now);
    expect_that!(quarantine.verdict(POISON, now).crashes(), eq(3));
    quarantine.record_success(POISON, OLD, now);
    expect_that!(quarantine.admit(POISON, now), eq(true));
    expect_that!(quarantine.admit(POISON, now), eq(true));
}

#[gtest]
fn a_copy_whose_server_crashed_may_be_retried_at_once() {
    let (mut quarantine, mut now) = (Quarantine::default(), 1_000);
    crash(&mut quarantine, 1, &[POISON], &mut now);
    expect_that!(quarantine.admit(POISON, now), eq(true));
    crash(&mut quarantine, 2, &[POISON], &mut now);
    expect_that!(quarantine.admit(POISON, now), eq(true));
    expect_that!(quarantine.admit(POISON, now), eq(false));
}

#[gtest]
fn quarantine_ends_with_one_probe_and_doubles_if_that_crashes() {
    let (mut quarantine, mut now) = (Quarantine::default(), 1_000);
    for server in 0..CONVICTION_THRESHOLD {
        crash(&mut quarantine, server, &[POISON], &mut now);
    }
    now += BASE_QUARANTINE_MS;
    expect_that!(quarantine.admit(POISON, now), eq(true));
    expect_that!(quarantine.admit(POISON, now), eq(false));
    crash(&mut quarantine, CONVICTION_THRESHOLD, &[POISON], &mut now);
    now += 2 * BASE_QUARANTINE_MS - 1_000;
    expect_that!(quarantine.admit(POISON, now), eq(false));
    expect_that!(quarantine.admit(POISON, now + 1_000), eq(true));
}

#[gtest]
fn merging_is_idempotent_and_commutative() {
    let mut now = 1_000;
    let mut sources = [(); 3].map(|()| Quarantine::default());
    for (server, source) in (0..).zip(&mut sources) {
        crash(source, server, &[POISON], &mut now);
    }
    let reports: Vec<Suspect> = sources
        .iter()
        .map(|source| source.snapshot(POISON, now))
        .collect();
    for order in [[0, 1, 2], [2, 1, 0], [1, 1, 0]] {
        let mut receiver = Quarantine::default();
        for index in order.into_iter().chain([2, 0]) {
            receiver.merge(&reports[index], |_| Some(OLD), now);
        }
        expect_that!(receiver.verdict(POISON, now).crashes(), eq(3), "{order:?}");
        expect_that!(receiver.updates(now), len(eq(1)));
    }
}

#[gtest]
fn memory_and_updates_are_bounded_under_a_flood_of_distinct_requests() {
    let (mut quarantine, mut now) = (Quarantine::default(), 1_000);
    for server in 0..CONVICTION_THRESHOLD {
        crash(&mut quarantine, server, &[POISON], &mut now);
    }
    for server in 0..100 {
        let first = 1_000 + u128::from(server) * 64;
        let requests: Vec<Digest> = (first..first + 64).map(Digest).collect();
        crash(&mut quarantine, 10 + server, &requests, &mut now);
    }
    expect_that!(quarantine.len(), le(4_096));
    expect_that!(quarantine.updates(now), len(le(64)));
    expect_that!(quarantine.verdict(POISON, now).crashes(), eq(3));
    quarantine.expire(now + 600_000);
    expect_that!(quarantine.is_empty(), eq(true));
}

#[gtest]
fn gateways_with_the_same_members_agree_on_the_arbiter() {
    let names = ["a", "b", "c", "d"];
    let mut chosen = HashSet::new();
    for subject in 0..100 {
        let digest = Digest(subject);
        let one = arbiter(digest, names.into_iter());
        expect_that!(arbiter(digest, names.into_iter().rev()), eq(one));
        chosen.insert(one);
    }
    expect_that!(chosen.len(), eq(4));
}

/// A request running on a simulated server.
#[derive(Clone, Copy, Debug)]
struct Run {
    digest: Digest,
    until: u64,
    is_isolated: bool,
}

/// Chooses a random server; for an isolated request one without another such, if possible.
fn choose(servers: &[Vec<Run>], is_isolated: bool, rng: &mut ChaCha8Rng) -> usize {
    let all: Vec<usize> = (0..servers.len()).collect();
    let has_no_isolated = |index: &&usize| servers[**index].iter().all(|run| !run.is_isolated);
    let eligible: Vec<usize> = all.iter().filter(has_no_isolated).copied().collect();
    let among = if is_isolated && !eligible.is_empty() {
        &eligible
    } else {
        &all
    };
    *among.choose(rng).expect("a server")
}

/// Simulates a pool of twelve servers with forty requests each for ten seconds, while a poison
/// request arrives four times a second. Requests run for one to five seconds; after a crash they
/// are retried on another server, and isolated from the second crash on. Returns the number of
/// crashes and of wrongly convicted requests. Every other server has the new version if there are
/// `versions`.
fn simulate(seed: u64, versions: &[VersionId]) -> (u32, usize) {
    let version_of = |server: usize| versions[server % versions.len()];
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let mut servers: Vec<Vec<Run>> = vec![Vec::new(); 12];
    let (mut now, mut next, mut crashes) = (1_000, 1_000, 0);
    for step in 0..400 {
        now += 25;
        for (index, server) in servers.iter_mut().enumerate() {
            for run in server.extract_if(.., |run| run.until <= now) {
                quarantine.record_success(run.digest, version_of(index), now);
            }
            while server.len() < 40 {
                next += 1;
                server.push(Run {
                    digest: Digest(next),
                    until: now + rng.random_range(1_000..5_000),
                    is_isolated: false,
                });
            }
        }
        if step % 10 != 0 || !quarantine.admit(POISON, now) {
            continue;
        }
        let is_isolated = quarantine.verdict(POISON, now).crashes() >= 2;
        let index = choose(&servers, is_isolated, &mut rng);
        let neighbours: Vec<Digest> = servers[index].drain(..).map(|run| run.digest).collect();
        crashes += 1;
        let failed: Vec<Digest> = neighbours.iter().copied().chain([POISON]).collect();
        let server = (crashes, version_of(index));
        crash_on(&mut quarantine, server, &failed, &mut now);
        for digest in neighbours {
            if quarantine.admit(digest, now) {
                let is_isolated = quarantine.verdict(digest, now).crashes() >= 2;
                let index = choose(&servers, is_isolated, &mut rng);
                let until = now + rng.random_range(1_000..5_000);
                servers[index].push(Run {
                    digest,
                    until,
                    is_isolated,
                });
            }
        }
    }
    let is_convicted = |digest: &u128| {
        let verdict = quarantine.verdict(Digest(*digest), now);
        matches!(verdict, Verdict::Convicted { .. })
    };
    (crashes, (1_001..=next).filter(is_convicted).count())
}

#[gtest]
fn few_innocent_requests_are_convicted() {
    for versions in [&[OLD][..], &[OLD, NEW]] {
        let runs = (0..100).map(|seed| simulate(seed, versions));
        let runs: Vec<(u32, usize)> = runs.collect();
        let most = runs.iter().map(|(crashes, _)| *crashes).max();
        expect_that!(most, some(le(CONVICTION_THRESHOLD)));
        let innocent: usize = runs.iter().map(|(_, convicted)| convicted).sum();
        expect_that!(innocent, le(3), "convicted in 100 runs, {versions:?}");
    }
}

#[gtest]
fn a_success_on_another_version_permits_runs_until_the_next_crash_and_clears_nothing() {
    let (mut quarantine, mut now) = (Quarantine::default(), 1_000);
    for crashes in 1..CONVICTION_THRESHOLD {
        crash_on(&mut quarantine, (crashes, NEW), &[POISON], &mut now);
        let verdict = quarantine.verdict(POISON, now);
        expect_that!(verdict, eq(Verdict::Suspect { crashes }));
        expect_that!(quarantine.record_success(POISON, OLD, now), eq(0));
        expect_that!(quarantine.verdict(POISON, now), eq(Verdict::Clear));
        now += 100;
    }
    crash_on(&mut quarantine, (9, NEW), &[POISON], &mut now);
    let verdict = quarantine.verdict(POISON, now);
    expect_that!(verdict.crashes(), eq(CONVICTION_THRESHOLD));
    expect_that!(quarantine.admit(POISON, now), eq(false));
    // Another gateway that learns of the crashes counts them together as well.
    let mut other = Quarantine::default();
    other.merge(&quarantine.snapshot(POISON, now), |_| Some(NEW), now);
    expect_that!(
        other.verdict(POISON, now).crashes(),
        eq(CONVICTION_THRESHOLD)
    );
    expect_that!(
        quarantine.record_success(POISON, NEW, now),
        eq(CONVICTION_THRESHOLD)
    );
    expect_that!(quarantine.verdict(POISON, now), eq(Verdict::Clear));
    other.merge(&quarantine.snapshot(POISON, now), |_| Some(NEW), now);
    expect_that!(other.verdict(POISON, now), eq(Verdict::Clear));
}

#[gtest]
fn a_crash_of_a_server_of_unknown_version_is_cleared_by_any_success() {
    let mut now = 1_000;
    let (mut source, mut quarantine) = (Quarantine::default(), Quarantine::default());
    crash_on(&mut source, (1, NEW), &[POISON], &mut now);
    quarantine.merge(&source.snapshot(POISON, now), |_| None, now);
    expect_that!(quarantine.record_success(POISON, OLD, now), eq(1));
    expect_that!(quarantine.verdict(POISON, now), eq(Verdict::Clear));
}

#[gtest]
fn a_crash_together_with_three_others_is_told_apart() {
    let (mut quarantine, mut now) = (Quarantine::default(), 1_000);
    crash(&mut quarantine, 1, &[POISON], &mut now);
    expect_that!(quarantine.is_mass_crash(ServerId(1)), eq(false));
    now += 3_000;
    for server in 2..=5 {
        let at = now;
        crash(
            &mut quarantine,
            server,
            &[Digest(u128::from(server))],
            &mut now,
        );
        now = at + 5;
    }
    expect_that!(quarantine.is_mass_crash(ServerId(5)), eq(true));
    expect_that!(quarantine.is_mass_crash(ServerId(1)), eq(false));
    expect_that!(quarantine.is_mass_crash(ServerId(9)), eq(false));
}

#[gtest]
fn silence_is_evidence_unless_the_server_responds_after_it() {
    for (heard_at, crashes) in [(900, 1), (1_000, 1), (1_400, 0)] {
        let mut quarantine = Quarantine::default();
        let failure = Failure {
            digest: POISON,
            at: 1_000,
            is_silence: true,
        };
        quarantine.record_failure(ServerId(1), failure);
        quarantine.record_crash((ServerId(1), OLD), heard_at, 5_000);
        let verdict = quarantine.verdict(POISON, 5_000);
        expect_that!(verdict.crashes(), eq(crashes), "{heard_at}");
    }
}

#[gtest]
fn a_response_that_breaks_off_is_evidence_although_the_server_was_silent_before() {
    let mut quarantine = Quarantine::default();
    let silence = Failure {
        digest: POISON,
        at: 1_000,
        is_silence: true,
    };
    quarantine.record_failure(ServerId(1), silence);
    quarantine.record_failure(ServerId(1), broken(POISON, 3_000));
    // The server responded in between.
    quarantine.record_crash((ServerId(1), OLD), 2_000, 3_000);
    expect_that!(quarantine.verdict(POISON, 3_000).crashes(), eq(1));
}

#[gtest]
fn a_gateway_that_starts_later_is_told_of_crashes_that_count() {
    let (mut quarantine, mut now) = (Quarantine::default(), 1_000);
    crash(&mut quarantine, 1, &[POISON, Digest(2)], &mut now);
    quarantine.record_success(Digest(2), OLD, now);
    now += 10_000;
    expect_that!(quarantine.updates(now), is_empty());
    quarantine.tell_again(now);
    let told = quarantine.updates(now);
    expect_that!(told, len(eq(1)));
    expect_that!(told[0].digest, eq(POISON));
}
