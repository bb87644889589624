//! Which requests are held to end servers, replayed without servers.

use std::collections::HashSet;

use googletest::prelude::*;
use mulberryyoke_decide::quarantine::{
    CONVICTION_THRESHOLD, Quarantine, Suspect, Verdict, arbiter,
};
use mulberryyoke_model::{Digest, ServerId};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const BAD: Digest = Digest(1);

/// First time for which a convicted request reaches no server, in milliseconds.
const SENTENCE_MS: u64 = 60_000;

/// Has a server end with these requests; the time goes on by 100 ms.
fn end(quarantine: &mut Quarantine, server: u32, requests: &[Digest], now: &mut u64) {
    for digest in requests {
        quarantine.record_failure(ServerId(server), *digest, *now);
    }
    quarantine.record_crash(ServerId(server), *now);
    *now += 100;
}

#[gtest]
fn a_third_end_convicts_and_a_broken_answer_alone_is_no_evidence() {
    let (mut quarantine, mut now) = (Quarantine::default(), 1_000);
    for server in 0..9 {
        quarantine.record_failure(ServerId(100 + server), BAD, now);
    }
    expect_that!(quarantine.verdict(BAD, now), eq(Verdict::Clear));
    for ended in 1..CONVICTION_THRESHOLD {
        end(&mut quarantine, ended, &[BAD], &mut now);
        expect_that!(
            quarantine.verdict(BAD, now),
            eq(Verdict::Suspect { crashes: ended })
        );
    }
    end(&mut quarantine, CONVICTION_THRESHOLD, &[BAD], &mut now);
    let verdict = quarantine.verdict(BAD, now);
    let is_convicted = matches!(
        verdict,
        Verdict::Convicted {
            crashes: CONVICTION_THRESHOLD,
            ..
        }
    );
    expect_that!(is_convicted, eq(true));
    expect_that!(quarantine.admit(BAD, now), eq(false));
}

#[gtest]
fn a_run_that_ends_well_clears_and_what_is_told_late_of_earlier_ends_counts_no_more() {
    let (mut one, mut other, mut now) = (Quarantine::default(), Quarantine::default(), 1_000);
    end(&mut one, 1, &[BAD], &mut now);
    end(&mut one, 2, &[BAD], &mut now);
    let early = one.snapshot(BAD, now);
    other.merge(&early, now);
    expect_that!(other.verdict(BAD, now).crashes(), eq(2));
    now += 500;
    expect_that!(one.record_success(BAD, now), eq(2));
    other.merge(&one.snapshot(BAD, now), now);
    other.merge(&early, now + 49);
    now += 50;
    expect_that!(other.verdict(BAD, now), eq(Verdict::Clear));
    end(&mut other, 3, &[BAD], &mut now);
    expect_that!(other.verdict(BAD, now).crashes(), eq(1));
}

#[gtest]
fn a_popular_request_that_stands_beside_many_ends_is_not_convicted() {
    let (mut quarantine, mut now) = (Quarantine::default(), 1_000);
    for server in 0..200 {
        end(&mut quarantine, server, &[BAD], &mut now);
        quarantine.record_success(BAD, now);
        expect_that!(quarantine.verdict(BAD, now), eq(Verdict::Clear));
    }
}

#[gtest]
fn a_kill_of_many_servers_at_once_is_no_evidence() {
    let (mut quarantine, mut now) = (Quarantine::default(), 1_000);
    for kill in 0..5 {
        let at = now;
        for server in 0..4 {
            let request = Digest(u128::from(server) + 1);
            quarantine.record_failure(ServerId(10 * kill + server), request, now);
            quarantine.record_crash(ServerId(10 * kill + server), now);
            now += 5;
        }
        now = at + 3_000;
    }
    for request in 1..=4 {
        expect_that!(quarantine.verdict(Digest(request), now), eq(Verdict::Clear));
    }
}

#[gtest]
fn one_copy_at_a_time_runs_under_suspicion() {
    let (mut quarantine, mut now) = (Quarantine::default(), 1_000);
    end(&mut quarantine, 1, &[BAD], &mut now);
    expect_that!(quarantine.admit(BAD, now), eq(true));
    expect_that!(quarantine.admit(BAD, now), eq(false));
    expect_that!(quarantine.admit(Digest(2), now), eq(true));
    // That another copy had ended a server before is learnt late, and frees nothing.
    let mut other = Quarantine::default();
    end(&mut other, 2, &[BAD], &mut (now - 50));
    quarantine.merge(&other.snapshot(BAD, now), now);
    expect_that!(quarantine.admit(BAD, now), eq(false));
    // The copy that runs ends one itself.
    end(&mut quarantine, 3, &[BAD], &mut now);
    expect_that!(quarantine.verdict(BAD, now).crashes(), eq(3));
    quarantine.record_success(BAD, now);
    expect_that!(quarantine.admit(BAD, now), eq(true));
    expect_that!(quarantine.admit(BAD, now), eq(true));
}

#[gtest]
fn a_copy_whose_server_ended_beside_it_may_go_on_at_once() {
    let (mut quarantine, mut now) = (Quarantine::default(), 1_000);
    end(&mut quarantine, 1, &[BAD], &mut now);
    expect_that!(quarantine.admit(BAD, now), eq(true));
    end(&mut quarantine, 2, &[BAD], &mut now);
    expect_that!(quarantine.admit(BAD, now), eq(true));
    expect_that!(quarantine.admit(BAD, now), eq(false));
}

