//! A stream of watched writes.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures::stream::{BoxStream, Stream};

use crate::kv::{Error, Event, Revision};

/// A stream of watched writes in the order of their revisions. It ends after an error.
pub struct Watch {
    revision: Revision,
    events: BoxStream<'static, Result<Event, Error>>,
}

impl Watch {
    /// Makes a watch of a stream of events.
    #[must_use]
    pub fn new(revision: Revision, events: BoxStream<'static, Result<Event, Error>>) -> Self {
        Self { revision, events }
    }

    /// The service's revision when the watch was opened. One below a revision seen
    /// earlier shows that the service came back with older contents; such a watch
    /// stays silent until the service has passed the revision watched from.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }
}

impl fmt::Debug for Watch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = formatter.debug_struct("Watch");
        text.field("revision", &self.revision)
            .finish_non_exhaustive()
    }
}

impl Stream for Watch {
    type Item = Result<Event, Error>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.events.as_mut().poll_next(context)
    }
}
