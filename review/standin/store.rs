//! Stand-in for the platform's metadata store: items, leases, history and watches.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::Write as _;
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
    value: Arc<str>,
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
    history: VecDeque<Change>,
    leases: HashMap<u64, (Instant, u64)>,
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
        let value = base64(value.as_bytes());
        self.inner.lock().unwrap().put(key, &value, 0);
        self.changed.notify_all();
    }

    /// Serves the store to one machine.
    pub fn serve(self: &Arc<Self>, listener: TcpListener) {
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve_connection(stream));
            }
        });
    }

    /// Ends expired leases and drops old history, in the background.
    pub fn maintain(self: &Arc<Self>) {
        let store = Arc::clone(self);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(100));
            let mut inner = store.inner.lock().unwrap();
            let now = Instant::now();
            let ended: Vec<u64> = inner.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
            for lease in ended {
                inner.end_lease(lease);
            }
            while inner.history.front().is_some_and(|change| now - change.at > HISTORY) {
                inner.compacted = inner.history.pop_front().unwrap().revision;
            }
            drop(inner);
            store.changed.notify_all();
        });
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let mut reader = http::Reader::new(stream.try_clone().unwrap());
        while let Some(request) = reader.request() {
            let (status, body) = self.answer(&request);
            if http::respond(&mut stream, status, "", body.as_bytes()).is_err() {
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
        match path {
            "/mulberryyoke/kv-range" => self.range(parameter("prefix"), parameter("after")),
            "/mulberryyoke/kv-watch" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait_ms = parameter("waitMs").parse().unwrap_or(0);
                self.watch(parameter("prefix"), after, Duration::from_millis(wait_ms))
            }
            "/mulberryyoke/kv-lease" => {
                let ttl_ms = number(&body, "ttlMs").unwrap_or(10_000);
                let mut inner = self.inner.lock().unwrap();
                inner.last_lease += 1;
                let lease = inner.last_lease;
                inner.leases.insert(lease, (Instant::now() + Duration::from_millis(ttl_ms), ttl_ms));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
            }
            "/mulberryyoke/kv-txn" => self.transact(&body),
            _ => self.lease_call(path),
        }
    }

    fn lease_call(&self, path: &str) -> (u16, String) {
        let mut inner = self.inner.lock().unwrap();
        if let Some(id) = path.strip_prefix("/mulberryyoke/kv-keep/") {
            let Some((end, ttl_ms)) = id.parse().ok().and_then(|id: u64| inner.leases.get_mut(&id)) else {
                return (404, "{}".to_owned());
            };
            *end = Instant::now() + Duration::from_millis(*ttl_ms);
            return (200, format!("{{\"ttlMs\":{ttl_ms}}}"));
        }
        if let Some(id) = path.strip_prefix("/mulberryyoke/kv-lease-end/") {
            inner.end_lease(id.parse().unwrap_or(0));
            return (200, "{}".to_owned());
        }
        (404, "{}".to_owned())
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let inner = self.inner.lock().unwrap();
        let mut items = String::new();
        let (mut bytes, mut count, mut has_more) = (0, 0, false);
        for (key, item) in inner.items.iter().filter(|(key, _)| key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)) {
            if count > 0 && (count >= 500 || bytes + item.value.len() > 1_400_000) {
                has_more = true;
                break;
            }
            items.push_str(if count > 0 { "," } else { "" });
            items.push_str(&entry(key, item));
            bytes += item.value.len();
            count += 1;
        }
        (200, format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"storeRevision\":{}}}", inner.revision))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut inner = self.inner.lock().unwrap();
        loop {
            if after < inner.compacted {
                return (410, "{}".to_owned());
            }
            let is_new = |change: &&Change| change.revision > after && change.key.starts_with(prefix);
            let left = deadline.saturating_duration_since(Instant::now());
            if inner.history.iter().any(|change| is_new(&change)) || left.is_zero() {
                let events: Vec<String> = inner.history.iter().filter(is_new).map(event).collect();
                let body = format!("{{\"events\":[{}],\"storeRevision\":{}}}", events.join(","), inner.revision);
                return (200, body);
            }
            inner = self.changed.wait_timeout(inner, left).unwrap().0;
        }
    }

    /// Executes a transaction. The gateway sends single puts without conditions.
    fn transact(&self, body: &str) -> (u16, String) {
        let (Some(key), Some(value)) = (text(body, "key"), text(body, "value")) else {
            return (400, "{}".to_owned());
        };
        if key.starts_with("op/") || key.starts_with("servers/") {
            return (403, "{}".to_owned());
        }
        let lease = number(body, "lease").unwrap_or(0);
        let mut inner = self.inner.lock().unwrap();
        if lease != 0 && !inner.leases.contains_key(&lease) {
            return (404, "{}".to_owned());
        }
        inner.put(&key, &value, lease);
        let revision = inner.revision;
        drop(inner);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

impl Inner {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value: Arc::from(value), revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.record(key, Some(item));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self.items.iter().filter(|(_, item)| item.lease == lease && lease != 0).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.items.remove(&key);
            self.revision += 1;
            self.record(&key, None);
        }
    }

    fn record(&mut self, key: &str, item: Option<Item>) {
        self.history.push_back(Change { at: Instant::now(), revision: self.revision, key: key.to_owned(), item });
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

/// Value of a text field of a JSON body without escapes.
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
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for group in bytes.chunks(3) {
        let bits = (0..3).fold(0_u32, |bits, index| bits << 8 | u32::from(*group.get(index).unwrap_or(&0)));
        for place in 0..4 {
            if place <= group.len() {
                text.push(DIGITS[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                let _ = write!(text, "=");
            }
        }
    }
    text
}
