//! A part of a prompt that crashes each server that begins to write an answer on it, whatever else
//! the request holds.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::ending::Ending;
use crate::prompt_fleet::{Fleet, Sent};

/// Number of crashes after which the part is to be known.
const CRASHES: usize = 5;

/// Time for all gateways to learn of a crash.
const CONTACT: Duration = Duration::from_secs(3);

/// Maximum requests with the part that reach servers later than that after the last of these
/// crashes.
const MAX_REACHED: usize = 3;

/// Minimum number of sound requests of a sample.
const MIN_SAMPLE: usize = 20;

/// Time for which sound requests are counted.
const SAMPLE_TIME: Duration = Duration::from_secs(3);

/// Time by which a request has ended, and a margin.
const LAST_ANSWERS: Duration = Duration::from_millis(1_500);

/// Maximum time of a play, if fewer servers crash.
const MAX_TIME: Duration = Duration::from_secs(13);

/// Pause between sound requests.
const SOUND_PAUSE: Duration = Duration::from_millis(50);

/// Pause between requests that crash servers.
const BAD_PAUSE: Duration = Duration::from_millis(400);

/// Route of streams that a gateway resumes.
const RESUMABLE: &str = "/resumable/";

/// Route of customers.
const CUSTOMERS: &str = "/waiting/";

/// What happens while requests with the part come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Gateways are killed and others start.
    Restarts,
    /// The key-value service is out of order.
    Outage,
}

/// A play: callers send sound requests, later also those with the part.
#[derive(Clone, Copy, Debug)]
struct Play {
    path: &'static str,
    gateways: usize,
    servers: usize,
    ending: Ending,
    fault: Fault,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            path: CUSTOMERS,
            gateways: 3,
            servers: 12,
            ending: Ending::HeadWithChunks,
            fault: Fault::None,
        }
    }
}

/// What was seen in a play.
#[derive(Debug)]
struct Seen {
    crashes: usize,
    /// Requests with the part that reached servers when it was to be known.
    reached: usize,
    /// Sound requests before the first request with the part.
    calm: Vec<Sent>,
    /// Sound requests when it was to be known.
    later: Vec<Sent>,
}

impl Play {
    async fn run(self) -> Seen {
        let fleet = Fleet::spawn(self.gateways, self.servers, self.ending).await;
        let began_at = Instant::now();
        let sound = tokio::spawn(Arc::clone(&fleet).send_sound(self.path, SOUND_PAUSE));
        sleep(SAMPLE_TIME).await;
        let struck_at = Instant::now();
        let bad = tokio::spawn(Arc::clone(&fleet).send_bad(self.path, BAD_PAUSE));
        let fault = tokio::spawn(self.fault.run(Arc::clone(&fleet)));
        let known_at = loop {
            sleep(Duration::from_millis(50)).await;
            let crashes = fleet.servers.crashes();
            let last = crashes.iter().take(CRASHES).next_back();
            let last = last.map_or(struck_at, |last| *last) + CONTACT;
            let has_sample = last.elapsed() >= CONTACT + SAMPLE_TIME + LAST_ANSWERS;
            if has_sample && (crashes.len() >= CRASHES || struck_at.elapsed() >= MAX_TIME) {
                break last;
            }
        };
        bad.abort();
        sound.abort();
        fault.await.expect("no panic");
        let crashes = fleet.servers.crashes().len();
        let sample_at = known_at + CONTACT;
        Seen {
            crashes,
            reached: if crashes < CRASHES {
                0
            } else {
                fleet.servers.reached_after(known_at)
            },
            calm: fleet.sound(began_at, struck_at - LAST_ANSWERS / 2),
            later: fleet.sound(sample_at, sample_at + SAMPLE_TIME),
        }
    }
}

impl Fault {
    async fn run(self, fleet: Arc<Fleet>) {
        match self {
            Self::None => {}
            Self::Restarts => {
                for _ in 0..2 {
                    sleep(CONTACT).await;
                    fleet.kill_gateway().await;
                    fleet.start_gateway().await;
                }
            }
            Self::Outage => {
                fleet.set_outage(true);
                sleep(3 * CONTACT).await;
                fleet.set_outage(false);
            }
        }
    }
}

impl Seen {
    fn expect_few_reach_servers(&self, play: Play) {
        expect_that!(self.crashes, ge(1), "{play:?}");
        expect_that!(
            self.reached,
            le(MAX_REACHED),
            "{play:?}: {} servers crashed",
            self.crashes
        );
    }

    fn expect_sound_requests_begin(&self, play: Play) {
        expect_that!(self.crashes, ge(1), "{play:?}");
        let [calm, later] = [&self.calm, &self.later];
        expect_that!(calm.len(), ge(MIN_SAMPLE), "{play:?}");
        expect_that!(later.len(), ge(MIN_SAMPLE), "{play:?}");
        let begun = |sent: &[Sent]| sent.iter().filter(|sent| sent.has_begun).count();
        // Half of the share, as products, which are exact.
        expect_that!(
            2 * begun(later) * calm.len(),
            ge(begun(calm) * later.len()),
            "{play:?}: {} of {} begin, before {} of {}",
            begun(later),
            later.len(),
            begun(calm),
            calm.len()
        );
    }
}

async fn run(plays: impl IntoIterator<Item = Play>) -> Vec<(Play, Seen)> {
    let plays = plays.into_iter().map(async |play| (play, play.run().await));
    join_all(plays).await
}

async fn expect_few_reach_servers(plays: impl IntoIterator<Item = Play>) {
    for (play, seen) in run(plays).await {
        seen.expect_few_reach_servers(play);
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_with_a_part_that_crashes_servers_reach_them_at_most_three_times_after_the_fifth_crash()
 {
    let plays = Ending::ALL.map(|ending| Play {
        path: RESUMABLE,
        gateways: 1,
        ending,
        ..Play::default()
    });
    expect_few_reach_servers(plays).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_with_the_part_reach_servers_at_most_three_times_through_three_gateways() {
    let plays = [
        (CUSTOMERS, Ending::HeadWithChunks),
        (CUSTOMERS, Ending::BareEvent),
        (RESUMABLE, Ending::BareHead),
    ];
    let plays = plays.map(|(path, ending)| Play {
        path,
        ending,
        ..Play::default()
    });
    expect_few_reach_servers(plays).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_with_the_part_reach_servers_at_most_three_times_while_gateways_are_replaced() {
    let play = Play {
        fault: Fault::Restarts,
        ..Play::default()
    };
    expect_few_reach_servers([play]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_with_the_part_reach_servers_at_most_three_times_in_an_outage_of_the_key_value_service()
 {
    // A server that has restarted in an outage is not followed, so there are more. Customers are
    // refused in an outage.
    let play = Play {
        path: RESUMABLE,
        servers: 40,
        fault: Fault::Outage,
        ..Play::default()
    };
    expect_few_reach_servers([play]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sound_requests_that_share_its_other_parts_begin_half_as_often() {
    let plays = [
        (CUSTOMERS, 3, Ending::HeadWithChunks),
        (CUSTOMERS, 1, Ending::BareHead),
        (RESUMABLE, 3, Ending::Silent),
    ];
    let plays = plays.map(|(path, gateways, ending)| Play {
        path,
        gateways,
        ending,
        ..Play::default()
    });
    for (play, seen) in run(plays).await {
        seen.expect_sound_requests_begin(play);
    }
}
