//! What a sidecar was told of the waiting requests.

use std::collections::HashMap;

use mulberryyoke_model::{CustomerId, Interest};

/// Counts of waiting requests as last declared.
#[derive(Debug, Default)]
pub(super) struct Told {
    waiting: HashMap<CustomerId, [u16; 3]>,
}

impl Told {
    /// Keeps of `interest` what the sidecar does not know already.
    pub(super) fn news(&mut self, interest: Vec<Interest>) -> Vec<Interest> {
        let news = interest.into_iter().filter(|now| {
            let told = self.waiting.get(&now.customer).copied().unwrap_or_default();
            told != now.waiting
        });
        let news: Vec<Interest> = news.collect();
        for interest in &news {
            self.set(interest);
        }
        news
    }

    /// Forgets everything, as the sidecar does on a full declaration.
    pub(super) fn clear(&mut self) {
        self.waiting.clear();
    }

    fn set(&mut self, interest: &Interest) {
        if interest.total() == 0 {
            self.waiting.remove(&interest.customer);
        } else {
            self.waiting.insert(interest.customer, interest.waiting);
        }
    }
}
