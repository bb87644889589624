//! In-memory key-value store for the home record.

use std::collections::BTreeMap;
use std::sync::Arc;

use mulberryyoke_platform::HttpError;
use mulberryyoke_platform::kv::{
    Call, Error, Expect, Kv, Lease, LeaseId, Listing, Pair, Revision, Swap, Watch,
};
use parking_lot::Mutex;

#[derive(Default)]
struct State {
    pairs: BTreeMap<String, (Vec<u8>, Revision)>,
    revision: Revision,
    down: bool,
    responses_to_lose: u32,
}

/// A store that can be made unavailable, or lose the responses of applied writes.
#[derive(Clone, Default)]
pub struct Memory {
    state: Arc<Mutex<State>>,
}

fn unavailable() -> HttpError {
    HttpError::Malformed("unavailable in this test".to_owned())
}

impl Memory {
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Loses the responses of the next `count` writes.
    pub fn lose_responses(&self, count: u32) {
        self.state.lock().responses_to_lose = count;
    }

    /// Writes a value directly.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = self.state.lock();
        state.revision += 1;
        let revision = state.revision;
        let pair = (value.to_vec(), revision);
        state.pairs.insert(key.to_owned(), pair);
    }

    pub fn text(&self, key: &str) -> Option<String> {
        let state = self.state.lock();
        let (value, _) = state.pairs.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    fn read(&self, key: &str) -> Result<Option<Pair>, Error> {
        let state = self.state.lock();
        if state.down {
            return Err(Error::Unsent(unavailable()));
        }
        let found = state.pairs.get(key);
        Ok(found.map(|(value, revision)| Pair {
            key: key.to_owned(),
            value: value.clone(),
            revision: *revision,
            lease: None,
        }))
    }

    fn write(&self, key: &str, expected: Expect, value: Option<Vec<u8>>) -> Result<Swap, Error> {
        let found = self.read(key)?;
        let revision = found.as_ref().map(|pair| pair.revision);
        let matches = match expected {
            Expect::Absent => revision.is_none(),
            Expect::Revision(expected) => revision == Some(expected),
            Expect::Any => true,
        };
        if !matches {
            return Ok(Swap::Conflict(found));
        }
        self.put(key, &value.expect("home records are never deleted"));
        let mut state = self.state.lock();
        if state.responses_to_lose > 0 {
            state.responses_to_lose -= 1;
            return Err(Error::Unknown(unavailable()));
        }
        Ok(Swap::Done(state.revision))
    }
}

impl Kv for Memory {
    fn range<'a>(&'a self, _prefix: &'a str) -> Call<'a, Listing> {
        unimplemented!("sidecars read a single key")
    }

    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Option<Pair>> {
        Box::pin(async move { self.read(key) })
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: Expect,
        value: Option<Vec<u8>>,
        _lease: Option<LeaseId>,
    ) -> Call<'a, Swap> {
        Box::pin(async move { self.write(key, expected, value) })
    }

    fn watch<'a>(&'a self, _prefix: &'a str, _from: Revision) -> Call<'a, Watch> {
        unimplemented!("sidecars do not watch")
    }

    fn lease_grant(&self, _ttl_ms: u64) -> Call<'_, Lease> {
        unimplemented!("sidecars hold no lease")
    }

    fn lease_keep_alive(&self, _id: LeaseId) -> Call<'_, Lease> {
        unimplemented!("sidecars hold no lease")
    }

    fn lease_revoke(&self, _id: LeaseId) -> Call<'_, ()> {
        unimplemented!("sidecars hold no lease")
    }
}
