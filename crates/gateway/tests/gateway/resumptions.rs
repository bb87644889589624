//! Streams that callers resume go on at least half as often as new ones begin.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

use crate::feed::Service;
use crate::fleet::Node;
use crate::slot_server::SlotServer;
use crate::stream_caller::{self, Stream};

/// Versions of the servers at first. Of the first version two are left when some of them end.
const VERSIONS: [&str; 13] = [
    "1", "2", "1", "2", "1", "2", "1", "2", "1", "2", "2", "2", "2",
];

/// Number of servers of the first version that end.
const ENDING: usize = 3;

/// Number of resumptions from which their share counts.
const MIN_RESUMPTIONS: usize = 12;

/// Keys of the customers, one for each new stream in turn.
type Keys = &'static [&'static str];

/// One customer.
const ONE: Keys = &["secret"];

/// Customers that begin equally many streams.
const EQUAL: Keys = &["secret", "key1", "key2", "key3"];

/// A customer that begins three quarters of the streams, and three that begin the others.
const UNEQUAL: Keys = &[
    "secret", "secret", "secret", "key1", "secret", "secret", "secret", "key2", "secret", "secret",
    "secret", "key3",
];

/// Pause between two new streams: about one and a half times what the servers run that are left.
const NEW_STREAM_PAUSE: Duration = Duration::from_millis(7);

/// Pause between two new streams where no server ends: about twice what the servers run.
const CLAIM_PAUSE: Duration = Duration::from_millis(4);

/// Time in which the servers become full.
const FILL: Duration = Duration::from_millis(2_500);

/// Time for which new streams begin after the servers ended.
const OBSERVED: Duration = Duration::from_millis(2_500);

/// Held while a day runs: several at a time would overload the gateways of each other.
static DAY: Mutex<()> = Mutex::const_new(());

/// Gateways before servers of two versions, all of them full.
struct Fleet {
    service: Arc<Service>,
    nodes: Vec<Node>,
    servers: Vec<SlotServer>,
}

impl Fleet {
    async fn spawn(versions: [&str; 13]) -> Self {
        let service = Service::new();
        service.set(
            "config",
            Some("5 tokens=10000 timeout=4000 secret c1:key1 c2:key2 c3:key3"),
        );
        let servers = join_all(versions.map(|_| SlotServer::spawn())).await;
        for (index, (server, version)) in servers.iter().zip(versions).enumerate() {
            let value = format!("model {} ready version={version}", server.address);
            service.set(&format!("servers/model-{index}"), Some(&value));
        }
        let mut nodes = Vec::new();
        for index in 0..3 {
            nodes.push(Node::spawn(&service, &format!("g{index}")).await);
        }
        for node in &nodes {
            node.wait_ready().await;
        }
        sleep(Duration::from_secs(1)).await;
        Self {
            service,
            nodes,
            servers,
        }
    }

    fn gateways(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.callers).collect()
    }

    /// Ends servers of the first version. Their registrations lapse later.
    fn end_servers(&self) {
        for index in (0..ENDING).map(|index| 2 * index) {
            self.servers[index].kill();
        }
        let service = Arc::clone(&self.service);
        tokio::spawn(async move {
            sleep(Duration::from_millis(700)).await;
            for index in (0..ENDING).map(|index| 2 * index) {
                service.set(&format!("servers/model-{index}"), None);
            }
        });
    }
}

/// How a caller's stream went.
struct Outcome {
    began_at: Instant,
    new: stream_caller::Result,
    resumed: Option<stream_caller::Result>,
}

/// Begins a stream, and resumes it at another gateway if it breaks off.
fn spawn_caller(gateways: &[SocketAddr], index: usize, key: &'static str) -> JoinHandle<Outcome> {
    let gateways = gateways.to_vec();
    tokio::spawn(async move {
        let began_at = Instant::now();
        let stream = Stream::new(format!("s{index}"), key);
        let new = stream_caller::run(&gateways, index, stream).await;
        let broken = new.stream.clone().filter(|_| !new.is_complete);
        let resumed = match broken {
            Some(stream) => Some(stream_caller::run(&gateways, index + 1, stream).await),
            None => None,
        };
        Outcome {
            began_at,
            new,
            resumed,
        }
    })
}

