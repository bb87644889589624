//! Changes of customers.

use mulberryyoke_command::api::CommandError;
use mulberryyoke_command::{CustomerAdd, CustomerSet};
use mulberryyoke_model::{Customer, CustomerId, KeyHash, Object};

use super::{Plan, already_exists, not_found, rejected};

/// Adds a customer. `others` are checked for duplicate IDs and keys.
pub(crate) fn add(
    add: &CustomerAdd,
    current: Option<&Object>,
    others: &[Customer],
) -> Result<Plan, CommandError> {
    let key = format!("customer/{}", add.name);
    let customer = Customer {
        name: add.name.clone(),
        share: add.share,
        class: add.class,
        keys: add.key.iter().map(|key| KeyHash::of(key)).collect(),
        queue: add.queue,
    };
    check_unique(&key, &customer, others)?;
    let object = Object::Customer(customer);
    match current {
        Some(current) if *current == object => Ok(Plan::Unchanged),
        Some(_) => Err(already_exists(&key)),
        None => Ok(Plan::Write(Some(object))),
    }
}

/// Changes the given properties of a customer.
pub(crate) fn set(
    set: &CustomerSet,
    current: Option<&Object>,
    others: &[Customer],
) -> Result<Plan, CommandError> {
    let key = format!("customer/{}", set.name);
    let Some(Object::Customer(old)) = current else {
        return Err(not_found(&key));
    };
    let mut customer = old.clone();
    customer.share = set.share.unwrap_or(old.share);
    customer.class = set.class.unwrap_or(old.class);
    customer.queue = set.queue.or(old.queue);
    for hash in &set.drop_key {
        drop_key(&key, &mut customer.keys, hash)?;
    }
    for added in set.key.iter().map(|key| KeyHash::of(key)) {
        if !customer.keys.contains(&added) {
            customer.keys.push(added);
        }
    }
    check_unique(&key, &customer, others)?;
    Ok(Plan::write_if_changed(Object::Customer(customer), current))
}

pub(crate) fn remove(name: &str, current: Option<&Object>) -> Result<Plan, CommandError> {
    match current {
        Some(_) => Ok(Plan::Write(None)),
        None => Err(not_found(&format!("customer/{name}"))),
    }
}

fn drop_key(key: &str, keys: &mut Vec<KeyHash>, hash_prefix: &str) -> Result<(), CommandError> {
    let matches = |hash: &KeyHash| hash.0.starts_with(hash_prefix);
    match keys.iter().filter(|hash| matches(hash)).count() {
        1 => keys.retain(|hash| !matches(hash)),
        0 => {
            return Err(rejected(
                key,
                format_args!("no key's hash starts with {hash_prefix}"),
            ));
        }
        _ => {
            let reason = format_args!("the hashes of several keys start with {hash_prefix}");
            return Err(rejected(key, reason));
        }
    }
    Ok(())
}

/// Rejects an ID or key that another customer has.
fn check_unique(key: &str, customer: &Customer, others: &[Customer]) -> Result<(), CommandError> {
    let id = CustomerId::of(&customer.name);
    for other in others.iter().filter(|other| other.name != customer.name) {
        if CustomerId::of(&other.name) == id {
            let reason = format_args!(
                "name has the same ID as customer {}; choose another name",
                other.name
            );
            return Err(rejected(key, reason));
        }
        if other.keys.iter().any(|hash| customer.keys.contains(hash)) {
            let reason = format_args!("a key already belongs to customer {}", other.name);
            return Err(rejected(key, reason));
        }
    }
    Ok(())
}
