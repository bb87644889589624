//! The archive of origins: what is written when, how much, by which gateways, and when it is read.

use std::collections::{HashMap, HashSet};

use googletest::prelude::*;
use mulberryyoke_decide::stream::{Archive, Kept, Origin, Pace, Reads, SLOT_ENTRIES, writer};
use mulberryyoke_model::{PoolId, StreamId, VersionId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Writes per second of the service.
const WRITES_PER_S: f64 = 400.0;

/// Time for which an entry is kept, in milliseconds.
const LIFE_MS: u64 = 25_000;

const fn entry(id: u64, until: u64) -> Kept {
    Kept {
        stream: StreamId(id),
        origin: Origin {
            pool: PoolId(1),
            version: VersionId(1),
        },
        until,
    }
}

/// The values in the service, by slot.
type Service = HashMap<usize, Vec<Kept>>;

fn write(archive: &mut Archive, service: &mut Service, pace: &Pace, now: u64) -> bool {
    let mut rng = ChaCha8Rng::seed_from_u64(now);
    let Some(batch) = archive.take(pace, now, &mut rng) else {
        return false;
    };
    service.insert(batch.slot, batch.entries);
    true
}

#[gtest]
fn every_stream_is_in_the_service_within_two_intervals_until_it_expires() {
    for seed in 0..8 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let pace = Pace::of(Some(WRITES_PER_S), 3);
        let (mut archive, mut service) = (Archive::default(), Service::default());
        let (mut begun, mut writes) = (Vec::new(), 0_u64);
        for now in (0..120_000).step_by(50) {
            for _ in 0..rng.random_range(0..12) {
                let kept = entry(rng.random(), now + LIFE_MS);
                begun.push((now, kept));
                expect_that!(archive.record(kept, &pace, now), eq(true));
            }
            writes += u64::from(write(&mut archive, &mut service, &pace, now));
            if now % 5_000 > 0 {
                continue;
            }
            let written: HashSet<StreamId> =
                service.values().flatten().map(|kept| kept.stream).collect();
            begun.retain(|(_, kept)| kept.until > now);
            let due = begun.iter().filter(|(at, _)| at + 2 * pace.interval <= now);
            for (at, kept) in due {
                let is_written = written.contains(&kept.stream);
                expect_that!(is_written, eq(true), "{seed} {now} {at}");
            }
        }
        // At most 110 entries a second for 25 s.
        expect_that!(archive.slots(), le(8), "{seed}");
        expect_that!(writes, le(120_000 / pace.interval + 40), "{seed}");
    }
}

#[gtest]
fn nothing_is_written_without_anything_new() {
    let pace = Pace::of(None, 3);
    let (mut archive, mut service) = (Archive::default(), Service::default());
    expect_that!(archive.next_write(), none());
    archive.record(entry(1, LIFE_MS), &pace, 0);
    expect_that!(write(&mut archive, &mut service, &pace, 0), eq(true));
    expect_that!(archive.next_write(), none());
    expect_that!(write(&mut archive, &mut service, &pace, 20_000), eq(false));
    expect_that!(archive.is_live(LIFE_MS - 1), eq(true));
    expect_that!(archive.is_live(LIFE_MS), eq(false));
}

#[gtest]
fn what_was_not_written_is_written_again() {
    let pace = Pace::of(None, 3);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut archive = Archive::default();
    archive.record(entry(1, LIFE_MS), &pace, 0);
    let first = archive.take(&pace, 0, &mut rng).expect("one");
    archive.record_failure(first.slot);
    let now = archive.next_write().expect("again");
    expect_that!(archive.take(&pace, now, &mut rng), some(eq(&first)));
}

#[gtest]
fn all_that_has_not_expired_is_written_again_after_a_loss() {
    let pace = Pace::of(Some(WRITES_PER_S), 3);
    let (mut archive, mut service) = (Archive::default(), Service::default());
    let count = 3 * SLOT_ENTRIES as u64;
    for id in 0..count {
        let until = if id % 2 == 0 { 10_000 } else { 40_000 };
        archive.record(entry(id, until), &pace, 0);
    }
    for now in 0..5_000 {
        write(&mut archive, &mut service, &pace, now);
    }
    service.clear();
    archive.record_loss(20_000);
    for now in 20_000..25_000 {
        write(&mut archive, &mut service, &pace, now);
    }
    let written = service.values().flatten();
    let written: HashSet<u64> = written.map(|kept| kept.stream.0).collect();
    let expected: HashSet<u64> = (0..count).filter(|id| id % 2 == 1).collect();
    expect_that!(written, eq(&expected));
}

