//! Stand-in for the platform's metadata store: items, conditions, leases, history and watches.

use std::collections::{BTreeMap, HashMap};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};

/// Time for which changes are kept for watches (`historyS`).
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Item {
    /// Value in Base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    at: Instant,
    revision: u64,
    key: String,
    /// `None` for a deletion.
    item: Option<Item>,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    /// Changes up to this revision are no longer in the history.
    compacted: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    /// End and time to live of each lease.
    leases: HashMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

#[derive(Default)]
pub struct Store {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl Store {
    /// Writes an item as the operator or a server does; returns when the write is acknowledged.
    pub fn put(&self, key: &str, value: &str) {
        self.inner.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.inner.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    /// Serves the store, ends expired leases and drops old history, in the background.
    pub fn serve(self: &Arc<Self>, listener: TcpListener) {
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        let store = Arc::clone(self);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(100));
            store.inner.lock().unwrap().expire(Instant::now());
            store.changed.notify_all();
        });
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = http::Reader::new(&stream);
        while let Some(request) = reader.request() {
            let (status, body) = self.answer(&request);
            let json = "Content-Type: application/json\r\n";
            if http::respond(&mut stream, status, json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
        };
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let empty = |status| (status, "{}".to_owned());
        let call = path.strip_prefix("/mulberryyoke/").unwrap_or_default();
        if let Some(id) = call.strip_prefix("kv-keep/") {
            let mut inner = self.inner.lock().unwrap();
            let Some((end, ttl)) = id.parse().ok().and_then(|id: u64| inner.leases.get_mut(&id)) else {
                return empty(404);
            };
            *end = Instant::now() + *ttl;
            return (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()));
        }
        if let Some(id) = call.strip_prefix("kv-lease-end/") {
            self.inner.lock().unwrap().end_lease(id.parse().unwrap_or(0));
            self.changed.notify_all();
            return empty(200);
        }
        match call {
            "kv-range" => self.range(parameter("prefix"), parameter("after")),
            "kv-watch" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("waitMs").parse().unwrap_or(0));
                self.watch(parameter("prefix"), after, wait)
            }
            "kv-lease" => {
                let ttl = Duration::from_millis(number(&body, "ttlMs").unwrap_or(10_000));
                let mut inner = self.inner.lock().unwrap();
                inner.last_lease += 1;
                let lease = inner.last_lease;
                inner.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{}}}", ttl.as_millis()))
            }
            "kv-txn" => self.transact(&body),
            _ => empty(404),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let inner = self.inner.lock().unwrap();
        let items = inner.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = items.map(|(key, item)| entry(key, item)).collect();
        let shown = items[..items.len().min(500)].join(",");
        (200, format!("{{\"items\":[{shown}],\"hasMore\":{},\"storeRevision\":{}}}", items.len() > 500, inner.revision))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut inner = self.inner.lock().unwrap();
        loop {
            if after < inner.compacted {
                return (410, "{}".to_owned());
            }
            let new = inner.history.iter().filter(|change| change.revision > after && change.key.starts_with(prefix));
            let events: Vec<String> = new.map(event).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, format!("{{\"events\":[{}],\"storeRevision\":{}}}", events.join(","), inner.revision));
            }
            inner = self.changed.wait_timeout(inner, left).unwrap().0;
        }
    }

    /// Executes a transaction of one key, as the gateway sends them.
    fn transact(&self, body: &str) -> (u16, String) {
        let part = |name: &str| {
            let start = body.find(&format!("\"{name}\":["))? + name.len() + 4;
            Some(&body[start..start + body[start..].find(']')?])
        };
        let (conditions, puts) = (part("expectRev").unwrap_or_default(), part("puts").unwrap_or_default());
        let deletes = part("deletes").unwrap_or_default().trim_matches('"');
        let key = text(puts, "key").unwrap_or_else(|| deletes.to_owned());
        if key.starts_with("op/") || key.starts_with("servers/") {
            return (403, "{}".to_owned());
        }
        let mut inner = self.inner.lock().unwrap();
        if let (Some(key), Some(expected)) = (text(conditions, "key"), number(conditions, "revision")) {
            let item = inner.items.get(&key);
            if item.map_or(0, |item| item.revision) != expected {
                let items = item.map_or(String::new(), |item| entry(&key, item));
                return (412, format!("{{\"items\":[{items}]}}"));
            }
        }
        let lease = number(puts, "lease").unwrap_or(0);
        if lease != 0 && !inner.leases.contains_key(&lease) {
            return (404, "{}".to_owned());
        }
        match text(puts, "value") {
            Some(value) => inner.put(&key, value, lease),
            None => inner.remove(&key),
        }
        let revision = inner.revision;
        drop(inner);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

impl Inner {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.record(key, Some(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.record(key, None);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease && lease != 0);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn expire(&mut self, now: Instant) {
        let ended = self.leases.iter().filter(|(_, (end, _))| *end <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
        let old = self.history.iter().take_while(|change| now - change.at > HISTORY).count();
        if let Some(last) = self.history.drain(..old).next_back() {
            self.compacted = last.revision;
        }
    }

    fn record(&mut self, key: &str, item: Option<Item>) {
        self.history.push(Change { at: Instant::now(), revision: self.revision, key: key.to_owned(), item });
    }
}

fn entry(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}")
}

fn event(change: &Change) -> String {
    match &change.item {
        Some(item) => entry(&change.key, item),
        None => format!("{{\"key\":\"{}\",\"revision\":{},\"tombstone\":true}}", change.key, change.revision),
    }
}

/// Value of a text field of JSON without escapes.
fn text(body: &str, name: &str) -> Option<String> {
    let rest = &body[body.find(&format!("\"{name}\":\""))? + name.len() + 4..];
    Some(rest[..rest.find('"')?].to_owned())
}

fn number(body: &str, name: &str) -> Option<u64> {
    let rest = &body[body.find(&format!("\"{name}\":"))? + name.len() + 3..];
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = (0..3).fold(0_u32, |bits, index| bits << 8 | u32::from(*group.get(index).unwrap_or(&0)));
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
