//! Decoding of watch streams.

use std::collections::VecDeque;
use std::io;
use std::time::{Duration, Instant};

use futures::{StreamExt, TryStreamExt, stream};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::timeout_at;
use tokio_util::codec::{FramedRead, LinesCodec, LinesCodecError};
use tokio_util::io::StreamReader;

use crate::HttpError;
use crate::kv::etcd::response::{self, StreamItem, WatchMessage};
use crate::kv::{Error, Event, Options, Watch};

type Lines = stream::BoxStream<'static, Result<String, LinesCodecError>>;

/// Decoder of an open watch stream.
struct Reader {
    lines: Lines,
    watch_idle_timeout_ms: u64,
    events: VecDeque<Event>,
    ended: bool,
}

/// Reads the message that confirms the creation of a watch.
pub(crate) async fn open(
    response: Response<Incoming>,
    deadline: Instant,
    options: Options,
) -> Result<Watch, Error> {
    let mut reader = Reader {
        lines: lines(response, options.max_response_bytes),
        watch_idle_timeout_ms: options.watch_idle_timeout_ms,
        events: VecDeque::new(),
        ended: false,
    };
    let first = reader.next_message(deadline).await?;
    if !first.created {
        let cause =
            HttpError::Malformed("first watch message does not confirm its creation".to_owned());
        return Err(Error::Unknown(cause));
    }
    reader.enqueue(first.events);
    let events = stream::unfold(reader, |mut reader| async move {
        let event = reader.next().await?;
        Some((event, reader))
    });
    Ok(Watch::new(first.header.revision, events.boxed()))
}

impl Reader {
    async fn next(&mut self) -> Option<Result<Event, Error>> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Some(Ok(event));
            }
            if self.ended {
                return None;
            }
            let deadline = Instant::now() + Duration::from_millis(self.watch_idle_timeout_ms);
            match self.next_message(deadline).await {
                Ok(message) => self.enqueue(message.events),
                Err(error) => {
                    self.ended = true;
                    return Some(Err(error));
                }
            }
        }
    }

    fn enqueue(&mut self, events: Vec<response::Event>) {
        self.events
            .extend(events.into_iter().filter_map(convert_event));
    }

    async fn next_message(&mut self, deadline: Instant) -> Result<WatchMessage, Error> {
        let Ok(line) = timeout_at(deadline.into(), self.lines.next()).await else {
            return Err(Error::Unknown(HttpError::TimedOut));
        };
        let line = match line {
            Some(Ok(line)) => line,
            Some(Err(error)) => {
                return Err(Error::Unknown(HttpError::Disconnected(error.to_string())));
            }
            None => {
                return Err(Error::Unknown(HttpError::Disconnected(
                    "end of watch stream".to_owned(),
                )));
            }
        };
        parse(&line)
    }
}

fn parse(line: &str) -> Result<WatchMessage, Error> {
    let malformed = |text| Error::Unknown(HttpError::Malformed(text));
    let message: StreamItem<WatchMessage> =
        serde_json::from_str(line).map_err(|error| malformed(error.to_string()))?;
    if let Some(error) = message.error {
        return Err(malformed(error.to_string()));
    }
    let Some(watched) = message.result else {
        return Err(malformed(
            "message has neither a result nor an error".to_owned(),
        ));
    };
    if watched.compact_revision > 0 {
        return Err(Error::Compacted(watched.compact_revision));
    }
    if watched.canceled {
        return Err(Error::Unknown(HttpError::Disconnected(
            watched.cancel_reason,
        )));
    }
    Ok(watched)
}

/// Returns the event; `None` if its key is no text.
fn convert_event(event: response::Event) -> Option<Event> {
    let is_put = event.kind == response::EventKind::Put;
    let pair = event.kv.into_pair()?;
    Some(Event {
        key: pair.key,
        value: is_put.then_some(pair.value),
        revision: pair.revision,
    })
}

fn lines(response: Response<Incoming>, limit: usize) -> Lines {
    let body = response
        .into_body()
        .into_data_stream()
        .map_err(io::Error::other);
    let codec = LinesCodec::new_with_max_length(limit);
    FramedRead::new(StreamReader::new(body), codec).boxed()
}
