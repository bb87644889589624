//! In-memory log that tests can wait on.

use mulberryyoke_event::Event;
use mulberryyoke_event::slog::{Drain, Logger, Never, OwnedKVList, Record, o};
use tokio::sync::watch;

/// Messages of the events logged so far.
#[derive(Clone)]
pub struct Log(watch::Sender<Vec<String>>);

impl Log {
    pub fn new() -> Self {
        Self(watch::Sender::new(Vec::new()))
    }

    pub fn logger(&self) -> Logger {
        Logger::root(self.clone(), o!())
    }

    /// Number of times that an event was logged.
    pub fn count(&self, event: Event) -> usize {
        let texts = self.0.borrow();
        texts.iter().filter(|text| *text == event.text()).count()
    }

    /// Waits until an event was logged at least `count` times.
    pub async fn wait_for(&self, event: Event, count: usize) {
        let mut logged = self.0.subscribe();
        let is_reached = |texts: &Vec<String>| {
            texts.iter().filter(|text| *text == event.text()).count() >= count
        };
        logged
            .wait_for(is_reached)
            .await
            .expect("the log holds a sender");
    }
}

impl Drain for Log {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let text = record.msg().to_string();
        self.0.send_modify(|texts| texts.push(text));
        Ok(())
    }
}