#[gtest]
fn a_flood_is_bounded_and_expired_entries_make_room() {
    let pace = Pace::of(Some(WRITES_PER_S), 700);
    let mut archive = Archive::default();
    let kept = (0..100_000).filter(|id| archive.record(entry(*id, LIFE_MS), &pace, 0));
    expect_that!(kept.count(), eq(pace.max_entries));
    let slots = archive.slots();
    expect_that!(slots, eq(pace.max_entries.div_ceil(SLOT_ENTRIES)));
    let now = LIFE_MS;
    expect_that!(archive.record(entry(1, 2 * LIFE_MS), &pace, now), eq(true));
    expect_that!(archive.len(), eq(1));
    // Slots are filled anew.
    for id in 0..1_000 {
        archive.record(entry(id, 2 * LIFE_MS), &pace, now);
    }
    expect_that!(archive.slots(), eq(slots));
}

#[gtest]
fn the_fleet_takes_a_tenth_of_the_writes_and_bounded_bytes() {
    for writes_per_s in [5.0, 40.0, 400.0, 4_000.0] {
        for gateways in [1, 3, 30, 103, 700, 5_000] {
            let pace = Pace::of(Some(writes_per_s), gateways);
            let name = format!("{writes_per_s} {gateways} {pace:?}");
            #[expect(clippy::cast_precision_loss, reason = "small numbers")]
            let rate = pace.writers as f64 * 1_000.0 / pace.spacing as f64;
            expect_that!(rate, le(writes_per_s / 10.0 + 1e-9), "{name}");
            expect_that!(pace.interval, ge(500), "{name}");
            if writes_per_s >= 40.0 {
                expect_that!(pace.interval, le(1_000), "{name}");
            }
            expect_that!(pace.writers * pace.max_entries, le(131_072), "{name}");
        }
    }
    let pace = Pace::of(Some(WRITES_PER_S), 3);
    expect_that!(
        (pace.writers, pace.interval, pace.spacing),
        eq((3, 500, 75))
    );
    let pace = Pace::of(Some(WRITES_PER_S), 700);
    expect_that!((pace.writers, pace.interval), eq((40, 1_000)));
}

#[gtest]
fn gateways_agree_on_those_that_write() {
    let names: Vec<String> = (0..700).map(|index| format!("g{index}")).collect();
    let writer_of = |own: &str, count| {
        let others = names.iter().map(String::as_str).filter(|name| *name != own);
        writer(
            names.iter().find(|name| *name == own).expect("one"),
            others,
            count,
        )
    };
    let mut load: HashMap<&str, usize> = HashMap::new();
    for name in &names {
        *load.entry(writer_of(name, 40)).or_default() += 1;
    }
    expect_that!(load.len(), eq(40));
    for (name, count) in load {
        expect_that!(writer_of(name, 40), eq(name));
        expect_that!(count, lt(45));
    }
    for name in &names {
        expect_that!(writer_of(name, names.len()), eq(name.as_str()));
    }
}

#[gtest]
fn a_read_is_wanted_until_one_succeeds_and_again_once_it_is_old() {
    let mut reads = Reads::default();
    expect_that!(reads.is_wanted(), eq(true));
    expect_that!(reads.may_bring_more(3, 100), eq(true));
    reads.record(150);
    expect_that!(reads.is_wanted(), eq(false));
    expect_that!(reads.may_bring_more(3, 5_149), eq(false));
    expect_that!(reads.is_wanted(), eq(false));
    expect_that!(reads.may_bring_more(700, 7_149), eq(false));
    expect_that!(reads.may_bring_more(3, 5_150), eq(true));
    expect_that!(reads.is_wanted(), eq(true));
    reads.record(6_000);
    expect_that!(reads.may_bring_more(3, 6_001), eq(false));
}
