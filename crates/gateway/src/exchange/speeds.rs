//! Exchange of learned speeds and reported slowdowns of servers.

use mulberryyoke_decide::engine::{News, Reading};
use mulberryyoke_model::{ServerId, saturating_u32};
use mulberryyoke_wire::aggregate::{Figure, Speed};

use crate::clock;
use crate::core::Core;

/// Maximum number of servers in a message: 64 take less than 1,100 bytes.
const MAX_SERVERS: usize = 64;

/// Returns what peers are told, servers that differ most from the usual first: own figures, or
/// with `relays` the latest of own and peers'.
pub(super) fn for_peers(core: &Core, relays: bool) -> Vec<Speed> {
    let now = clock::now_ms();
    let backends = core.registry.subset();
    let news = backends.iter().filter_map(|backend| {
        let news = backend.engine.lock().speed.news(relays, now)?;
        Some((backend.server.id, news))
    });
    let mut news: Vec<(ServerId, News)> = news.collect();
    news.sort_by(|(a_id, a), (b_id, b)| {
        let order = b.difference().total_cmp(&a.difference());
        order.then(a_id.cmp(b_id))
    });
    news.truncate(MAX_SERVERS);
    let speeds = news.into_iter().map(|(server, news)| Speed {
        server,
        learned: news.learned.map(|reading| to_figure(reading, now)),
        slowdown: news.slowdown.map(|reading| to_figure(reading, now)),
    });
    speeds.collect()
}

/// Applies what a peer told.
pub(super) fn receive(core: &Core, speeds: &[Speed]) {
    let now = clock::now_ms();
    for told in speeds {
        let Some(backend) = core.registry.get_by_id(told.server) else {
            continue;
        };
        let mut engine = backend.engine.lock();
        if let Some(learned) = told.learned {
            engine.speed.receive_learned(to_reading(learned, now));
        }
        if let Some(slowdown) = told.slowdown {
            engine.speed.receive_slowdown(to_reading(slowdown, now));
        }
    }
    metrics::counter!("server_speeds_received_total").increment(speeds.len() as u64);
}

fn to_figure(reading: Reading, now: u64) -> Figure {
    Figure {
        percent: saturating_u32((reading.value * 100.0).round()),
        age_ms: now.saturating_sub(reading.at),
    }
}

fn to_reading(figure: Figure, now: u64) -> Reading {
    Reading {
        value: f64::from(figure.percent) / 100.0,
        at: now.saturating_sub(figure.age_ms),
    }
}
