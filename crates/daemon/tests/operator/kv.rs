//! In-memory key-value service with fault injection.

use std::collections::{BTreeMap, VecDeque};

use mulberryyoke_model::{Entry, Object};
use mulberryyoke_platform::HttpError;
use mulberryyoke_platform::kv::{
    Call, Error, Expect, Kv, Lease, LeaseId, Listing, Pair, Swap, Watch,
};
use parking_lot::Mutex;

/// Fault injected into a write.
pub enum Fault {
    /// The request is not sent.
    Unsent,
    /// The request is lost; the write does not take effect.
    RequestLost,
    /// The response is lost; the write takes effect.
    ResponseLost,
    /// The given entry is written before the request is executed.
    Race(&'static str, Entry),
    /// The response is lost, and the given entry is written after the write.
    ResponseLostThenWrite(&'static str, Entry),
    /// The request is lost, and the given entry is written.
    RequestLostThenWrite(&'static str, Entry),
}

#[derive(Default)]
struct State {
    revision: u64,
    pairs: BTreeMap<String, (Vec<u8>, u64)>,
    faults: VecDeque<Fault>,
    writes: u64,
    down: bool,
}

/// In-memory key-value service.
#[derive(Default)]
pub struct Memory {
    state: Mutex<State>,
}

impl Memory {
    /// Injects faults into the next writes, one each.
    pub fn inject(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state.lock().faults.extend(faults);
    }

    /// Sets whether listings and writes fail as if the service were unreachable.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Number of compare-and-swap writes that took effect.
    pub fn writes(&self) -> u64 {
        self.state.lock().writes
    }

    /// Entry under a key, relative to the configuration prefix.
    pub fn entry(&self, key: &str) -> Option<(Entry, u64)> {
        let state = self.state.lock();
        let (value, revision) = state.pairs.get(&full_key(key))?;
        let entry = serde_json::from_slice(value).expect("entry is valid JSON");
        Some((entry, *revision))
    }

    /// Writes an entry unconditionally.
    pub fn put(&self, key: &str, entry: &Entry) -> u64 {
        put(&mut self.state.lock(), key, entry)
    }

    fn delete(&self, key: &str, expected: Expect) -> Swap {
        let mut state = self.state.lock();
        let stored = state.pairs.get(key);
        if stored.map(|(_, revision)| Expect::Revision(*revision)) != Some(expected) {
            return Swap::Conflict(stored.map(|stored| pair(key, stored)));
        }
        state.revision += 1;
        state.pairs.remove(key);
        Swap::Done(state.revision)
    }

    fn write(&self, key: &str, expected: Expect, value: Vec<u8>) -> Result<Swap, Error> {
        let mut state = self.state.lock();
        let lost = || Error::Unknown(HttpError::Disconnected("response lost".to_owned()));
        let unsent = || Error::Unsent(HttpError::Connect("refused".to_owned()));
        if state.down {
            return Err(unsent());
        }
        match state.faults.pop_front() {
            None => Ok(apply(&mut state, key, expected, value)),
            Some(Fault::Unsent) => Err(unsent()),
            Some(Fault::RequestLost) => Err(lost()),
            Some(Fault::ResponseLost) => {
                apply(&mut state, key, expected, value);
                Err(lost())
            }
            Some(Fault::Race(other, entry)) => {
                put(&mut state, other, &entry);
                Ok(apply(&mut state, key, expected, value))
            }
            Some(Fault::ResponseLostThenWrite(other, mut entry)) => {
                apply(&mut state, key, expected, value);
                let (stored, revision) = &state.pairs[&full_key(other)];
                let stored: Entry = serde_json::from_slice(stored).expect("entry is valid JSON");
                entry.earlier = mulberryyoke_decide::cas::history(&stored, *revision);
                put(&mut state, other, &entry);
                Err(lost())
            }
            Some(Fault::RequestLostThenWrite(other, entry)) => {
                put(&mut state, other, &entry);
                Err(lost())
            }
        }
    }
}

fn full_key(key: &str) -> String {
    format!("/test/config/{key}")
}

fn put(state: &mut State, key: &str, entry: &Entry) -> u64 {
    let value = serde_json::to_vec(entry).expect("entry serializes to JSON");
    state.revision += 1;
    let revision = state.revision;
    state.pairs.insert(full_key(key), (value, revision));
    revision
}

fn apply(state: &mut State, key: &str, expected: Expect, value: Vec<u8>) -> Swap {
    let stored = state.pairs.get(key);
    let matches = match expected {
        Expect::Absent => stored.is_none(),
        Expect::Revision(revision) => stored.is_some_and(|(_, stored)| *stored == revision),
        Expect::Any => true,
    };
    if !matches {
        return Swap::Conflict(stored.map(|stored| pair(key, stored)));
    }
    state.revision += 1;
    state.writes += 1;
    let revision = state.revision;
    state.pairs.insert(key.to_owned(), (value, revision));
    Swap::Done(revision)
}

fn pair(key: &str, (value, revision): &(Vec<u8>, u64)) -> Pair {
    Pair {
        key: key.to_owned(),
        value: value.clone(),
        revision: *revision,
        lease: None,
    }
}

/// Entry written by another operator's command.
pub fn entry(operator: &str, command: u64, object: Object) -> Entry {
    Entry {
        command,
        operator: operator.to_owned(),
        at: 1,
        words: "of another".to_owned(),
        object: Some(object),
        earlier: Vec::new(),
    }
}

impl Kv for Memory {
    fn range<'a>(&'a self, prefix: &'a str) -> Call<'a, Listing> {
        let state = self.state.lock();
        if state.down {
            let error = Error::Unsent(HttpError::Connect("refused".to_owned()));
            return Box::pin(std::future::ready(Err(error)));
        }
        let matching = state.pairs.range(prefix.to_owned()..);
        let matching = matching.take_while(|(key, _)| key.starts_with(prefix));
        let listing = Listing {
            revision: state.revision,
            entries: matching.map(|(key, stored)| pair(key, stored)).collect(),
        };
        Box::pin(std::future::ready(Ok(listing)))
    }

    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Option<Pair>> {
        let stored = self
            .state
            .lock()
            .pairs
            .get(key)
            .map(|stored| pair(key, stored));
        Box::pin(std::future::ready(Ok(stored)))
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: Expect,
        value: Option<Vec<u8>>,
        _lease: Option<LeaseId>,
    ) -> Call<'a, Swap> {
        let swap = match value {
            Some(value) => self.write(key, expected, value),
            None => Ok(self.delete(key, expected)),
        };
        Box::pin(std::future::ready(swap))
    }

    fn watch<'a>(&'a self, _prefix: &'a str, _from: u64) -> Call<'a, Watch> {
        unreachable!("the operator API does not watch keys")
    }

    fn lease_grant(&self, _ttl_ms: u64) -> Call<'_, Lease> {
        unreachable!("the operator API uses no leases")
    }

    fn lease_keep_alive(&self, _id: LeaseId) -> Call<'_, Lease> {
        unreachable!("the operator API uses no leases")
    }

    fn lease_revoke(&self, _id: LeaseId) -> Call<'_, ()> {
        unreachable!("the operator API uses no leases")
    }
}
