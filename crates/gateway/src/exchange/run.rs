//! Sending and taking beats.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_wire::beat::{self, Beat};
use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::clock;
use crate::core::Core;

/// Least time between two beats, in milliseconds: about as long as a server takes
/// to read one short prompt.
const BEAT_MS: u64 = 20;

/// Time between beats for each peer, in milliseconds: with many peers the beats
/// are fewer, so that they cost a bounded part of the processor.
const BEAT_MS_A_PEER: u64 = 8;

/// Tells peers and hears them until the gateway ends.
pub(crate) async fn run(core: Arc<Core>, socket: UdpSocket) {
    let mut buffer = vec![0; 2 * beat::MAX_BYTES];
    let mut ticks = interval(Duration::from_millis(BEAT_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = Instant::now();
    loop {
        tokio::select! {
            () = core.stop.end.cancelled() => return,
            _ = ticks.tick() => {
                core.exchange.expire(&core);
                settle(&core);
                let peers = core.exchange.gateways() as u64 - 1;
                let now = Instant::now();
                if clock::between_ms(last, now) + 1 >= BEAT_MS.max(peers * BEAT_MS_A_PEER) {
                    last = now;
                    tell(&core, &socket).await;
                }
            }
            received = socket.recv_from(&mut buffer) => hear(&core, &buffer, &received),
        }
    }
}

/// Finds the level to which the servers' capacity is shared out, and the retries
/// that this node may make.
fn settle(core: &Core) {
    let plan = core.view.plan();
    let capacity = plan.and_then(|plan| plan.limits().tokens_per_s);
    let capacity = capacity.map_or(f64::INFINITY, f64::from);
    core.shares.lock().settle(capacity, clock::now_ms());
    let settings = core.settings.load();
    let nodes = core.exchange.gateways();
    core.budgets
        .bound(settings.retry_ratio, settings.retry_slack, nodes);
}

async fn tell(core: &Core, socket: &UdpSocket) {
    let (mut beat, addresses) = core.exchange.take_beat(core);
    if addresses.is_empty() {
        return;
    }
    let bytes = beat.encode();
    for address in addresses {
        if let Err(error) = socket.send_to(&bytes, address).await {
            metrics::counter!("beats_unsent_total", "kind" => error.kind().to_string())
                .increment(1);
        }
    }
}

fn hear(core: &Core, buffer: &[u8], received: &io::Result<(usize, SocketAddr)>) {
    // An error tells that an earlier datagram met no listener.
    let Ok((length, _)) = received else {
        return;
    };
    match Beat::decode(&buffer[..*length]) {
        Some(beat) => core.exchange.hear(core, &beat),
        None => metrics::counter!("beats_unreadable_total").increment(1),
    }
}
