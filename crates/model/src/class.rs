//! Priority classes.

use serde::{Deserialize, Serialize};

/// Priority of a request among the queued requests of its customer, highest first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Served first, with a bounded advantage over other customers.
    Urgent,
    /// Default priority.
    #[default]
    Normal,
    /// May be delayed until close to its deadline.
    Deferrable,
}

impl Class {
    /// All classes, highest priority first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Deferrable];

    /// Index in [`Class::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Name in settings, headers and commands.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Deferrable => "deferrable",
        }
    }

    /// Parses the name of a class.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|class| class.as_str() == name)
    }
}
