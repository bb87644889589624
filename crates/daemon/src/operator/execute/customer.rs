//! Commands on customers.

use mulberryyoke_command::CustomerAction;
use mulberryyoke_command::answer::{Answer, Refusal};
use mulberryyoke_model::{Customer, Object};

use super::{Execute, no_action, objects};
use crate::operator::author::Author;
use crate::operator::plan::customer as plan;
use crate::operator::query;
use crate::operator::store::pick;

impl Execute {
    pub(super) async fn customer(
        &self,
        action: Option<&CustomerAction>,
        author: &Author,
    ) -> Result<Answer, Refusal> {
        match action {
            Some(CustomerAction::Add(add)) => {
                let key = format!("customer/{}", add.name);
                let listing = self.list("customer/").await?;
                let (held, others) = (pick(&listing, &key), customers(objects(&listing)));
                let plan = || plan::add(add, held.object(), &others);
                let answer = self.change(&key, &held, None, plan, author).await?;
                self.delete_old(&listing, author.at).await;
                Ok(answer)
            }
            Some(CustomerAction::Set(set)) => {
                let key = format!("customer/{}", set.name);
                let listing = self.list("customer/").await?;
                let (held, others) = (pick(&listing, &key), customers(objects(&listing)));
                let plan = || plan::set(set, held.object(), &others);
                self.change(&key, &held, set.at, plan, author).await
            }
            Some(CustomerAction::Remove(remove)) => {
                let key = format!("customer/{}", remove.name);
                let held = self.get(&key).await?;
                let plan = || plan::remove(&remove.name, held.object());
                self.change(&key, &held, remove.at, plan, author).await
            }
            Some(CustomerAction::Show(show)) => {
                query::item(&self.source.config(), &format!("customer/{}", show.name))
            }
            Some(CustomerAction::List(_)) => {
                Ok(query::items(&self.source.config(), "customer/", |_| true))
            }
            None => Err(no_action()),
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
