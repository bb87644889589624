//! Case: servers crash while they write streams that have neither a length nor chunks, and their next
//! processes listen at once.

use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{exchange, free_address, manifest, Gateway, Record, Server};
use crate::http::{header, Response};
use crate::server::EVENTS;
use crate::store::Store;

const SERVICE: &str = "wuno96b";
const ZONES: [&str; 3] = ["delta-a", "delta-b", "delta-c"];

/// Consumers, and the pause between two streams of one: about 17 streams a second.
const CONSUMERS: u32 = 12;
const PAUSE: Duration = Duration::from_millis(200);

/// Time budget and `timeoutMs`.
const BUDGET: Duration = Duration::from_millis(1_000);

/// One of the three servers at a time.
const CRASHES: u64 = 18;
const CRASH_GAP_MS: u64 = 4_000;

/// Time from a crash to the start of the next process.
const DOWN_MS: u64 = 30;

/// Time after which the entry of a crashed server is removed: three intervals of its reports (`heartbeatMs` 1,200).
const SILENCE_MS: u64 = 3_600;

pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> i32 {
    let store = Arc::new(Store::default());
    let address = free_address();
    store.serve(TcpListener::bind(address).expect("the store's address is free"));
    store.put("op/config", &manifest(SERVICE));
    let mut number = 0;
    let mut start = |zone: &str, address| {
        number += 1;
        let server = Server::start(folder, &store, SERVICE, zone, address, number);
        record.write(&format!("started  {} at {address}", server.id));
        server
    };
    let mut servers: Vec<Server> = ZONES.iter().map(|zone| start(zone, free_address())).collect();
    let gateways: Vec<Gateway> = ZONES.iter().map(|zone| Gateway::start(folder, zone, address)).collect();
    let is_ready = gateways.iter().all(Gateway::wait_ready);
    let (is_over, broken) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
    let consumers = (0..if is_ready { CONSUMERS } else { 0 }).map(|index| {
        let front = gateways[index as usize % gateways.len()].front;
        let gateway = gateways[index as usize % gateways.len()].name.clone();
        let (record, is_over, broken) = (Arc::clone(record), Arc::clone(&is_over), Arc::clone(&broken));
        thread::spawn(move || {
            thread::sleep(PAUSE / CONSUMERS * index);
            let mut count = 0;
            while !is_over.load(Ordering::SeqCst) {
                count += 1;
                let id = format!("{index:04x}{count:012x}");
                record.write(&format!("sent     {id} POST /sova118/2f to {gateway}"));
                let message = format!(
                    "POST /sova118/2f HTTP/1.1\r\nHost: ficu95.example\r\nMulberryyoke-Request-Id: {id}\r\n\
                     Mulberryyoke-Deadline-Ms: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{id}",
                    BUDGET.as_millis(),
                    id.len()
                );
                judge(&record, &id, exchange(front, &message, BUDGET), &broken);
                thread::sleep(PAUSE);
            }
        })
    });
    let consumers: Vec<_> = consumers.collect();
    if is_ready {
        let begin_ms = record.now_ms() + 2_000;
        for crash in 0..CRASHES {
            let (at_ms, index) = (begin_ms + crash * CRASH_GAP_MS, crash as usize % servers.len());
            record.wait_until(at_ms);
            if !has_trouble {
                continue;
            }
            let server = &mut servers[index];
            server.kill();
            record.write(&format!("killed   {}", server.id));
            let (id, address) = (server.id.clone(), server.address);
            thread::sleep(Duration::from_millis(DOWN_MS));
            servers[index] = start(ZONES[index], address);
            record.wait_until(at_ms + SILENCE_MS);
            store.remove(&format!("servers/{id}"));
            record.write(&format!("removed  {id}"));
        }
        thread::sleep(Duration::from_secs(3));
    }
    is_over.store(true, Ordering::SeqCst);
    consumers.into_iter().for_each(|consumer| consumer.join().unwrap());
    gateways.into_iter().for_each(Gateway::end);
    servers.iter_mut().for_each(Server::kill);
    for line in std::fs::read_to_string(folder.join("servers.log")).unwrap_or_default().lines() {
        record.write(&format!("server   {line}"));
    }
    let broken = broken.load(Ordering::SeqCst);
    record.write(&format!("judge    {broken} streams that end as complete before their last event"));
    if is_ready { i32::from(broken > 0) } else { 2 }
}

/// Looks whether a stream that ends whole, as it is framed, has all its events.
fn judge(record: &Record, id: &str, answer: Option<Response>, broken: &AtomicU32) {
    let Some(answer) = answer else { return record.write(&format!("answered {id} nothing")) };
    let stamp = header(&answer.headers, "mulberryyoke-server-seal").unwrap_or_default();
    let end = if answer.is_whole { "whole as framed" } else { "seen to be broken off" };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let events: Vec<u32> = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
    let count = events.len();
    record.write(&format!("answered {id} {} stamp {stamp}, {count} events, {end}", answer.status));
    if answer.status == 200 && answer.is_whole && !events.iter().copied().eq(1..=EVENTS) {
        broken.fetch_add(1, Ordering::SeqCst);
        record.write(&format!("ORDER    {id}: ended as complete after {count} of {EVENTS} events"));
    }
}
