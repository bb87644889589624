//! Sending and taking beats.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_wire::aggregate::{self, Assembler};
use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::clock;
use crate::core::Core;

/// Time between looks at what is due, in milliseconds: the least time between two rounds.
const TICK_MS: u64 = 20;

/// Tells peers and hears them until the gateway ends.
pub(crate) async fn run(core: Arc<Core>, socket: UdpSocket) {
    let mut buffer = vec![0; 2 * aggregate::MAX_BYTES];
    let mut assembler = Assembler::default();
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut due = Instant::now();
    loop {
        tokio::select! {
            () = core.shutdown.terminate.cancelled() => return,
            _ = ticks.tick() => {
                // Those that wait for the boot clock learn here that the machine has woken.
                clock::last_resume_ms();
                core.exchange.expire(&core);
                core.quarantine.expire();
                settle(&core);
                let now = Instant::now();
                if now >= due {
                    let packets = tell(&core, &socket).await;
                    // A timer is late by a millisecond at least.
                    due = clock::after(now, core.exchange.interval_ms(packets) - 1);
                }
            }
            received = socket.recv_from(&mut buffer) => {
                hear(&core, &mut assembler, &buffer, &received);
            }
        }
    }
}

/// Finds the level to which the servers' capacity is shared out, and the retries
/// that this node may make.
fn settle(core: &Core) {
    let config = core.view.config();
    let capacity = config.and_then(|config| config.limits().tokens_per_s);
    let capacity = capacity.map_or(f64::INFINITY, f64::from);
    // What the others bear is not there to be shared out.
    let models = core.registry.model_stats();
    core.shares.lock().rebalance(
        capacity * models.accepting_ratio,
        models.wait_ms,
        clock::now_ms(),
    );
    let settings = core.settings.load();
    let nodes = core.exchange.gateway_count();
    core.retry_budgets
        .set_limits(settings.retry_ratio, settings.retry_slack, nodes);
}

/// Sends a round of messages, and returns the number of packets.
async fn tell(core: &Core, socket: &UdpSocket) -> usize {
    let mut sent = 0;
    for (mut message, addresses) in core.exchange.round(core) {
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

fn hear(
    core: &Core,
    assembler: &mut Assembler,
    buffer: &[u8],
    received: &io::Result<(usize, SocketAddr)>,
) {
    // An error tells that an earlier datagram met no listener.
    let Ok((length, from)) = received else {
        return;
    };
    match assembler.receive(&buffer[..*length]) {
        Ok(Some(message)) => core.exchange.hear(core, &message, *from),
        Ok(None) => {}
        Err(unreadable) => {
            metrics::counter!("beats_unreadable_total", "why" => unreadable.as_str()).increment(1);
        }
    }
}
