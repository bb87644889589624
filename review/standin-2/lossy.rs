//! Case: servers crash while they write streams that have neither a length nor chunks, and the links of their zone
//! lose packets.

use std::collections::HashMap;
use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::fleet::{exchange, free_address, manifest_with, Gateway, Record, Server};
use crate::http::{header, Response};
use crate::server::LONG_EVENTS;
use crate::store::Store;

const SERVICE: &str = "wuno96b";
const ZONES: [&str; 3] = ["delta-a", "delta-b", "delta-c"];

/// Consumers of streams, and the pause between two of one, of which half is taken off or added: about 5 streams a second,
/// of 2 s each.
const STREAMS: u32 = 12;
const STREAM_PAUSE: Duration = Duration::from_millis(200);

/// Consumers of answers with a length: groups of four at each gateway that send at the same time, about 110 requests a
/// second. The groups' periods differ by a few milliseconds.
const PLAIN: u32 = 36;
const PLAIN_GROUP: u32 = 4;
const PLAIN_PERIOD_MS: u64 = 320;

/// Time budget and `timeoutMs` of both.
const STREAM_BUDGET: Duration = Duration::from_millis(4_000);
const BUDGET: Duration = Duration::from_millis(1_000);

/// `srv_crash` with `for_s = 1.0`: one of the three servers at a time.
const CRASHES: u64 = 60;
const CRASH_GAP_MS: u64 = 1_550;
const DOWN_MS: u64 = 1_000;

/// `lossy` with `x = 0.03` in the zone of that server, from 0.3 s before the crash to 0.7 s after it.
const LOSS_PER_1000: u64 = 30;
const LOSS_BEFORE_MS: u64 = 300;
const LOSS_AFTER_MS: u64 = 700;

/// Time after which TCP sends a lost packet again, at first; it doubles with each loss.
const RESEND: Duration = Duration::from_millis(200);

/// Time after which the entry of a crashed server is removed: three intervals of its reports (`heartbeatMs` 1,200).
const SILENCE_MS: u64 = 3_600;

/// The links of one zone's server to the gateways. What a server writes at once, and the end of a channel, are one
/// packet each.
struct Links {
    address: SocketAddr,
    is_lossy: AtomicBool,
    seed: AtomicU64,
    open: AtomicU32,
    listener: Mutex<Option<(Arc<AtomicBool>, JoinHandle<()>)>>,
}

impl Links {
    fn new(index: u64) -> Arc<Self> {
        let seed = AtomicU64::new(u64::from(std::process::id()) << 8 | index);
        let (address, listener) = (free_address(), Mutex::new(None));
        Arc::new(Self { address, is_lossy: AtomicBool::new(false), seed, open: AtomicU32::new(0), listener })
    }

