//! Execution of commands.

mod customer;
mod pool;
mod server;

use std::sync::Arc;

use mulberryyoke_command::api::{CommandError, ErrorCode, Output, Request, WriteResult};
use mulberryyoke_command::{Command, ConfigAction, ParseError, Waiting, redact};
use mulberryyoke_decide::cas::{self, Outcome};
use mulberryyoke_model::{Attempt, Millis, Object};

use super::author::Author;
use super::plan::Plan;
use super::query;
use super::router_state::RouterState;
use super::snapshot::Snapshot;
use super::store::{Store, conflict};

/// Maximum number of tombstones that one command deletes.
const MAX_DELETIONS: usize = 8;

/// Age at which tombstones are deleted, in retention times of idempotency keys. Allows for
/// nodes that receive the removal late and for clock skew.
const TOMBSTONE_RETENTIONS: u64 = 2;

/// Executes operator commands.
pub(crate) struct Executor {
    store: Store,
    router: Arc<dyn RouterState>,
    retention_ms: u64,
}

impl Executor {
    pub(crate) fn new(store: Store, router: Arc<dyn RouterState>, retention_ms: u64) -> Self {
        Self {
            store,
            router,
            retention_ms,
        }
    }

    pub(crate) async fn run(
        &self,
        request: &Request,
        author: &Author,
    ) -> Result<Output, CommandError> {
        let command = match Command::parse(&request.words) {
            Ok(command) => command,
            Err(ParseError::Help(help)) => return Ok(Output::Help(help)),
            Err(ParseError::Usage(reason)) => {
                return Err(CommandError::new(ErrorCode::Usage, reason));
            }
        };
        match &command {
            Command::Customer(customer) => self.customer(customer.action.as_ref(), author).await,
            Command::Pool(pool) => self.pool(pool.action.as_ref(), author).await,
            Command::Server(server) => self.server(server.action.as_ref(), author).await,
            Command::Status(status) => Ok(query::status(&*self.router, status)),
            Command::Waiting(waiting) => Ok(self.waiting(waiting).await),
            Command::Config(config) => self.config(config.action.as_ref()).await,
        }
    }

    async fn waiting(&self, query: &Waiting) -> Output {
        let mut waiting = self.router.waiting(query);
        let attempt = query.request.as_deref().and_then(Attempt::parse_request_id);
        if let Some(attempt) = attempt {
            waiting.outcome = Some(self.router.outcome(attempt).await);
        }
        Output::Waiting(waiting)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(String, Snapshot)>, CommandError> {
        let accepted = self.router.config().revision;
        self.store.list(prefix, accepted).await
    }

    async fn get(&self, key: &str) -> Result<Snapshot, CommandError> {
        let accepted = self.router.config().revision;
        self.store.get(key, accepted).await
    }

    async fn config(&self, action: Option<&ConfigAction>) -> Result<Output, CommandError> {
        match action {
            Some(ConfigAction::History(history)) => {
                let listing = self.list(&history.key).await?;
                Ok(query::history(&listing, history.limit))
            }
            Some(ConfigAction::Show(show)) => {
                Ok(query::items(&self.router.config(), &show.key, |_| true))
            }
            None => Err(missing_action()),
        }
    }

    /// Deletes some of the expired tombstones, so that short-lived names do not accumulate.
    async fn delete_tombstones(&self, listing: &[(String, Snapshot)], now: Millis) {
        let before = now.saturating_sub(TOMBSTONE_RETENTIONS * self.retention_ms);
        let expired = listing
            .iter()
            .filter(|(_, current)| current.was_removed_before(before));
        for (key, current) in expired.take(MAX_DELETIONS) {
            self.store.delete(key, current).await;
        }
    }

    /// Applies the change that `plan` returns to `key`, if the key is still as in `current`.
    async fn change(
        &self,
        key: &str,
        current: &Snapshot,
        at: Option<u64>,
        plan: impl FnOnce() -> Result<Plan, CommandError>,
        author: &Author,
    ) -> Result<Output, CommandError> {
        if current.is_unreadable() {
            let message = format!("{key}: current value cannot be parsed");
            return Err(CommandError::new(ErrorCode::Refused, message));
        }
        if let Some(written) = find_repeat(key, current, author) {
            return Ok(Output::Written(written));
        }
        if at.is_some() && at != current.revision {
            return Err(conflict(key, current, author));
        }
        let plan = plan().map_err(|error| with_conflict(error, key, current, author))?;
        let written = match plan {
            Plan::Write(object) => self.store.swap(key, current, object, author).await?,
            Plan::Unchanged => unchanged(key, current, author),
        };
        Ok(Output::Written(written))
    }
}

/// Text of a command without bearer keys, for the log and the history.
pub(crate) fn redacted_words(request: &Request) -> String {
    redact(&request.words)
}

/// Finds the earlier result of a command that is sent again.
fn find_repeat(key: &str, current: &Snapshot, author: &Author) -> Option<WriteResult> {
    let (entry, revision) = current.versioned_entry()?;
    let Outcome::Written { revision, replaced } = cas::find(author.command, entry, revision)?
    else {
        return None;
    };
    Some(WriteResult {
        revision,
        repeated: true,
        replaced,
        ..unchanged(key, current, author)
    })
}

fn unchanged(key: &str, current: &Snapshot, author: &Author) -> WriteResult {
    WriteResult {
        command: author.command,
        key: key.to_owned(),
        revision: current.revision.unwrap_or_default(),
        repeated: false,
        unchanged: true,
        replaced: None,
        object: current.object().cloned(),
    }
}

/// Adds the current state of the key to a conflict.
fn with_conflict(
    error: CommandError,
    key: &str,
    current: &Snapshot,
    author: &Author,
) -> CommandError {
    if error.code != ErrorCode::Conflict {
        return error;
    }
    let conflict = conflict(key, current, author);
    CommandError {
        message: format!("{}; {}", error.message, conflict.message),
        ..conflict
    }
}

/// Objects of a listing that have not been removed.
fn objects(listing: &[(String, Snapshot)]) -> impl Iterator<Item = &Object> {
    listing.iter().filter_map(|(_, current)| current.object())
}

fn missing_action() -> CommandError {
    CommandError::new(ErrorCode::Usage, "subcommand missing")
}
