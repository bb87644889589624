//! Execution of commands.

mod customer;
mod pool;
mod server;

use std::sync::Arc;

use mulberryyoke_command::answer::{Answer, Code, Refusal, Request, Written};
use mulberryyoke_command::{Command, ConfigAction, Error, Waiting, words};
use mulberryyoke_decide::cas::{self, Outcome};
use mulberryyoke_model::{Attempt, Millis, Object};

use super::author::Author;
use super::held::Held;
use super::plan::Plan;
use super::query;
use super::router_state::RouterState;
use super::store::{Store, conflict};

/// Records of removed things that one command deletes at most.
const DELETED: usize = 8;

/// Key retention times for which such a record is kept: nodes may see it late, and
/// clocks differ.
const KEPT_RETENTIONS: u64 = 2;

/// Carries out commands.
pub(crate) struct Execute {
    store: Store,
    source: Arc<dyn RouterState>,
    retention_ms: u64,
}

impl Execute {
    /// Carries out commands on `store` and `source`.
    pub(crate) fn new(store: Store, source: Arc<dyn RouterState>, retention_ms: u64) -> Self {
        Self {
            store,
            source,
            retention_ms,
        }
    }

    /// Carries out one command of an operator.
    pub(crate) async fn run(&self, request: &Request, author: &Author) -> Result<Answer, Refusal> {
        let command = match Command::parse(&request.words) {
            Ok(command) => command,
            Err(Error::Help(help)) => return Ok(Answer::Help(help)),
            Err(Error::Usage(reason)) => return Err(Refusal::new(Code::Usage, reason)),
        };
        match &command {
            Command::Customer(customer) => self.customer(customer.action.as_ref(), author).await,
            Command::Pool(pool) => self.pool(pool.action.as_ref(), author).await,
            Command::Server(server) => self.server(server.action.as_ref(), author).await,
            Command::Status(status) => Ok(query::status(&*self.source, status)),
            Command::Waiting(waiting) => Ok(self.waiting(waiting).await),
            Command::Config(config) => self.config(config.action.as_ref()).await,
        }
    }

    async fn waiting(&self, query: &Waiting) -> Answer {
        let mut waiting = self.source.waiting(query);
        let attempt = query.request.as_deref().and_then(Attempt::parse_request_id);
        if let Some(attempt) = attempt {
            waiting.outcome = Some(self.source.outcome(attempt).await);
        }
        Answer::Waiting(waiting)
    }

    async fn list(&self, start: &str) -> Result<Vec<(String, Held)>, Refusal> {
        let accepted = self.source.config().revision;
        self.store.list(start, accepted).await
    }

    async fn get(&self, key: &str) -> Result<Held, Refusal> {
        let accepted = self.source.config().revision;
        self.store.get(key, accepted).await
    }

    async fn config(&self, action: Option<&ConfigAction>) -> Result<Answer, Refusal> {
        match action {
            Some(ConfigAction::History(history)) => {
                let held = self.list(&history.key).await?;
                Ok(query::history(&held, history.limit))
            }
            Some(ConfigAction::Show(show)) => {
                Ok(query::items(&self.source.config(), &show.key, |_| true))
            }
            None => Err(no_action()),
        }
    }

    /// Deletes some records of things that were removed long ago, so that names that
    /// come and go don't pile up.
    async fn delete_old(&self, listing: &[(String, Held)], now: Millis) {
        let before = now.saturating_sub(KEPT_RETENTIONS * self.retention_ms);
        let old = listing
            .iter()
            .filter(|(_, held)| held.was_removed_before(before));
        for (key, held) in old.take(DELETED) {
            self.store.delete(key, held).await;
        }
    }

    /// Carries out a change of `key`, read as `held`, that `plan` has decided.
    async fn change(
        &self,
        key: &str,
        held: &Held,
        at: Option<u64>,
        plan: impl FnOnce() -> Result<Plan, Refusal>,
        author: &Author,
    ) -> Result<Answer, Refusal> {
        if held.is_unreadable() {
            let message = format!("{key}: what is there cannot be read");
            return Err(Refusal::new(Code::Refused, message));
        }
        if let Some(written) = repeated(key, held, author) {
            return Ok(Answer::Written(written));
        }
        if at.is_some() && at != held.revision {
            return Err(conflict(key, held, author));
        }
        let plan = plan().map_err(|refusal| explained(refusal, key, held, author))?;
        let written = match plan {
            Plan::Write(object) => self.store.swap(key, held, object, author).await?,
            Plan::Keep => kept(key, held, author),
        };
        Ok(Answer::Written(written))
    }
}

/// The words of a command as they are kept.
pub(crate) fn kept_words(request: &Request) -> String {
    words::kept(&request.words)
}

/// The answer to a command that was accepted when it was sent before.
fn repeated(key: &str, held: &Held, author: &Author) -> Option<Written> {
    let (entry, revision) = held.found()?;
    let Outcome::Written { revision, replaced } = cas::find(author.command, entry, revision)?
    else {
        return None;
    };
    Some(Written {
        revision,
        repeated: true,
        replaced,
        ..kept(key, held, author)
    })
}

fn kept(key: &str, held: &Held, author: &Author) -> Written {
    Written {
        command: author.command,
        key: key.to_owned(),
        revision: held.revision.unwrap_or_default(),
        repeated: false,
        unchanged: true,
        replaced: None,
        object: held.object().cloned(),
    }
}

/// A conflict with what is there names it.
fn explained(refusal: Refusal, key: &str, held: &Held, author: &Author) -> Refusal {
    if refusal.code != Code::Conflict {
        return refusal;
    }
    let there = conflict(key, held, author);
    Refusal {
        message: format!("{}; {}", refusal.message, there.message),
        ..there
    }
}

/// The objects of a listing.
fn objects(listing: &[(String, Held)]) -> impl Iterator<Item = &Object> {
    listing.iter().filter_map(|(_, held)| held.object())
}

fn no_action() -> Refusal {
    Refusal::new(Code::Usage, "a word is missing")
}
