//! Urgency classes.

use serde::{Deserialize, Serialize};

/// How a request ranks among the waiting requests of its own customer.
///
/// The order is the rank: urgent requests go first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Goes first, within a bounded lead over other customers.
    Urgent,
    /// Neither urgent nor deferrable.
    #[default]
    Normal,
    /// May wait until its deadline nears.
    Deferrable,
}

impl Class {
    /// Every class, by rank.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Deferrable];

    /// Position in [`Class::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }

    /// The word used in settings, headers and commands.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Deferrable => "deferrable",
        }
    }

    /// Reads the word of a class; `None` for any other word.
    #[must_use]
    pub fn parse(word: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|class| class.as_str() == word)
    }
}
