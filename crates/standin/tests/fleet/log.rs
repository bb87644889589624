//! A log that tests can wait on.

use mulberryyoke_event::Event;
use mulberryyoke_event::slog::{Drain, Logger, Never, OwnedKVList, Record, o};
use tokio::sync::watch;

/// Texts of the events logged so far.
#[derive(Clone)]
pub struct Log(watch::Sender<Vec<String>>);

impl Log {
    pub fn open() -> Self {
        Self(watch::Sender::new(Vec::new()))
    }

    pub fn logger(&self) -> Logger {
        Logger::root(self.clone(), o!())
    }

    /// How often an event was logged.
    pub fn count(&self, event: Event) -> usize {
        let texts = self.0.borrow();
        texts.iter().filter(|text| *text == event.text()).count()
    }

    /// Waits until an event was logged a number of times.
    pub async fn wait(&self, event: Event, count: usize) {
        let mut logged = self.0.subscribe();
        let enough = |texts: &Vec<String>| {
            texts.iter().filter(|text| *text == event.text()).count() >= count
        };
        logged.wait_for(enough).await.expect("the log stays open");
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
