//! Commands on customers.

use gumdrop::Options;
use mulberryyoke_model::Class;

use crate::value;

/// Customers, their shares, classes and keys.
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct Customer {
    /// print this help
    pub help: bool,
    /// subcommand
    #[options(command, required)]
    pub action: Option<Action>,
}

/// Subcommands on customers.
#[derive(Clone, Debug, PartialEq, Eq, Options)]
pub enum Action {
    /// add a customer
    Add(Add),
    /// change a customer
    Set(Set),
    /// remove a customer
    Remove(Remove),
    /// show a customer
    Show(Show),
    /// list all customers
    List(List),
}

/// Adds a customer. Without --key, the client generates a bearer key and prints
/// it once; only its hash is stored.
///
/// Example: mulberryyoke customer add scouts --share 4 --class normal --wait
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct Add {
    /// print this help
    pub help: bool,
    /// unique name
    #[options(free, required, parse(try_from_str = "value::name"))]
    pub name: String,
    /// weight of its share, at least 1
    #[options(meta = "N", default = "1", parse(try_from_str = "value::positive"))]
    pub share: u32,
    /// default class of requests: urgent, normal or deferrable (default normal)
    #[options(meta = "CLASS", parse(try_from_str = "value::class"))]
    pub class: Class,
    /// bearer key; may be given several times
    #[options(meta = "KEY", parse(try_from_str = "value::key"))]
    pub key: Vec<String>,
    /// maximum number of queued requests per router (default: the router's setting)
    #[options(meta = "N", parse(try_from_str = "value::positive"))]
    pub queue: Option<u32>,
    /// wait until every node has applied the change
    pub wait: bool,
    /// print JSON
    pub json: bool,
}

/// Changes a customer. Options that are not given keep their values.
///
/// Example: mulberryyoke customer set scouts --share 6 --wait
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct Set {
    /// print this help
    pub help: bool,
    /// its name
    #[options(free, required, parse(try_from_str = "value::name"))]
    pub name: String,
    /// weight of its share, at least 1
    #[options(meta = "N", parse(try_from_str = "value::positive"))]
    pub share: Option<u32>,
    /// default class of requests: urgent, normal or deferrable
    #[options(meta = "CLASS", parse(try_from_str = "value::class"))]
    pub class: Option<Class>,
    /// additional bearer key; may be given several times
    #[options(meta = "KEY", parse(try_from_str = "value::key"))]
    pub key: Vec<String>,
    /// remove the key whose hash has this prefix; may be given several times
    #[options(meta = "HASH")]
    pub drop_key: Vec<String>,
    /// maximum number of queued requests per router
    #[options(meta = "N", parse(try_from_str = "value::positive"))]
    pub queue: Option<u32>,
    /// fail unless its latest write has this revision
    #[options(meta = "REVISION")]
    pub at: Option<u64>,
    /// wait until every node has applied the change
    pub wait: bool,
    /// print JSON
    pub json: bool,
}

/// Removes a customer; its keys are no longer accepted.
///
/// Example: mulberryyoke customer remove scouts --wait
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct Remove {
    /// print this help
    pub help: bool,
    /// its name
    #[options(free, required, parse(try_from_str = "value::name"))]
    pub name: String,
    /// fail unless its latest write has this revision
    #[options(meta = "REVISION")]
    pub at: Option<u64>,
    /// wait until every node has applied the change
    pub wait: bool,
    /// print JSON
    pub json: bool,
}

/// Shows a customer, the hashes of its keys and its latest write.
///
/// Example: mulberryyoke customer show scouts
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct Show {
    /// print this help
    pub help: bool,
    /// its name
    #[options(free, required, parse(try_from_str = "value::name"))]
    pub name: String,
    /// print JSON
    pub json: bool,
}

/// Lists all customers.
///
/// Example: mulberryyoke customer list --json
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct List {
    /// print this help
    pub help: bool,
    /// print JSON
    pub json: bool,
}

impl Action {
    pub(crate) const fn is_write(&self) -> bool {
        matches!(self, Self::Add(_) | Self::Set(_) | Self::Remove(_))
    }

    pub(crate) const fn json(&self) -> bool {
        match self {
            Self::Add(add) => add.json,
            Self::Set(set) => set.json,
            Self::Remove(remove) => remove.json,
            Self::Show(show) => show.json,
            Self::List(list) => list.json,
        }
    }

    pub(crate) const fn wait(&self) -> bool {
        match self {
            Self::Add(add) => add.wait,
            Self::Set(set) => set.wait,
            Self::Remove(remove) => remove.wait,
            Self::Show(_) | Self::List(_) => false,
        }
    }

    pub(crate) fn check(&self) -> Result<(), String> {
        match self {
            Self::Set(set) => set.check(),
            Self::Add(_) | Self::Remove(_) | Self::Show(_) | Self::List(_) => Ok(()),
        }
    }
}

impl Set {
    fn check(&self) -> Result<(), String> {
        let has_values = self.share.is_some() || self.class.is_some() || self.queue.is_some();
        if has_values || !self.key.is_empty() || !self.drop_key.is_empty() {
            return Ok(());
        }
        Err("nothing to change; expected --share, --class, --key, --drop-key or --queue".into())
    }
}
