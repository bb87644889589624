//! Commands on servers.

use mulberryyoke_command::api::{CommandError, ErrorCode, Output};
use mulberryyoke_command::{ServerAction, ServerAdd, ServerList};
use mulberryyoke_model::{Object, Revision, Server, State};

use super::{Executor, missing_action, objects};
use crate::operator::author::Author;
use crate::operator::plan::server as plan;
use crate::operator::query;
use crate::operator::store::lookup;

impl Executor {
    pub(super) async fn server(
        &self,
        action: Option<&ServerAction>,
        author: &Author,
    ) -> Result<Output, CommandError> {
        match action {
            Some(ServerAction::Add(add)) => self.add_server(add, author).await,
            Some(ServerAction::Drain(drain)) => {
                let (name, at) = (&drain.name, drain.at);
                self.set_server_state(name, State::Draining, at, author)
                    .await
            }
            Some(ServerAction::Resume(resume)) => {
                let (name, at) = (&resume.name, resume.at);
                self.set_server_state(name, State::Active, at, author).await
            }
            Some(ServerAction::Remove(remove)) => {
                let (name, at) = (&remove.name, remove.at);
                self.set_server_state(name, State::Removed, at, author)
                    .await
            }
            Some(ServerAction::List(list)) => {
                let config = self.router.config();
                Ok(query::items(&config, "server/", |object| {
                    matches(object, list)
                }))
            }
            None => Err(missing_action()),
        }
    }

    async fn add_server(&self, add: &ServerAdd, author: &Author) -> Result<Output, CommandError> {
        let key = format!("server/{}", add.name);
        let pool = self.get(&format!("pool/{}", add.pool)).await?;
        if pool.object().is_none() {
            let message = format!("pool/{}: does not exist; add it first", add.pool);
            return Err(CommandError::new(ErrorCode::Missing, message));
        }
        let listing = self.list("server/").await?;
        let (current, others) = (lookup(&listing, &key), servers(objects(&listing)));
        let plan = || plan::add(add, current.object(), &others, author.at);
        let answer = self.change(&key, &current, None, plan, author).await?;
        self.delete_tombstones(&listing, author.at).await;
        Ok(answer)
    }

    async fn set_server_state(
        &self,
        name: &str,
        state: State,
        at: Option<Revision>,
        author: &Author,
    ) -> Result<Output, CommandError> {
        let key = format!("server/{name}");
        let current = self.get(&key).await?;
        let plan = || plan::set_state(name, state, current.object(), author.at);
        self.change(&key, &current, at, plan, author).await
    }
}

pub(super) fn servers<'a>(objects: impl Iterator<Item = &'a Object>) -> Vec<Server> {
    let servers = objects.filter_map(|object| match object {
        Object::Server(server) => Some(server.clone()),
        Object::Customer(_) | Object::Pool(_) => None,
    });
    servers.collect()
}

fn matches(object: &Object, list: &ServerList) -> bool {
    let Object::Server(server) = object else {
        return false;
    };
    let visible = list.all || server.state != State::Removed;
    visible && list.pool.as_ref().is_none_or(|pool| *pool == server.pool)
}
