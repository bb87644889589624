//! Changes of customers.

use mulberryyoke_command::answer::Refusal;
use mulberryyoke_command::{CustomerAdd, CustomerSet};
use mulberryyoke_model::{Customer, CustomerId, KeyHash, Object};

use super::{Plan, exists, missing, refused};

/// Adds a customer beside `others`.
pub(crate) fn add(
    add: &CustomerAdd,
    held: Option<&Object>,
    others: &[Customer],
) -> Result<Plan, Refusal> {
    let key = format!("customer/{}", add.name);
    let customer = Customer {
        name: add.name.clone(),
        share: add.share,
        class: add.class,
        keys: add.key.iter().map(|key| KeyHash::of(key)).collect(),
        queue: add.queue,
    };
    check(&key, &customer, others)?;
    let object = Object::Customer(customer);
    match held {
        Some(held) if *held == object => Ok(Plan::Keep),
        Some(_) => Err(exists(&key)),
        None => Ok(Plan::Write(Some(object))),
    }
}

/// Changes what `set` names.
pub(crate) fn set(
    set: &CustomerSet,
    held: Option<&Object>,
    others: &[Customer],
) -> Result<Plan, Refusal> {
    let key = format!("customer/{}", set.name);
    let Some(Object::Customer(old)) = held else {
        return Err(missing(&key));
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
    check(&key, &customer, others)?;
    Ok(Plan::put(Object::Customer(customer), held))
}

/// Removes a customer.
pub(crate) fn remove(name: &str, held: Option<&Object>) -> Result<Plan, Refusal> {
    match held {
        Some(_) => Ok(Plan::Write(None)),
        None => Err(missing(&format!("customer/{name}"))),
    }
}

fn drop_key(key: &str, keys: &mut Vec<KeyHash>, start: &str) -> Result<(), Refusal> {
    let matching = |hash: &KeyHash| hash.0.starts_with(start);
    match keys.iter().filter(|hash| matching(hash)).count() {
        1 => keys.retain(|hash| !matching(hash)),
        0 => {
            return Err(refused(
                key,
                format_args!("no key's hash starts with {start}"),
            ));
        }
        _ => {
            let reason = format_args!("the hashes of several keys start with {start}");
            return Err(refused(key, reason));
        }
    }
    Ok(())
}

/// Refuses identities and keys that another customer has.
fn check(key: &str, customer: &Customer, others: &[Customer]) -> Result<(), Refusal> {
    let id = CustomerId::of(&customer.name);
    for other in others.iter().filter(|other| other.name != customer.name) {
        if CustomerId::of(&other.name) == id {
            let reason = format_args!(
                "its identity is that of customer {}; choose another name",
                other.name
            );
            return Err(refused(key, reason));
        }
        if other.keys.iter().any(|hash| customer.keys.contains(hash)) {
            let reason = format_args!("a key belongs to customer {} already", other.name);
            return Err(refused(key, reason));
        }
    }
    Ok(())
}
