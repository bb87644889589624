//! Case: servers leave just after the store has cut the watches that were waiting.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{manifest, next_id, route, Answer, Channel, Gateway, Record, Runs, Server, Site};
use crate::store::Store;

/// Bound of the site, in milliseconds.
const DRAIN_MS: u64 = 2_000;

/// Time beyond `drainMs` for which a leaving server goes on serving.
const LINGER_MS: u64 = 100;

/// `scale_in` of one server, again and again. Each time it is at most 0.13 of the servers.
const SERVERS: usize = 12;
const LEAVING: usize = 5;
const INTERVAL_MS: u64 = 7_000;

/// Time from the cut of the watches to the removal of the server's entry.
const CUT_MS: u64 = 10;

/// Channels of consumers on each gateway, and the pause between their requests.
const CHANNELS: usize = 8;
const PAUSE: Duration = Duration::from_millis(10);

pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> i32 {
    let store = Arc::new(Store::default());
    store.maintain();
    let service = "fiwu21b";
    store.put("op/config", &manifest(3, &[route("r-confirm", "/puxa403/", service, true)], &[service]));
    let runs = Runs::default();
    let start_server = |index: usize| Server::start(&store, record, &runs, service, &format!("i-{index:02}"), Duration::from_millis(60));
    let servers: Vec<Arc<Server>> = (1..=SERVERS).map(start_server).collect();
    let site = Site { memory_mb: 260, descriptors: 4_200, retry_slack: 52 };
    let start = |zone| Gateway::start(folder, &format!("edge-{zone}-1"), zone, &site, &store);
    let gateways = [start("delta-a"), start("delta-b"), start("delta-c")];
    if !gateways.iter().all(|gateway| gateway.wait_ready()) {
        gateways.iter().for_each(|gateway| gateway.kill());
        return 2;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let mut consumers = Vec::new();
    for gateway in &gateways {
        for _ in 0..CHANNELS {
            let (gateway, record, is_over) = (Arc::clone(gateway), Arc::clone(record), Arc::clone(&is_over));
            consumers.push(thread::spawn(move || consume(&gateway, &record, &is_over)));
        }
    }
    let start_ms = record.now_ms() + 5_000;
    let mut left = Vec::new();
    for (index, server) in servers.iter().take(LEAVING).enumerate() {
        let at_ms = start_ms + index as u64 * INTERVAL_MS;
        record.wait_until(at_ms - CUT_MS);
        if has_trouble {
            record.write("cut      all watches that were waiting");
            store.cut_watches();
        }
        record.wait_until(at_ms);
        store.remove(&format!("servers/{}", server.id));
        let acked_ms = record.now_ms();
        record.write(&format!("ack      servers/{} is removed", server.id));
        record.wait_until(acked_ms + DRAIN_MS + LINGER_MS);
        server.exit();
        record.write(&format!("exit     server {}", server.id));
        left.push((server.id.clone(), acked_ms));
    }
    record.wait_until(start_ms + LEAVING as u64 * INTERVAL_MS);
    is_over.store(true, Ordering::SeqCst);
    consumers.into_iter().for_each(|consumer| consumer.join().unwrap());
    gateways.iter().for_each(|gateway| gateway.kill());

    let mut late = 0;
    for run in runs.lock().unwrap().iter() {
        let Some((_, acked_ms)) = left.iter().find(|(id, _)| *id == run.server) else { continue };
        if run.at_ms > acked_ms + DRAIN_MS {
            late += 1;
            record.write(&format!("DRAIN    {} reached server {} {} ms after the ack", run.request, run.server, run.at_ms - acked_ms));
        }
    }
    record.write(&format!("judge    {late} requests reached a server later than {DRAIN_MS} ms after the ack that it is gone"));
    i32::from(late > 0)
}

fn consume(gateway: &Gateway, record: &Record, is_over: &AtomicBool) {
    let mut channel = None;
    while !is_over.load(Ordering::SeqCst) {
        thread::sleep(PAUSE);
        let Some(open) = channel.take().or_else(|| Channel::open(gateway.front)) else { continue };
        let (id, mut open) = (next_id(), open);
        record.write(&format!("sent     {id} to {}", gateway.name));
        let (answer, is_open) = open.exchange(&id, "/puxa403/2f", Duration::from_secs(1), "");
        let text = match answer {
            Answer::Status(status) => status.to_string(),
            Answer::Closed => "closed channel".to_owned(),
            Answer::Silent => "nothing in time".to_owned(),
        };
        record.write(&format!("answered {id} {text}"));
        channel = is_open.then_some(open);
    }
}
