//! Commands on pools.

use mulberryyoke_command::PoolAction;
use mulberryyoke_command::api::{CommandError, Output};
use mulberryyoke_model::{Object, Pool};

use super::server::servers;
use super::{Executor, missing_action, objects};
use crate::operator::author::Author;
use crate::operator::plan::pool as plan;
use crate::operator::query;
use crate::operator::store::lookup;

impl Executor {
    pub(super) async fn pool(
        &self,
        action: Option<&PoolAction>,
        author: &Author,
    ) -> Result<Output, CommandError> {
        match action {
            Some(PoolAction::Add(add)) => {
                let key = format!("pool/{}", add.name);
                let listing = self.list("pool/").await?;
                let (current, others) = (lookup(&listing, &key), pools(objects(&listing)));
                let plan = || plan::add(add, current.object(), &others);
                let answer = self.change(&key, &current, None, plan, author).await?;
                self.delete_tombstones(&listing, author.at).await;
                Ok(answer)
            }
            Some(PoolAction::Set(set)) => {
                let key = format!("pool/{}", set.name);
                let listing = self.list("pool/").await?;
                let (current, others) = (lookup(&listing, &key), pools(objects(&listing)));
                let plan = || plan::set(set, current.object(), &others);
                self.change(&key, &current, set.at, plan, author).await
            }
            Some(PoolAction::Remove(remove)) => {
                let key = format!("pool/{}", remove.name);
                let current = self.get(&key).await?;
                let listing = self.list("server/").await?;
                let remaining = servers(objects(&listing));
                let plan = || plan::remove(&remove.name, current.object(), &remaining);
                self.change(&key, &current, remove.at, plan, author).await
            }
            Some(PoolAction::List(_)) => Ok(query::items(&self.router.config(), "pool/", |_| true)),
            None => Err(missing_action()),
        }
    }
}

fn pools<'a>(objects: impl Iterator<Item = &'a Object>) -> Vec<Pool> {
    let pools = objects.filter_map(|object| match object {
        Object::Pool(pool) => Some(pool.clone()),
        Object::Customer(_) | Object::Server(_) => None,
    });
    pools.collect()
}