    /// Takes channels for a server that listens at `own`.
    fn open(self: &Arc<Self>, own: SocketAddr) {
        let listener = TcpListener::bind(self.address).expect("the server's address is free");
        listener.set_nonblocking(true).expect("a listener can be polled");
        let is_over = Arc::new(AtomicBool::new(false));
        let (links, is_closed) = (Arc::clone(self), Arc::clone(&is_over));
        let task = thread::spawn(move || {
            while !is_closed.load(Ordering::SeqCst) {
                let Ok((gateway, _)) = listener.accept() else {
                    thread::sleep(Duration::from_micros(200));
                    continue;
                };
                let Ok(server) = TcpStream::connect(own) else { continue };
                let _ = gateway.set_nonblocking(false);
                let (to_server, to_gateway) = (Arc::clone(&links), Arc::clone(&links));
                let (gateway_too, server_too) = (gateway.try_clone().unwrap(), server.try_clone().unwrap());
                thread::spawn(move || to_server.carry(gateway_too, server_too));
                thread::spawn(move || {
                    to_gateway.open.fetch_add(1, Ordering::SeqCst);
                    to_gateway.carry(server, gateway);
                    to_gateway.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        *self.listener.lock().unwrap() = Some((is_over, task));
    }

    /// Takes no more channels: the system resets those that come.
    fn close(&self) {
        if let Some((is_over, task)) = self.listener.lock().unwrap().take() {
            is_over.store(true, Ordering::SeqCst);
            let _ = task.join();
        }
    }

    /// Carries bytes one way, to the end.
    fn carry(&self, mut from: TcpStream, mut to: TcpStream) {
        let _ = to.set_nodelay(true);
        let mut bytes = [0; 16 << 10];
        loop {
            let length = from.read(&mut bytes);
            let mut resend = RESEND;
            while self.loses() {
                thread::sleep(resend);
                resend *= 2;
            }
            match length {
                Ok(0) => return drop(to.shutdown(Shutdown::Write)),
                Ok(length) if to.write_all(&bytes[..length]).is_ok() => {}
                _ => return reset(&from, &to),
            }
        }
    }

    fn loses(&self) -> bool {
        if !self.is_lossy.load(Ordering::SeqCst) {
            return false;
        }
        let mut state = self.seed.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
        state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (state ^ (state >> 31)) % 1_000 < LOSS_PER_1000
    }
}

/// Resets both sides of a channel of which one was reset.
fn reset(from: &TcpStream, to: &TcpStream) {
    use std::os::fd::AsRawFd as _;
    extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;
    }
    for stream in [from, to] {
        // SOL_SOCKET and SO_LINGER of Linux: on, for 0 s.
        unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &[1, 0], 8) };
        let _ = stream.shutdown(Shutdown::Both);
    }
}

pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> i32 {
    let store = Arc::new(Store::default());
    let address = free_address();
    store.serve(TcpListener::bind(address).expect("the store's address is free"));
    store.put("op/config", &manifest_with(SERVICE, STREAM_BUDGET.as_millis() as u32));
    let links: Vec<Arc<Links>> = (0..ZONES.len() as u64).map(Links::new).collect();
    // The zone of each server, by its index.
    let zones = Arc::new(Mutex::new(HashMap::new()));
    let mut number = 0;
    let mut start = |index: usize| {
        number += 1;
        let own = free_address();
        let place = (ZONES[index], links[index].address);
        // The server's address takes channels before the store has its entry.
        let server = Server::start_behind(folder, &store, SERVICE, place, own, number, || links[index].open(own));
        zones.lock().unwrap().insert(server.id.clone(), index);
        record.write(&format!("started  {} at {} in {}", server.id, server.address, ZONES[index]));
        server
    };
    let mut servers: Vec<Server> = (0..ZONES.len()).map(&mut start).collect();
    let gateways: Vec<Gateway> = ZONES.iter().map(|zone| Gateway::start(folder, zone, address)).collect();
    let is_ready = gateways.iter().all(Gateway::wait_ready);
    let (is_over, broken) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
    let consumers = (0..if is_ready { STREAMS + PLAIN } else { 0 }).map(|index| {
        let is_stream = index < STREAMS;
        let gateway = &gateways[index as usize % gateways.len()];
        let (front, name, zone) = (gateway.front, gateway.name.clone(), index as usize % ZONES.len());
        let of = Arc::clone(&zones);
        let (record, is_over, broken) = (Arc::clone(record), Arc::clone(&is_over), Arc::clone(&broken));
        thread::spawn(move || {
            let budget = if is_stream { STREAM_BUDGET } else { BUDGET };
            let group = u64::from(index / ZONES.len() as u32 / PLAIN_GROUP * ZONES.len() as u32 + index % ZONES.len() as u32);
            let begun_ms = record.now_ms() + 17 * group;
            let mut count: u64 = 0;
            while !is_over.load(Ordering::SeqCst) {
                count += 1;
                let id = format!("{index:04x}{count:012x}");
                let (method, path) = if is_stream { ("POST", "/sova118/long") } else { ("GET", "/lohu930/kept") };
                record.write(&format!("sent     {id} {method} {path} to {name}"));
                let message = format!(
                    "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nMulberryyoke-Request-Id: {id}\r\n\
                     Mulberryyoke-Deadline-Ms: {}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
                    budget.as_millis()
                );
                let answer = exchange(front, &message, budget);
                if is_stream {
                    judge(&record, &id, answer, |server| of.lock().unwrap().get(server) != Some(&zone), &broken);
                } else {
                    record.write(&format!("answered {id} {}", answer.map_or(0, |answer| answer.status)));
                }
                if is_stream {
                    thread::sleep(STREAM_PAUSE * (50 + (count * 37 % 101) as u32) / 100);
                } else {
                    record.wait_until(begun_ms + count * (PLAIN_PERIOD_MS + 3 * group));
                }
            }
        })
    });
    let consumers: Vec<_> = consumers.collect();
    if is_ready {
        let begin_ms = record.now_ms() + 2_000;
        let mut leaving = Vec::new();
        for crash in 0..CRASHES {
            let (at_ms, index) = (begin_ms + crash * CRASH_GAP_MS, crash as usize % servers.len());
            record.wait_until(at_ms - LOSS_BEFORE_MS);
            if !has_trouble {
                continue;
            }
            links[index].is_lossy.store(true, Ordering::SeqCst);
            record.write(&format!("lossy    {}", ZONES[index]));
            record.wait_until(at_ms);
            links[index].close();
            let channels = links[index].open.load(Ordering::SeqCst);
            servers[index].kill();
            record.write(&format!("killed   {}, {channels} channels", servers[index].id));
            leaving.push((at_ms + SILENCE_MS, servers[index].id.clone()));
            record.wait_until(at_ms + LOSS_AFTER_MS);
            links[index].is_lossy.store(false, Ordering::SeqCst);
            record.write(&format!("sound    {}", ZONES[index]));
            leaving.retain(|(at_ms, id)| {
                let is_due = *at_ms <= record.now_ms();
                if is_due {
                    store.remove(&format!("servers/{id}"));
                    record.write(&format!("removed  {id}"));
                }
                !is_due
            });
            record.wait_until(at_ms + DOWN_MS);
            servers[index] = start(index);
        }
        thread::sleep(Duration::from_secs(2));
    }
    is_over.store(true, Ordering::SeqCst);
    consumers.into_iter().for_each(|consumer| consumer.join().unwrap());
    gateways.into_iter().for_each(Gateway::end);
    links.iter().for_each(|links| links.close());
    servers.iter_mut().for_each(Server::kill);
    for line in std::fs::read_to_string(folder.join("servers.log")).unwrap_or_default().lines() {
        record.write(&format!("server   {line}"));
    }
    let broken = broken.load(Ordering::SeqCst);
    record.write(&format!("judge    {broken} streams that end as complete before their last event"));
    if is_ready { i32::from(broken > 0) } else { 2 }
}

/// Looks whether a stream that ends whole, as it is framed, has all its events. Links inside a zone lose nothing on the
/// bench, so streams within one aren't judged.
fn judge(
    record: &Record,
    id: &str,
    answer: Option<Response>,
    is_from_other_zone: impl Fn(&str) -> bool,
    broken: &AtomicU32,
) {
    let Some(answer) = answer else { return record.write(&format!("answered {id} nothing")) };
    let stamp = header(&answer.headers, "mulberryyoke-server-seal").unwrap_or_default();
    let end = if answer.is_whole { "whole as framed" } else { "seen to be broken off" };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let events: Vec<u32> = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
    let count = events.len();
    record.write(&format!("answered {id} {} stamp {stamp}, {count} events, {end}", answer.status));
    if answer.status == 200 && answer.is_whole && !events.iter().copied().eq(1..=LONG_EVENTS) {
        if !is_from_other_zone(stamp.split('.').next().unwrap_or_default()) {
            return record.write(&format!("own zone {id}: ended as complete after {count} of {LONG_EVENTS} events"));
        }
        broken.fetch_add(1, Ordering::SeqCst);
        record.write(&format!("ORDER    {id}: ended as complete after {count} of {LONG_EVENTS} events"));
    }
}
