//! Case: servers crash while they write answers that have neither a length nor chunks.

use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{exchange, free_address, manifest, Gateway, Record, Server};
use crate::http::header;
use crate::server;
use crate::store::Store;

const SERVICE: &str = "wuno96b";
const ZONES: [&str; 3] = ["delta-a", "delta-b", "delta-c"];

/// Consumers, and the pause between two requests of one: 36 requests a second, `booking-confirm` and
/// `booking-cancel` together have 35.
const CONSUMERS: u32 = 12;
const PAUSE: Duration = Duration::from_millis(290);

/// Time budget and `timeoutMs` of both routes.
const BUDGET: Duration = Duration::from_millis(1_000);

/// `srv_crash` with `for_s = 2.0`: one of the three servers at a time, every 4.5 s.
const CRASHES: u64 = 20;
const CRASH_GAP_MS: u64 = 4_500;
const DOWN_MS: u64 = 2_000;

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
                // Five of seven are `booking-confirm`.
                let (method, path) = if count % 7 < 5 { ("POST", "/puxa403/2f") } else { ("GET", "/lohu930/2f") };
                record.write(&format!("sent     {id} {method} {path} to {gateway}"));
                let message = format!(
                    "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nMulberryyoke-Request-Id: {id}\r\n\
                     Mulberryyoke-Deadline-Ms: {}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
                    BUDGET.as_millis()
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
            record.wait_until(at_ms + DOWN_MS);
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
    record.write(&format!("judge    {broken} successes whose body is not the server's whole body"));
    if is_ready { i32::from(broken > 0) } else { 2 }
}

/// Compares a success with the server's stamp, and with the body that is due.
fn judge(record: &Record, id: &str, answer: Option<crate::http::Response>, broken: &AtomicU32) {
    let Some(answer) = answer else { return record.write(&format!("answered {id} nothing")) };
    let stamp = header(&answer.headers, "mulberryyoke-server-seal").unwrap_or_default();
    let framing = if header(&answer.headers, "content-length").is_some() { "length" } else { "no length" };
    let end = if answer.is_whole { "whole as framed" } else { "seen to be broken off" };
    let length = answer.body.len();
    record.write(&format!("answered {id} {} stamp {stamp}, {length} bytes, {framing}, {end}", answer.status));
    let due = server::body(id);
    let server = stamp.split('.').next().unwrap_or_default();
    let is_success = (200..300).contains(&answer.status) && answer.is_whole;
    if is_success && (answer.body != due || stamp != server::seal(server, &due)) {
        broken.fetch_add(1, Ordering::SeqCst);
        record.write(&format!("MIXED    {id}: {} with {length} of {} bytes", answer.status, due.len()));
    }
}
