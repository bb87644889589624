//! Exchange loop: sends this gateway's messages and receives those of peers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_wire::aggregate::{self, Assembler};
use mulberryyoke_wire::stream;
use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::core::Core;
use crate::{balance, clock, streams};

/// Timer resolution, and the minimum interval between two rounds, in milliseconds.
const TICK_MS: u64 = 20;

/// Minimum interval before a round that is sent early, in milliseconds.
const MIN_URGENT_MS: u64 = 100;

/// Sends and receives messages until the gateway terminates.
pub(crate) async fn run(core: Arc<Core>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; 2 * aggregate::MAX_BYTES];
    let mut assembler = Assembler::default();
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut due, mut earliest) = (Instant::now(), Instant::now());
    loop {
        tokio::select! {
            () = core.shutdown.terminate.cancelled() => return,
            _ = ticks.tick() => {
                // Detects a suspension and wakes tasks that wait for the boot clock.
                clock::last_resume_ms();
                core.exchange.expire(&core);
                core.quarantine.expire();
                streams::update(&core);
                streams::write_due(&core);
                balance::end_outages(&core);
                rebalance(&core);
                let now = Instant::now();
                let is_urgent = now >= earliest && core.quarantine.parts.take_urgent();
                if now >= due || is_urgent {
                    let packets = send_round(&core, &socket).await;
                    // Timers fire at least one millisecond late.
                    due = clock::after(now, core.exchange.interval_ms(packets) - 1);
                    earliest = clock::after(now, MIN_URGENT_MS);
                }
            }
            received = socket.recv_from(&mut buffer) => {
                receive(&core, &mut assembler, &buffer, &received);
            }
        }
    }
}

/// Updates the customers' shares of the capacity, and this node's retry budgets.
fn rebalance(core: &Core) {
    let config = core.view.config();
    let capacity = config.and_then(|config| config.limits().tokens_per_s);
    let capacity = capacity.map_or(f64::INFINITY, f64::from);
    // Servers that do not accept requests contribute no capacity.
    let models = core.registry.model_stats();
    core.shares.lock().rebalance(
        capacity * models.accepting_ratio,
        models.wait_ms,
        clock::now_ms(),
    );
    let settings = core.settings.load();
    let gateways = core.exchange.gateway_count();
    core.retry_budgets
        .set_limits(settings.retry_ratio, settings.retry_slack, gateways);
}

/// Sends a round of messages; returns the number of packets.
async fn send_round(core: &Core, socket: &UdpSocket) -> usize {
    let mut sent = 0;
    for (mut message, addresses) in core.exchange.messages(core) {
        let packets = message.encode();
        sent += packets.len() * addresses.len();
        for address in addresses {
            for packet in &packets {
                if let Err(error) = socket.send_to(packet, address).await {
                    let kind = error.kind().to_string();
                    metrics::counter!("beats_unsent_total", "kind" => kind).increment(1);
                }
            }
        }
    }
    metrics::counter!("beat_packets_sent_total").increment(sent as u64);
    sent
}

fn receive(
    core: &Arc<Core>,
    assembler: &mut Assembler,
    buffer: &[u8],
    received: &io::Result<(usize, SocketAddr)>,
) {
    // An error reports that an earlier datagram was sent to a closed port.
    let Ok((length, from)) = received else {
        return;
    };
    let packet = &buffer[..*length];
    if stream::is_marked(packet) {
        return streams::receive(core, packet);
    }
    match assembler.receive(packet) {
        Ok(Some(message)) => core.exchange.receive(core, &message, *from),
        Ok(None) => {}
        Err(error) => {
            metrics::counter!("beats_unreadable_total", "why" => error.as_str()).increment(1);
        }
    }
}