#[gtest]
fn a_conviction_ends_with_one_copy_and_the_next_lasts_twice_as_long() {
    let (mut quarantine, mut now) = (Quarantine::default(), 1_000);
    for server in 0..CONVICTION_THRESHOLD {
        end(&mut quarantine, server, &[BAD], &mut now);
    }
    now += SENTENCE_MS;
    expect_that!(quarantine.admit(BAD, now), eq(true));
    expect_that!(quarantine.admit(BAD, now), eq(false));
    end(&mut quarantine, CONVICTION_THRESHOLD, &[BAD], &mut now);
    now += 2 * SENTENCE_MS - 1_000;
    expect_that!(quarantine.admit(BAD, now), eq(false));
    expect_that!(quarantine.admit(BAD, now + 1_000), eq(true));
}

#[gtest]
fn what_is_told_twice_or_in_another_order_is_the_same() {
    let mut now = 1_000;
    let mut sources = [(); 3].map(|()| Quarantine::default());
    for (server, source) in (0..).zip(&mut sources) {
        end(source, server, &[BAD], &mut now);
    }
    let told: Vec<Suspect> = sources
        .iter()
        .map(|source| source.snapshot(BAD, now))
        .collect();
    for order in [[0, 1, 2], [2, 1, 0], [1, 1, 0]] {
        let mut hearer = Quarantine::default();
        for index in order.into_iter().chain([2, 0]) {
            hearer.merge(&told[index], now);
        }
        expect_that!(hearer.verdict(BAD, now).crashes(), eq(3), "{order:?}");
        expect_that!(hearer.updates(now), len(eq(1)));
    }
}

#[gtest]
fn what_is_known_and_told_stays_bounded_under_a_flood_of_different_requests() {
    let (mut quarantine, mut now) = (Quarantine::default(), 1_000);
    for server in 0..CONVICTION_THRESHOLD {
        end(&mut quarantine, server, &[BAD], &mut now);
    }
    for server in 0..100 {
        let first = 1_000 + u128::from(server) * 64;
        let requests: Vec<Digest> = (first..first + 64).map(Digest).collect();
        end(&mut quarantine, 10 + server, &requests, &mut now);
    }
    expect_that!(quarantine.len(), le(4_096));
    expect_that!(quarantine.updates(now), len(le(64)));
    expect_that!(quarantine.verdict(BAD, now).crashes(), eq(3));
    quarantine.expire(now + 600_000);
    expect_that!(quarantine.is_empty(), eq(true));
}

#[gtest]
fn gateways_that_know_the_same_agree_on_who_decides() {
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

/// A request at a server of a replay.
#[derive(Clone, Copy, Debug)]
struct Run {
    digest: Digest,
    until: u64,
    is_apart: bool,
}

/// A server for one under suspicion: one without another such, if there is one.
fn choose(servers: &[Vec<Run>], is_apart: bool, rng: &mut ChaCha8Rng) -> usize {
    let all: Vec<usize> = (0..servers.len()).collect();
    let has_none = |index: &&usize| servers[**index].iter().all(|run| !run.is_apart);
    let free: Vec<usize> = all.iter().filter(has_none).copied().collect();
    let among = if is_apart && !free.is_empty() {
        &free
    } else {
        &all
    };
    *among.choose(rng).expect("a server")
}

/// Ten seconds of a pool of twelve servers with forty requests each, of which one more ends
/// whatever runs it and comes four times a second. What breaks off goes on at another server,
/// from the second end on apart from others. Requests run for one to five seconds. Returned are
/// the servers that ended and the requests convicted beside the bad one.
fn replay(seed: u64) -> (u32, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let mut servers: Vec<Vec<Run>> = vec![Vec::new(); 12];
    let (mut now, mut next, mut ends) = (1_000, 1_000, 0);
    for step in 0..400 {
        now += 25;
        for server in &mut servers {
            for run in server.extract_if(.., |run| run.until <= now) {
                quarantine.record_success(run.digest, now);
            }
            while server.len() < 40 {
                next += 1;
                server.push(Run {
                    digest: Digest(next),
                    until: now + rng.random_range(1_000..5_000),
                    is_apart: false,
                });
            }
        }
        if step % 10 != 0 || !quarantine.admit(BAD, now) {
            continue;
        }
        let is_apart = quarantine.verdict(BAD, now).crashes() >= 2;
        let index = choose(&servers, is_apart, &mut rng);
        let beside: Vec<Digest> = servers[index].drain(..).map(|run| run.digest).collect();
        ends += 1;
        let broken: Vec<Digest> = beside.iter().copied().chain([BAD]).collect();
        end(&mut quarantine, ends, &broken, &mut now);
        for digest in beside {
            if quarantine.admit(digest, now) {
                let is_apart = quarantine.verdict(digest, now).crashes() >= 2;
                let index = choose(&servers, is_apart, &mut rng);
                let until = now + rng.random_range(1_000..5_000);
                servers[index].push(Run {
                    digest,
                    until,
                    is_apart,
                });
            }
        }
    }
    let is_convicted = |digest: &u128| {
        let verdict = quarantine.verdict(Digest(*digest), now);
        matches!(verdict, Verdict::Convicted { .. })
    };
    (ends, (1_001..=next).filter(is_convicted).count())
}

#[gtest]
fn few_are_convicted_that_only_stood_beside_a_request_that_ends_servers() {
    let replays: Vec<(u32, usize)> = (0..100).map(replay).collect();
    let most = replays.iter().map(|(ends, _)| *ends).max();
    expect_that!(most, some(le(CONVICTION_THRESHOLD)));
    let innocent: usize = replays.iter().map(|(_, convicted)| convicted).sum();
    expect_that!(innocent, le(3), "convicted in 100 replays");
}
