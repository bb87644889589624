//! Configuration keys in the key-value service, changed by compare-and-swap.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mulberryyoke_command::api::{CommandError, Conflict, ErrorCode, WriteResult};
use mulberryyoke_decide::cas::{self, Outcome};
use mulberryyoke_model::{Entry, Object, Revision};
use mulberryyoke_platform::Backoff;
use mulberryyoke_platform::kv::{Error, Expect, Kv, Pair, Swap};

use super::author::Author;
use super::snapshot::Snapshot;

/// Time limit for resolving a lost response.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(8);

/// Minimum delay before a retry, in milliseconds.
const MIN_RETRY_DELAY_MS: u64 = 20;

/// Maximum delay before a retry, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 500;

/// Configuration keys in the key-value service.
pub(crate) struct Store {
    kv: Arc<dyn Kv>,
    prefix: String,
}

impl Store {
    /// Accesses the keys under `prefix` + `config/`.
    pub(crate) fn new(kv: Arc<dyn Kv>, prefix: &str) -> Self {
        let prefix = format!("{prefix}config/");
        Self { kv, prefix }
    }

    /// Reads all keys that start with `prefix`, relative to the prefix of the store. Fails if
    /// the service has older contents, that is, a revision below `accepted`.
    pub(crate) async fn list(
        &self,
        prefix: &str,
        accepted: Revision,
    ) -> Result<Vec<(String, Snapshot)>, CommandError> {
        let full = format!("{}{prefix}", self.prefix);
        let listing = self.kv.range(&full).await.map_err(|e| read_failed(&e))?;
        if listing.revision < accepted {
            return Err(stale_contents(listing.revision, accepted));
        }
        let entries = listing.entries.into_iter();
        Ok(entries.map(|pair| self.parse(&pair)).collect())
    }

    /// Reads one key.
    pub(crate) async fn get(
        &self,
        key: &str,
        accepted: Revision,
    ) -> Result<Snapshot, CommandError> {
        let listing = self.list(key, accepted).await?;
        Ok(lookup(&listing, key))
    }

