//! What a sidecar believes to wait at a router, and what is worth telling it.

use std::collections::{BTreeMap, HashMap};

use mulberryyoke_model::{CustomerId, Interest};

/// Most requests of one class told to a sidecar. It hands out few slots between
/// two declarations, so larger counts would only have to be corrected more often.
pub const MOST_TOLD: u16 = 16;

/// A count is told again once it is off by more than this factor.
const TOLERANCE: u16 = 2;

/// Counts of waiting requests as one sidecar believes them, and what it does not
/// know yet.
#[derive(Clone, Debug, Default)]
pub struct Told {
    believed: HashMap<CustomerId, [u16; 3]>,
    pending: BTreeMap<CustomerId, Interest>,
    has_declined: bool,
}

impl Told {
    /// Takes over what waits now. A count that is near enough is not told.
    pub fn note(&mut self, interest: Vec<Interest>) {
        for mut now in interest {
            now.waiting = now.waiting.map(|count| count.min(MOST_TOLD));
            let believed = self.believed(now.customer);
            if is_near(believed, now.waiting) {
                self.pending.remove(&now.customer);
            } else {
                self.pending.insert(now.customer, now);
            }
        }
    }

    /// Whether anything is to be told.
    #[must_use]
    pub fn has_news(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether it is to be told at once: requests wait of which the sidecar does
    /// not know, or it has just reserved a slot for nothing.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        let mut pending = self.pending.values();
        self.has_declined || pending.any(|now| is_unknown(self.believed(now.customer), now.waiting))
    }

    /// Takes out all that is to be told; the sidecar believes it from now on.
    pub fn take(&mut self) -> Vec<Interest> {
        self.has_declined = false;
        let news = std::mem::take(&mut self.pending);
        for interest in news.values() {
            if interest.total() == 0 {
                self.believed.remove(&interest.customer);
            } else {
                self.believed.insert(interest.customer, interest.waiting);
            }
        }
        news.into_values().collect()
    }

    /// The sidecar reserved a slot, and counts one request of the best class less.
    pub fn granted(&mut self, customer: CustomerId) {
        let Some(believed) = self.believed.get_mut(&customer) else {
            return;
        };
        if let Some(best) = believed.iter_mut().find(|count| **count > 0) {
            *best -= 1;
        }
    }

    /// The slot found no request.
    pub fn declined(&mut self) {
        self.has_declined = true;
    }

    /// Forgets everything, as the sidecar does on a full declaration.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn believed(&self, customer: CustomerId) -> [u16; 3] {
        self.believed.get(&customer).copied().unwrap_or_default()
    }
}

fn is_unknown(believed: [u16; 3], now: [u16; 3]) -> bool {
    let mut pairs = believed.into_iter().zip(now);
    pairs.any(|(believed, now)| believed == 0 && now > 0)
}

fn is_near(believed: [u16; 3], now: [u16; 3]) -> bool {
    let mut pairs = believed.into_iter().zip(now);
    pairs.all(|(believed, now)| {
        let same_zero = (believed == 0) == (now == 0);
        same_zero && believed <= now * TOLERANCE && now <= believed * TOLERANCE
    })
}
