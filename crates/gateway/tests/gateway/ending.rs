//! How far a server gets with an answer that crashes it.

use crate::backend::field;

/// How far a server gets with an answer that crashes it. A bare answer has neither a length nor
/// chunks, and ends with its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// Nothing is written.
    NoHead,
    /// The head, which states a length.
    HeadWithLength,
    /// The head, which announces chunks.
    HeadWithChunks,
    /// The head of a bare answer.
    BareHead,
    /// The head and a whole event.
    Event,
    /// As `Event`, of a bare answer.
    BareEvent,
    /// The head and half of an event.
    HalfEvent,
    /// As `HalfEvent`, of a bare answer.
    BareHalfEvent,
    /// The machine goes dark after the head: its connections stay open.
    Silent,
}

impl Ending {
    pub(crate) const ALL: [Self; 9] = [
        Self::NoHead,
        Self::HeadWithLength,
        Self::HeadWithChunks,
        Self::BareHead,
        Self::Event,
        Self::BareEvent,
        Self::HalfEvent,
        Self::BareHalfEvent,
        Self::Silent,
    ];

    /// Whether answers have neither a length nor chunks.
    pub(crate) const fn is_bare(self) -> bool {
        matches!(self, Self::BareHead | Self::BareEvent | Self::BareHalfEvent)
    }

    /// What is written of an answer before the crash.
    pub(crate) fn text(self, request: &str) -> String {
        match self {
            Self::NoHead => String::new(),
            Self::HeadWithLength => format!("{}content-length: 900\r\n\r\n", fields(request)),
            Self::HeadWithChunks | Self::BareHead | Self::Silent => self.head(request),
            Self::Event | Self::BareEvent => self.head(request) + &self.event(1),
            Self::HalfEvent => self.head(request) + "8\r\nid: 1\nda\r\n",
            Self::BareHalfEvent => self.head(request) + "id: 1\nda",
        }
    }

    /// Head of the answer to a request.
    pub(crate) fn head(self, request: &str) -> String {
        let framing = if self.is_bare() {
            ""
        } else {
            "transfer-encoding: chunked\r\n"
        };
        format!("{}{framing}\r\n", fields(request))
    }

    /// An event of an answer.
    pub(crate) fn event(self, number: u64) -> String {
        let text = format!("id: {number}\ndata: t{number}\n\n");
        if self.is_bare() {
            return text;
        }
        format!("{:x}\r\n{text}\r\n", text.len())
    }
}

/// Status and header lines of the answer to a request.
fn fields(request: &str) -> String {
    let id = field(request, "x-id").unwrap_or_default();
    format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-type: text/event-stream\r\n")
}
