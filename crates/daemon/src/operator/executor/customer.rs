//! Commands on customers.

use mulberryyoke_command::CustomerAction;
use mulberryyoke_command::api::{CommandError, Output};
use mulberryyoke_model::{Customer, Object};

use super::{Executor, missing_action, objects};
use crate::operator::author::Author;
use crate::operator::plan::customer as plan;
use crate::operator::query;
use crate::operator::store::lookup;

impl Executor {
    pub(super) async fn customer(
        &self,
        action: Option<&CustomerAction>,
        author: &Author,
    ) -> Result<Output, CommandError> {
        match action {
            Some(CustomerAction::Add(add)) => {
                let key = format!("customer/{}", add.name);
                let listing = self.list("customer/").await?;
                let (current, others) = (lookup(&listing, &key), customers(objects(&listing)));
                let plan = || plan::add(add, current.object(), &others);
                let answer = self.change(&key, &current, None, plan, author).await?;
                self.delete_tombstones(&listing, author.at).await;
                Ok(answer)
            }
            Some(CustomerAction::Set(set)) => {
                let key = format!("customer/{}", set.name);
                let listing = self.list("customer/").await?;
                let (current, others) = (lookup(&listing, &key), customers(objects(&listing)));
                let plan = || plan::set(set, current.object(), &others);
                self.change(&key, &current, set.at, plan, author).await
            }
            Some(CustomerAction::Remove(remove)) => {
                let key = format!("customer/{}", remove.name);
                let current = self.get(&key).await?;
                let plan = || plan::remove(&remove.name, current.object());
                self.change(&key, &current, remove.at, plan, author).await
            }
            Some(CustomerAction::Show(show)) => {
                query::item(&self.router.config(), &format!("customer/{}", show.name))
            }
            Some(CustomerAction::List(_)) => {
                Ok(query::items(&self.router.config(), "customer/", |_| true))
            }
            None => Err(missing_action()),
        }
    }
}

fn customers<'a>(objects: impl Iterator<Item = &'a Object>) -> Vec<Customer> {
    let customers = objects.filter_map(|object| match object {
        Object::Customer(customer) => Some(customer.clone()),
        Object::Pool(_) | Object::Server(_) => None,
    });
    customers.collect()
}
