//! The catalogue of events.

macro_rules! catalogue {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $level:ident, $text:literal;)+) => {
        /// An event: a fixed number, a level and a text. The fields are named at
        /// the place that logs it and in `docs/EVENTS.md`.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[doc = $doc])+ $name,)+
        }

        impl Event {
            /// Every event.
            pub const ALL: &[Self] = &[$(Self::$name,)+];

            /// Its number.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)+ }
            }

            /// Its level.
            #[must_use]
            pub const fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)+ }
            }

            /// Its text.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)+ }
            }
        }
    };
}

/// How grave an event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Level {
    /// Each decision.
    Info,
    /// Something an operator may want to know of.
    Warning,
    /// Something an operator has to act on.
    Error,
}

catalogue! {
    /// A router sent a request to a server.
    Routed = 1001, Info, "request routed";
    /// A router keeps a request until a server has a free slot.
    Queued = 1002, Info, "request waits";
    /// A router refused a request.
    Refused = 1003, Info, "request refused";
    /// A router finished a request.
    Answered = 1004, Info, "request answered";
    /// A router tries a request again on another server.
    Retried = 1005, Info, "request retried";
    /// A router cannot tell what became of a request.
    Doubtful = 1006, Warning, "outcome unknown";
    /// An answer was cut off before its end.
    Truncated = 1007, Warning, "answer cut off";
    /// A late or crossed answer was dropped.
    Dropped = 1008, Warning, "late answer dropped";
    /// A link to a sidecar is up.
    LinkUp = 1010, Info, "sidecar connected";
    /// A link to a sidecar is down.
    LinkDown = 1011, Warning, "sidecar disconnected";
    /// A peer router answered again.
    PeerUp = 1012, Info, "peer connected";
    /// A peer router does not answer.
    PeerDown = 1013, Warning, "peer disconnected";
    /// A stream that a router passed on has ended.
    Streamed = 1014, Info, "stream ended";
    /// A connection of a caller could not be taken.
    AcceptFailed = 1015, Warning, "connection not accepted";
    /// A router uses a server, or no longer gives it new work.
    ServerSeen = 1016, Info, "server registered";
    /// A router no longer uses a server.
    ServerGone = 1017, Info, "server gone";
    /// A router could not tell its peers where it is.
    AnnounceFailed = 1018, Warning, "address not announced";
    /// A router sends a request to no server, because the best one has too much to do.
    HeldBack = 1019, Info, "request held back";
    /// A router has more to do than its processor can, or no longer.
    Strained = 1020, Warning, "strain changed";
    /// A caller's head could not be read.
    Malformed = 1021, Info, "head malformed";
    /// A model server told which prompt parts it keeps.
    Listed = 1022, Info, "kept parts listed";
    /// A model server could not be asked which prompt parts it keeps.
    ListFailed = 1023, Warning, "kept parts not listed";
    /// A router hears of none of its peers, or again of some.
    Alone = 1024, Warning, "load of peers unknown changed";
    /// A life of a server is seen to have ended where requests broke off.
    ServerEnded = 1025, Warning, "server ended";
    /// More than one server ended under one request.
    Suspected = 1026, Warning, "request under suspicion";
    /// A request ended so many servers that it reaches no more.
    Convicted = 1027, Error, "request quarantined";
    /// Nothing is held against a request any more.
    Cleared = 1028, Info, "request cleared";
    /// A request in quarantine, or under suspicion while another copy runs, was not sent.
    Withheld = 1029, Info, "request withheld";
    /// The router that decides about a request under suspicion could not be asked.
    AdmitFailed = 1030, Warning, "router that decides not asked";
    /// A conviction could not be written to the key-value service.
    ConvictionUnwritten = 1031, Warning, "conviction not written";
    /// A server is not used again as an older copy of the key-value service says.
    ServerHeldOver = 1032, Info, "server not brought back";
    /// A router sends nothing to the servers of an availability zone, or again.
    Evacuated = 1033, Warning, "evacuation changed";
    /// A connection could not be handed on to a larger router.
    HandoffFailed = 1034, Info, "connection not handed on";
    /// A server said with an answer that it leaves.
    ServerLeaves = 1035, Warning, "server says that it leaves";
    /// A server asked for a time without requests.
    ServerRests = 1036, Warning, "server asks for rest";
    /// A server that had asked for rest has answered a request.
    ServerRested = 1037, Info, "server takes requests again";
    /// A sidecar reserved a slot for a customer's request at a router.
    Granted = 2001, Info, "slot granted";
    /// A sidecar started a request on its server.
    Started = 2002, Info, "request started";
    /// A request ended on the server.
    Ended = 2003, Info, "request ended";
    /// A sidecar turned a request away.
    TurnedAway = 2004, Info, "request turned away";
    /// A running request was cancelled because its caller is gone.
    Cancelled = 2005, Info, "request cancelled";
    /// An attempt was withdrawn before it started.
    Withdrawn = 2006, Info, "attempt withdrawn";
    /// The backend failed after a request was sent to it.
    BackendFailed = 2007, Warning, "backend failed";
    /// Idempotency keys are in doubt after a restart.
    KeysDoubtful = 2008, Warning, "earlier keys unknown";
    /// Earlier idempotency keys are known again.
    KeysRecovered = 2009, Info, "earlier keys recovered";
    /// The backend cannot be reached; nothing is started on it.
    BackendDown = 2010, Warning, "backend unreachable";
    /// The backend can be reached again.
    BackendUp = 2011, Info, "backend reachable";
    /// A stream that broke off goes on where it stopped.
    Resumed = 2012, Info, "stream resumed";
    /// Another life of the sidecar has taken over the server's home record.
    Superseded = 2013, Error, "home record taken over";
    /// An accepted configuration is in force on this node.
    ConfigApplied = 3001, Info, "configuration applied";
    /// The key-value service does not answer.
    KvDown = 3002, Warning, "key-value service unreachable";
    /// The key-value service answers again.
    KvUp = 3003, Info, "key-value service reachable";
    /// The key-value service came back with older contents, which are not followed.
    KvBehind = 3004, Error, "key-value service has older contents";
    /// The VM list does not answer.
    VmsDown = 3005, Warning, "VM list unreachable";
    /// A value in the key-value service cannot be read.
    ConfigUnreadable = 3006, Error, "configuration value unreadable";
    /// The key-value service came back from a copy and has lost its latest writes.
    KvRestored = 3007, Error, "key-value service restored from a copy";
    /// An operator's command was carried out or refused.
    Commanded = 4001, Info, "operator command";
    /// An operator's key was wrong.
    OperatorDenied = 4002, Warning, "operator denied";
    /// A process is ready.
    Ready = 5001, Info, "ready";
    /// A planned stop began.
    Stopping = 5002, Info, "stopping";
    /// A process has stopped.
    Stopped = 5003, Info, "stopped";
    /// Changed settings are in force.
    Reloaded = 5004, Info, "settings reloaded";
    /// Changed settings cannot be read; the earlier ones stay in force.
    ReloadFailed = 5005, Error, "settings not reloaded";
}

impl Event {
    /// Whether it tells what becomes of one request that goes well or is refused;
    /// under load there are too many of these to write all.
    #[must_use]
    pub const fn is_rate_limited(self) -> bool {
        matches!(
            self,
            Self::Routed
                | Self::Answered
                | Self::Streamed
                | Self::Refused
                | Self::HeldBack
                | Self::Malformed
                | Self::Withheld
        )
    }
}

/// Logs an event with fields: `log!(logger, Event::Ready, "role" => "router")`.
#[macro_export]
macro_rules! log {
    ($logger:expr, $event:expr $(, $($fields:tt)*)?) => {{
        let event = $event;
        if $crate::rate_limit::allows(event) {
        match event.level() {
            $crate::Level::Info => $crate::slog::info!(
                $logger, "{}", event.text(); "event" => event.number() $(, $($fields)*)?
            ),
            $crate::Level::Warning => $crate::slog::warn!(
                $logger, "{}", event.text(); "event" => event.number() $(, $($fields)*)?
            ),
            $crate::Level::Error => $crate::slog::error!(
                $logger, "{}", event.text(); "event" => event.number() $(, $($fields)*)?
            ),
        }
        }
    }};
}
