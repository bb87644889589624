//! Watch streams.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures::stream::{BoxStream, Stream};

use crate::kv::{Error, Event, Revision};

/// Stream of watch events in revision order. It ends after an error.
pub struct Watch {
    revision: Revision,
    events: BoxStream<'static, Result<Event, Error>>,
}

impl Watch {
    /// Creates a watch from a stream of events.
    #[must_use]
    pub fn new(revision: Revision, events: BoxStream<'static, Result<Event, Error>>) -> Self {
        Self { revision, events }
    }

    /// Revision of the service when the watch was opened. If it is below a revision received
    /// earlier, the service was restored from a backup, and the watch yields no events until
    /// the service passes the start revision.
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
