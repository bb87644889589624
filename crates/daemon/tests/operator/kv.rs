//! A key-value service in memory whose next writes fail on demand.

use std::collections::{BTreeMap, VecDeque};

use mulberryyoke_model::{Entry, Object};
use mulberryyoke_platform::HttpError;
use mulberryyoke_platform::kv::{
    Call, Error, Expect, Kv, Lease, LeaseId, Listing, Pair, Swap, Watch,
};
use parking_lot::Mutex;

/// What happens to a write instead of taking effect and being answered.
pub enum Fault {
    /// It does not reach the service.
    Unsent,
    /// Its answer is lost; it does not take effect.
    LostBefore,
    /// Its answer is lost after it took effect.
    LostAfter,
    /// Another operator writes first; then it is tried.
    Race(&'static str, Entry),
    /// Its answer is lost after it took effect, and another operator writes.
    LostAfterThen(&'static str, Entry),
    /// Its answer is lost before it took effect, and another operator writes.
    LostBeforeThen(&'static str, Entry),
}

#[derive(Default)]
struct State {
    revision: u64,
    pairs: BTreeMap<String, (Vec<u8>, u64)>,
    faults: VecDeque<Fault>,
    writes: u64,
    down: bool,
}

/// The service.
#[derive(Default)]
pub struct Memory {
    state: Mutex<State>,
}

impl Memory {
    /// Lets the next writes meet these faults, one each.
    pub fn fail(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state.lock().faults.extend(faults);
    }

    /// Lets every call fail to reach the service, or no longer.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Writes that took effect.
    pub fn writes(&self) -> u64 {
        self.state.lock().writes
    }

    /// The entry under a key below the configuration prefix.
    pub fn entry(&self, key: &str) -> Option<(Entry, u64)> {
        let state = self.state.lock();
        let (value, revision) = state.pairs.get(&full(key))?;
        let entry = serde_json::from_slice(value).expect("the entry is readable");
        Some((entry, *revision))
    }

    /// Another operator's write.
    pub fn put(&self, key: &str, entry: &Entry) -> u64 {
        put(&mut self.state.lock(), key, entry)
    }

    fn delete(&self, key: &str, expected: Expect) -> Swap {
        let mut state = self.state.lock();
        let held = state.pairs.get(key);
        if held.map(|(_, revision)| Expect::Revision(*revision)) != Some(expected) {
            return Swap::Conflict(held.map(|held| pair(key, held)));
        }
        state.revision += 1;
        state.pairs.remove(key);
        Swap::Done(state.revision)
    }

    fn write(&self, key: &str, expected: Expect, value: Vec<u8>) -> Result<Swap, Error> {
        let mut state = self.state.lock();
        let lost = || Error::Unknown(HttpError::Disconnected("answer lost".to_owned()));
        let unsent = || Error::Unsent(HttpError::Connect("refused".to_owned()));
        if state.down {
            return Err(unsent());
        }
        match state.faults.pop_front() {
            None => Ok(apply(&mut state, key, expected, value)),
            Some(Fault::Unsent) => Err(unsent()),
            Some(Fault::LostBefore) => Err(lost()),
            Some(Fault::LostAfter) => {
                apply(&mut state, key, expected, value);
                Err(lost())
            }
            Some(Fault::Race(other, entry)) => {
                put(&mut state, other, &entry);
                Ok(apply(&mut state, key, expected, value))
            }
            Some(Fault::LostAfterThen(other, mut entry)) => {
                apply(&mut state, key, expected, value);
                let (held, revision) = &state.pairs[&full(other)];
                let held: Entry = serde_json::from_slice(held).expect("the entry is readable");
                entry.earlier = mulberryyoke_decide::cas::history(&held, *revision);
                put(&mut state, other, &entry);
                Err(lost())
            }
            Some(Fault::LostBeforeThen(other, entry)) => {
                put(&mut state, other, &entry);
                Err(lost())
            }
        }
    }
}

fn full(key: &str) -> String {
    format!("/test/config/{key}")
}

fn put(state: &mut State, key: &str, entry: &Entry) -> u64 {
    let value = serde_json::to_vec(entry).expect("an entry has a JSON form");
    state.revision += 1;
    let revision = state.revision;
    state.pairs.insert(full(key), (value, revision));
    revision
}

fn apply(state: &mut State, key: &str, expected: Expect, value: Vec<u8>) -> Swap {
    let held = state.pairs.get(key);
    let as_expected = match expected {
        Expect::Absent => held.is_none(),
        Expect::Revision(revision) => held.is_some_and(|(_, held)| *held == revision),
        Expect::Any => true,
    };
    if !as_expected {
        return Swap::Conflict(held.map(|held| pair(key, held)));
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

/// An entry as another operator's command would have written it.
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
        let within = state.pairs.range(prefix.to_owned()..);
        let within = within.take_while(|(key, _)| key.starts_with(prefix));
        let listing = Listing {
            revision: state.revision,
            entries: within.map(|(key, held)| pair(key, held)).collect(),
        };
        Box::pin(std::future::ready(Ok(listing)))
    }

    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Option<Pair>> {
        let held = self.state.lock().pairs.get(key).map(|held| pair(key, held));
        Box::pin(std::future::ready(Ok(held)))
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
        unreachable!("the operators' port does not watch")
    }

    fn lease_grant(&self, _ttl_ms: u64) -> Call<'_, Lease> {
        unreachable!("the operators' port takes no lease")
    }

    fn lease_keep_alive(&self, _id: LeaseId) -> Call<'_, Lease> {
        unreachable!("the operators' port takes no lease")
    }

    fn lease_revoke(&self, _id: LeaseId) -> Call<'_, ()> {
        unreachable!("the operators' port takes no lease")
    }
}
