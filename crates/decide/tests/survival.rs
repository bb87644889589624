//! Proof of survival on simulated time: links with any delays, instances that end at any moment and
//! successors at the same address.

use googletest::prelude::*;
use mulberryyoke_decide::survival::{Mark, Survival, Verdict};
use proptest::collection::vec;
use proptest::prelude::*;

/// Longest delay of a packet, in milliseconds.
const MAX_DELAY_MS: u64 = 1_000;

/// Simulated time, in milliseconds.
const LENGTH_MS: u64 = 5_000;

/// A request of the simulated gateway, on a connection of its own.
#[derive(Clone, Copy, Debug)]
struct Request {
    sent_ms: u64,
    /// Delays to the server and back, in milliseconds.
    delays: (u64, u64),
    /// Time that the answer takes, in milliseconds.
    work: u64,
}

/// An answer whose connection ends: when the server ends it, and how late the gateway sees the end.
#[derive(Clone, Copy, Debug)]
struct Stream {
    length_ms: u64,
    delay_ms: u64,
}

/// What the gateway does or sees, in the order of its times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    End(usize),
    Send(usize),
    Answer(usize),
    Gone(usize),
}

fn requests() -> impl Strategy<Value = Vec<Request>> {
    let delay = || 0..=MAX_DELAY_MS;
    let request = (0..LENGTH_MS, delay(), delay(), 0..200_u64);
    let request = request.prop_map(|(sent_ms, to_ms, back_ms, work)| Request {
        sent_ms,
        delays: (to_ms, back_ms),
        work,
    });
    vec(request, 0..40)
}

fn streams() -> impl Strategy<Value = Vec<Stream>> {
    let stream = (0..LENGTH_MS, 0..=MAX_DELAY_MS);
    let stream = stream.prop_map(|(length_ms, delay_ms)| Stream {
        length_ms,
        delay_ms,
    });
    vec(stream, 1..10)
}

/// Returns the gateway's steps while the instance runs until `killed_ms` and another one listens
/// from then on.
fn steps(requests: &[Request], streams: &[Stream], killed_ms: u64) -> Vec<(u64, Step)> {
    let mut steps = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        let ended_ms = stream.length_ms.min(killed_ms);
        steps.push((ended_ms + stream.delay_ms, Step::End(index)));
    }
    for (index, request) in requests.iter().enumerate() {
        let (to_ms, back_ms) = request.delays;
        let received_ms = request.sent_ms + to_ms;
        steps.push((request.sent_ms, Step::Send(index)));
        if received_ms >= killed_ms {
            steps.push((received_ms + back_ms, Step::Gone(index)));
        } else if received_ms + request.work < killed_ms {
            let answered_ms = received_ms + request.work + back_ms;
            steps.push((answered_ms, Step::Answer(index)));
        }
    }
    steps.sort_unstable();
    steps
}

/// Plays the steps; returns the verdict on each stream at the end of all.
fn play(requests: usize, streams: usize, steps: &[(u64, Step)]) -> Vec<Verdict> {
    let mut survival = Survival::default();
    let mut sent = vec![Mark::default(); requests];
    let mut ends = vec![Mark::default(); streams];
    for (_, step) in steps {
        match *step {
            Step::End(index) => ends[index] = survival.mark(),
            Step::Send(index) => sent[index] = survival.mark(),
            Step::Answer(index) => survival.record_answer(sent[index]),
            Step::Gone(index) => survival.record_gone(sent[index]),
        }
    }
    ends.iter().map(|end| survival.verdict(*end)).collect()
}

proptest! {
    // Signs of before the end, or of a successor, made truncated streams look whole.
    #[test]
    fn a_stream_that_its_instance_could_not_end_never_counts_as_survived(
        requests in requests(),
        streams in streams(),
        killed_ms in 0..LENGTH_MS,
    ) {
        let steps = steps(&requests, &streams, killed_ms);
        let verdicts = play(requests.len(), streams.len(), &steps);
        for (stream, verdict) in streams.iter().zip(verdicts) {
            let is_truncated = stream.length_ms >= killed_ms;
            prop_assert!(!is_truncated || verdict != Verdict::Survived);
        }
    }

    #[test]
    fn every_stream_survives_whose_instance_answers_something_later(
        requests in requests(),
        streams in streams(),
    ) {
        // Nobody is killed within the time.
        let killed_ms = u64::MAX / 2;
        let last_seen_ms = streams.iter().map(|stream| stream.length_ms + stream.delay_ms).max();
        let later = Request {
            sent_ms: last_seen_ms.unwrap_or(0) + 1,
            delays: (MAX_DELAY_MS, MAX_DELAY_MS),
            work: 0,
        };
        let requests: Vec<Request> = requests.into_iter().chain([later]).collect();
        let steps = steps(&requests, &streams, killed_ms);
        for verdict in play(requests.len(), streams.len(), &steps) {
            prop_assert_eq!(verdict, Verdict::Survived);
        }
    }
}

#[gtest]
fn an_answer_to_an_earlier_request_proves_nothing() {
    let mut survival = Survival::default();
    let sent = survival.mark();
    let end = survival.mark();
    survival.record_answer(sent);
    expect_that!(survival.verdict(end), eq(Verdict::Unknown));
    let later = survival.mark();
    survival.record_answer(later);
    expect_that!(survival.verdict(end), eq(Verdict::Survived));
}

#[gtest]
fn an_instance_that_answered_and_then_left_has_survived() {
    let mut survival = Survival::default();
    let end = survival.mark();
    let (first, second) = (survival.mark(), survival.mark());
    survival.record_gone(second);
    expect_that!(survival.verdict(end), eq(Verdict::Gone));
    survival.record_answer(first);
    expect_that!(survival.verdict(end), eq(Verdict::Survived));
    let later_end = survival.mark();
    expect_that!(survival.verdict(later_end), eq(Verdict::Unknown));
}