    /// Writes `object` under `key` if the key still has the revision of `expected`. After a lost
    /// response, the same compare-and-swap is retried: it takes effect at most once, and a
    /// conflict returns the current entry.
    pub(crate) async fn swap(
        &self,
        key: &str,
        expected: &Snapshot,
        object: Option<Object>,
        author: &Author,
    ) -> Result<WriteResult, CommandError> {
        let full = format!("{}{key}", self.prefix);
        let expect = expected.revision.map_or(Expect::Absent, Expect::Revision);
        let value = serialize(expected, object.clone(), author)?;
        let deadline = Instant::now() + RESOLVE_TIMEOUT;
        let mut backoff = Backoff::new(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
        let mut uncertain = false;
        loop {
            let swap = self.kv.swap(&full, expect, Some(value.clone()), None).await;
            match swap {
                Ok(Swap::Done(revision)) => return Ok(written(key, author, revision, object)),
                Ok(Swap::Conflict(pair)) => {
                    let found = pair.map_or_else(Snapshot::default, |pair| self.parse(&pair).1);
                    return resolve_conflict(key, expected, &found, author, uncertain);
                }
                Err(error) if error.may_have_taken_effect() => uncertain = true,
                Err(error) if !uncertain => return Err(write_failed(&error, author)),
                Err(_) => {}
            }
            let now = Instant::now();
            if now >= deadline {
                return Err(outcome_unknown(key, author));
            }
            let next = backoff.next(now, &mut rand::rng());
            tokio::time::sleep_until(next.into()).await;
        }
    }

    /// Deletes a key if it still has the revision of `expected`. Errors are ignored: a later
    /// command tries again.
    pub(crate) async fn delete(&self, key: &str, expected: &Snapshot) {
        let Some(revision) = expected.revision else {
            return;
        };
        let full = format!("{}{key}", self.prefix);
        let expect = Expect::Revision(revision);
        let _ = self.kv.swap(&full, expect, None, None).await;
    }

    fn parse(&self, pair: &Pair) -> (String, Snapshot) {
        let key = pair.key.strip_prefix(&self.prefix).unwrap_or(&pair.key);
        let snapshot = Snapshot {
            revision: Some(pair.revision),
            entry: serde_json::from_slice(&pair.value).ok(),
        };
        (key.to_owned(), snapshot)
    }
}

/// Resolves a conflicting compare-and-swap. The key may have been written by the same command,
/// through this or another router. `uncertain` is set if an earlier response was lost.
fn resolve_conflict(
    key: &str,
    expected: &Snapshot,
    found: &Snapshot,
    author: &Author,
    uncertain: bool,
) -> Result<WriteResult, CommandError> {
    let mut error = conflict(key, found, author);
    match cas::resolve(author.command, expected.revision, found.versioned_entry()) {
        Outcome::Written { revision, replaced } => {
            let object = found.object().cloned();
            let written = written(key, author, revision, object);
            return Ok(WriteResult {
                replaced,
                ..written
            });
        }
        Outcome::Unknown if uncertain => error.code = ErrorCode::Unknown,
        Outcome::Conflict | Outcome::NotApplied | Outcome::Unknown => {}
    }
    Err(error)
}

/// Looks up a key in a listing.
pub(crate) fn lookup(listing: &[(String, Snapshot)], key: &str) -> Snapshot {
    let found = listing.iter().find(|(listed, _)| listed == key);
    found
        .map(|(_, snapshot)| snapshot.clone())
        .unwrap_or_default()
}

/// Returns an error that reports the current entry of a key.
pub(crate) fn conflict(key: &str, current: &Snapshot, author: &Author) -> CommandError {
    let entry = current.entry.clone().unwrap_or_default();
    let message = match current.revision {
        None => format!("{key}: does not exist"),
        Some(revision) => format!(
            "{key}: changed at revision {revision} by {} (command {:016x}: {})",
            entry.operator, entry.command, entry.words
        ),
    };
    let conflict = Conflict {
        key: key.to_owned(),
        revision: current.revision,
        operator: entry.operator,
        command: entry.command,
        at: entry.at,
        words: entry.words,
        object: entry.object,
    };
    CommandError {
        code: ErrorCode::Conflict,
        message,
        command: Some(author.command),
        conflict: Some(Box::new(conflict)),
    }
}

fn written(key: &str, author: &Author, revision: Revision, object: Option<Object>) -> WriteResult {
    WriteResult {
        command: author.command,
        key: key.to_owned(),
        revision,
        repeated: false,
        unchanged: false,
        replaced: None,
        object,
    }
}

fn serialize(
    previous: &Snapshot,
    object: Option<Object>,
    author: &Author,
) -> Result<Vec<u8>, CommandError> {
    let earlier = previous
        .versioned_entry()
        .map(|(entry, revision)| cas::history(entry, revision));
    let entry = Entry {
        command: author.command,
        operator: author.operator.clone(),
        at: author.at,
        words: author.words.clone(),
        object,
        earlier: earlier.unwrap_or_default(),
    };
    serde_json::to_vec(&entry).map_err(|e| CommandError::new(ErrorCode::Refused, e.to_string()))
}

fn stale_contents(revision: Revision, accepted: Revision) -> CommandError {
    let message = format!(
        "key-value service has older contents (revision {revision}) than the applied configuration \
         (revision {accepted}); nothing was changed"
    );
    CommandError::new(ErrorCode::Unavailable, message)
}

fn read_failed(error: &Error) -> CommandError {
    CommandError::new(ErrorCode::Unavailable, error.to_string())
}

fn write_failed(error: &Error, author: &Author) -> CommandError {
    let code = match error {
        Error::TooLarge { .. } => ErrorCode::Refused,
        _ => ErrorCode::Unavailable,
    };
    let message = format!("{error}; nothing was changed");
    CommandError {
        command: Some(author.command),
        ..CommandError::new(code, message)
    }
}

fn outcome_unknown(key: &str, author: &Author) -> CommandError {
    let message = format!(
        "{key}: response of the key-value service was lost, and the change may have taken effect; \
         send command {:016x} again",
        author.command
    );
    CommandError {
        command: Some(author.command),
        ..CommandError::new(ErrorCode::Unknown, message)
    }
}