/// Runs new streams at twice the capacity, and ends servers of one version meanwhile. Returns how
/// the streams went, and when the servers ended.
async fn run(keys: Keys) -> (Vec<Outcome>, Instant) {
    let _day = DAY.lock().await;
    let fleet = Fleet::spawn(VERSIONS).await;
    let gateways = fleet.gateways();
    let (start, mut callers) = (Instant::now(), Vec::new());
    let end = start + FILL;
    let mut has_ended = false;
    while Instant::now() < end + OBSERVED {
        if !has_ended && Instant::now() >= end {
            fleet.end_servers();
            has_ended = true;
        }
        let index = callers.len();
        callers.push(spawn_caller(&gateways, index, keys[index % keys.len()]));
        let next = u32::try_from(callers.len()).expect("a few hundred");
        sleep_until(start + NEW_STREAM_PAUSE * next).await;
    }
    let outcomes = join_all(callers).await;
    let outcomes = outcomes.into_iter().map(|end| end.expect("no panic"));
    (outcomes.collect(), end)
}

/// The streams that their callers resumed.
fn resumed(outcomes: &[Outcome]) -> Vec<&stream_caller::Result> {
    let resumed = outcomes.iter();
    let resumed = resumed.filter_map(|outcome| outcome.resumed.as_ref());
    resumed.collect()
}

async fn expect_resumptions(keys: Keys) {
    let (outcomes, end) = run(keys).await;
    let new = outcomes.iter().filter(|outcome| outcome.began_at >= end);
    let new: Vec<bool> = new.map(|outcome| outcome.new.is_begun).collect();
    let begun = new.iter().filter(|is_begun| **is_begun).count();
    let resumed = resumed(&outcomes);
    let went_on = resumed.iter().filter(|resumed| resumed.is_begun).count();
    let refusals: Vec<_> = resumed.iter().map(|resumed| &resumed.refusals).collect();
    let (resumed, new) = (resumed.len(), new.len());
    let seen = format!("{went_on} of {resumed} went on, {begun} of {new} began; {refusals:?}");
    expect_that!(resumed, ge(MIN_RESUMPTIONS), "{seen}");
    // At least half of the share, without a division.
    expect_that!(2 * went_on * new, ge(begun * resumed), "{seen}");
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn resumed_streams_go_on_half_as_often_as_new_ones_begin() {
    expect_resumptions(ONE).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn resumed_streams_go_on_half_as_often_with_several_customers() {
    expect_resumptions(EQUAL).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn resumed_streams_go_on_half_as_often_beside_customers_below_their_share() {
    expect_resumptions(UNEQUAL).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_refused_copy_of_a_suspect_does_not_exclude_the_next() {
    // Each caller has one copy under way at a time.
    let (outcomes, _) = run(ONE).await;
    let resumed = resumed(&outcomes);
    let is_withheld = |refusal: &String| refusal.contains("quarantined");
    let refusals = outcomes.iter().filter_map(|outcome| {
        let resumed = outcome.resumed.as_ref()?;
        Some((&outcome.new, &resumed.refusals, resumed.is_begun))
    });
    let withheld = refusals.filter(|(_, refusals, _)| refusals.iter().any(is_withheld));
    expect_that!(resumed.len(), ge(MIN_RESUMPTIONS));
    expect_that!(withheld.collect::<Vec<_>>(), is_empty());
}

/// Number of streams of each of two customers that begin while the servers are full. The streams
/// of the first state an event to go on from if `claims`.
async fn begun(claims: bool) -> [usize; 2] {
    let _day = DAY.lock().await;
    let fleet = Fleet::spawn(["1"; 13]).await;
    let gateways = fleet.gateways();
    let (start, mut callers) = (Instant::now(), Vec::new());
    while start.elapsed() < FILL + OBSERVED {
        let index = callers.len();
        let mut stream = Stream::new(format!("c{index}"), ["secret", "key1"][index % 2]);
        if claims && index % 2 == 0 {
            stream.first = Some("never".to_owned());
            stream.after = 1;
        }
        let gateways = gateways.clone();
        callers.push(tokio::spawn(async move {
            stream_caller::run(&gateways, index, stream).await.is_begun
        }));
        let next = u32::try_from(callers.len()).expect("a few hundred");
        sleep_until(start + CLAIM_PAUSE * next).await;
    }
    let mut begun = [0, 0];
    for (index, is_begun) in join_all(callers).await.into_iter().enumerate() {
        begun[index % 2] += usize::from(is_begun.expect("no panic"));
    }
    begun
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_customer_that_states_that_its_new_streams_have_begun_takes_no_places_of_another() {
    let [plain, other] = begun(false).await;
    let [claiming, beside] = begun(true).await;
    // Equal shares, with a fifth for chance.
    expect_that!(
        10 * claiming,
        le(12 * beside),
        "{plain} and {other} without"
    );
}
