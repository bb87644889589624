//! Proof that a server instance lived on after the end of one of its connections.
//!
//! An answer without a length or chunks ends with its connection, and so does one whose server
//! crashes. Nothing that arrives later tells them apart by its time: links delay packets, and the
//! next instance may listen at the same address. Proof is an answer of that instance to something
//! that was sent after the end was observed.

mod mark;
mod verdict;

pub use self::mark::Mark;
pub use self::verdict::Verdict;

/// What the answers of one server instance prove.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Survival {
    /// Mark of the last send or end.
    last: Mark,
    /// Latest send that the instance answered.
    answered: Mark,
    /// Latest send that found the instance gone.
    gone: Mark,
}

impl Survival {
    /// Returns the mark of a request that is about to be sent, or of an end that was just observed.
    pub const fn mark(&mut self) -> Mark {
        self.last = self.last.next();
        self.last
    }

    /// Records that the instance itself answered a request sent at `sent`.
    pub fn record_answer(&mut self, sent: Mark) {
        self.answered = self.answered.max(sent);
    }

    /// Records that a request sent at `sent` found another instance, or none, at the address.
    pub fn record_gone(&mut self, sent: Mark) {
        self.gone = self.gone.max(sent);
    }

    /// Returns whether the instance lived on after an end observed at `end`. One that answered and
    /// then left has survived.
    #[must_use]
    pub fn verdict(&self, end: Mark) -> Verdict {
        if self.answered > end {
            Verdict::Survived
        } else if self.gone > end {
            Verdict::Gone
        } else {
            Verdict::Unknown
        }
    }
}
