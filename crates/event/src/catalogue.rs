//! Catalogue of log events.

macro_rules! catalogue {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $level:ident, $text:literal;)+) => {
        /// A log event with a fixed number, a level and a text. The fields are listed in
        /// `docs/EVENTS.md`.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[doc = $doc])+ $name,)+
        }

        impl Event {
            /// All events, in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)+];

            /// Number of the event.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)+ }
            }

            /// Log level of the event.
            #[must_use]
            pub const fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)+ }
            }

            /// Message of the event.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)+ }
            }
        }
    };
}

/// Log level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Level {
    /// Normal operation.
    Info,
    /// May need the attention of an operator.
    Warning,
    /// Needs action by an operator.
    Error,
}

catalogue! {
    /// A router sent a request to a server.
    Routed = 1001, Info, "request routed";
    /// A router queued a request until a server has a free slot.
    Queued = 1002, Info, "request queued";
    /// A router refused a request.
    Refused = 1003, Info, "request refused";
    /// A router completed a request.
    Answered = 1004, Info, "request answered";
    /// A router retried a request on another server.
    Retried = 1005, Info, "request retried";
    /// A router cannot determine the outcome of a request.
    OutcomeUnknown = 1006, Warning, "request outcome unknown";
    /// A response was truncated.
    Truncated = 1007, Warning, "response truncated";
    /// A response was dropped because it arrived late or belongs to another attempt.
    Dropped = 1008, Warning, "late response dropped";
    /// A router connected to a sidecar.
    LinkUp = 1010, Info, "sidecar connected";
    /// A router lost its connection to a sidecar.
    LinkDown = 1011, Warning, "sidecar disconnected";
    /// A peer router is reachable again.
    PeerUp = 1012, Info, "peer connected";
    /// A peer router is unreachable.
    PeerDown = 1013, Warning, "peer disconnected";
    /// A relayed stream ended.
    Streamed = 1014, Info, "stream ended";
    /// A client connection could not be accepted.
    AcceptFailed = 1015, Warning, "connection not accepted";
    /// A router registered a server, or its registration changed to leaving.
    ServerRegistered = 1016, Info, "server registered";
    /// A router removed a server.
    ServerRemoved = 1017, Info, "server removed";
    /// A router could not publish its address to its peers.
    AnnounceFailed = 1018, Warning, "address not announced";
    /// A router held a request back because even the best server has too much queued work.
    HeldBack = 1019, Info, "request held back";
    /// A router became overloaded, or recovered.
    Overloaded = 1020, Warning, "overload state changed";
    /// The head of a request could not be parsed.
    Malformed = 1021, Info, "request head malformed";
    /// A model server reported which prompt parts it has cached.
    CacheReported = 1022, Info, "cache report received";
    /// A cache report could not be fetched from a model server.
    CacheReportFailed = 1023, Warning, "cache report failed";
    /// A router lost the load state of all its peers, or receives it again.
    PeerLoadUnknown = 1024, Warning, "peer load availability changed";
    /// A server instance crashed while requests were running on it.
    ServerCrashed = 1025, Warning, "server crashed";
    /// Several servers crashed while running the same request.
    Suspected = 1026, Warning, "request under suspicion";
    /// A request crashed so many servers that it is no longer sent to any.
    Convicted = 1027, Error, "request quarantined";
    /// A request is no longer suspected or quarantined.
    Cleared = 1028, Info, "request cleared";
    /// A request was not sent because it is quarantined, or suspected while a copy runs.
    Withheld = 1029, Info, "request withheld";
    /// The router that arbitrates a suspected request could not be reached.
    AdmitFailed = 1030, Warning, "quarantine arbiter unreachable";
    /// A conviction could not be written to the key-value service.
    ConvictionWriteFailed = 1031, Warning, "conviction not written";
    /// A server is ignored because its entry comes from older contents of the key-value service.
    StaleServerIgnored = 1032, Info, "stale server entry ignored";
    /// A router stopped sending to the servers of an availability zone, or resumed.
    Evacuated = 1033, Warning, "zone evacuation changed";
    /// A connection could not be handed off to a larger router.
    HandoffFailed = 1034, Info, "connection handoff failed";
    /// A server announced that it is leaving, in a response or through a peer.
    ServerLeaving = 1035, Warning, "server is leaving";
    /// A server requested pushback.
    PushbackRequested = 1036, Warning, "server requested pushback";
    /// A server answered a request after asking for pushback.
    PushbackEnded = 1037, Info, "server pushback ended";
    /// A server reported that its machine is slow, or no longer slow.
    ServerSlowed = 1038, Info, "server slowdown changed";
    /// A gateway keeps a rejected request for a short time, in which its admission is expected.
    WaitStarted = 1039, Info, "request waiting";
    /// A request no longer waits in a gateway.
    WaitEnded = 1040, Info, "request wait ended";
    /// A caller was cut off because it took nothing for too long, or held most when the budget was
    /// exceeded.
    CallerCut = 1041, Warning, "slow caller cut off";
    /// A gateway refused a prompt that no server has memory for.
    NoRoom = 1042, Info, "no memory for prompt";
    /// The end of a server instance is not held against the requests that were running on it.
    CrashNotCounted = 1043, Info, "server crash not counted";
    /// A server fell silent with requests in flight and accepts no connection.
    ServerSilent = 1044, Warning, "server is silent";
    /// A caller's resumption was refused, since no server is known to be of the version that began
    /// the stream.
    ResumeRefused = 1045, Info, "resumption refused";
    /// The pools that have, or recently had, servers of several versions changed.
    VersionsMixed = 1046, Info, "pools with several versions changed";
    /// A gateway that may know the version that began a stream could not be asked.
    OriginCallFailed = 1047, Warning, "gateway not asked for stream";
    /// Where a caller's resumption goes and why, and what the gateway knew of its pool's versions.
    ResumeDecided = 1048, Info, "resumption decided";
    /// A gateway that has started applied its first contents of the key-value service.
    FirstContents = 1049, Info, "first contents applied";
    /// A run of a request ended with the connection to its server.
    RunEnded = 1050, Info, "run ended with its connection";
    /// A stream that callers can resume started, or did not.
    StreamStart = 1051, Info, "stream start";
    /// The record of a version in the key-value service changed.
    VersionRecorded = 1052, Info, "record of version changed";
    /// A version, or that the records are complete, could not be written to the key-value service.
    VersionWriteFailed = 1053, Warning, "version not recorded";
    /// Servers crashed on a part of prompts, which is no longer sent to them.
    PartConvicted = 1055, Error, "prompt part quarantined";
    /// A part of prompts is no longer quarantined.
    PartCleared = 1056, Info, "prompt part cleared";
    /// A request was not sent because a part of its prompt is quarantined.
    PartWithheld = 1057, Info, "request withheld for prompt part";
    /// The message of a call by another gateway could not be read.
    MessageUnreadable = 1060, Warning, "message unreadable";
    /// The resident memory of a process nears its limit, or has fallen again.
    MemoryPressure = 1061, Warning, "memory pressure changed";
    /// The origins of streams were read from the key-value service.
    OriginsRead = 1066, Info, "versions of streams read";
    /// The origins of streams could not be read from the key-value service.
    OriginsNotRead = 1067, Warning, "versions of streams not read";
    /// The origins of streams could not be written to the key-value service.
    OriginsNotWritten = 1068, Warning, "versions of streams not written";
    /// A gateway checked whether the instance of a server lives on.
    InstanceChecked = 1070, Info, "server instance checked";
    /// A sidecar granted a router a slot for a customer's request.
    Granted = 2001, Info, "slot granted";
    /// A sidecar started a request on its server.
    Started = 2002, Info, "request started";
    /// A request ended on its server.
    Ended = 2003, Info, "request ended";
    /// A sidecar rejected a request.
    Rejected = 2004, Info, "request rejected";
    /// A running request was cancelled because its client disconnected.
    Cancelled = 2005, Info, "request cancelled";
    /// An attempt was withdrawn before it started.
    Withdrawn = 2006, Info, "attempt withdrawn";
    /// The backend failed after it received a request.
    BackendFailed = 2007, Warning, "backend failed";
    /// The state of earlier idempotency keys is unknown after a restart.
    KeysIndeterminate = 2008, Warning, "state of earlier keys unknown";
    /// The state of earlier idempotency keys was recovered.
    KeysRecovered = 2009, Info, "earlier keys recovered";
    /// The backend is unreachable; no requests are started on it.
    BackendDown = 2010, Warning, "backend unreachable";
    /// The backend is reachable again.
    BackendUp = 2011, Info, "backend reachable";
    /// An interrupted stream was resumed at its last event.
    Resumed = 2012, Info, "stream resumed";
    /// Another instance of the sidecar took over the server's home record.
    Superseded = 2013, Error, "home record taken over";
    /// An accepted configuration was applied on this node.
    ConfigApplied = 3001, Info, "configuration applied";
    /// The key-value service is unreachable.
    KvDown = 3002, Warning, "key-value service unreachable";
    /// The key-value service is reachable again.
    KvUp = 3003, Info, "key-value service reachable";
    /// The key-value service returned with older contents, which are ignored.
    KvBehind = 3004, Error, "key-value service has older contents";
    /// The VM list is unreachable.
    VmsDown = 3005, Warning, "VM list unreachable";
    /// A value in the key-value service could not be parsed.
    ConfigUnreadable = 3006, Error, "configuration value unreadable";
    /// The key-value service was restored from a backup and lost its latest writes.
    KvRestored = 3007, Error, "key-value service restored from a backup";
    /// The contents of the key-value service outgrew the copy for other gateways, which is dropped.
    ContentsDropped = 3008, Warning, "copy of contents dropped";
    /// Changes of the key-value service cannot be taken, so that every key is listed again.
    Relisting = 3009, Info, "contents listed again";
    /// The contents of the key-value service are larger than this node can take.
    ContentsTooLarge = 3010, Error, "contents too large";
    /// A gateway gets the contents of the key-value service from another source than before.
    SourceChanged = 3011, Info, "source of the contents changed";
    /// An operator command was executed or refused.
    Commanded = 4001, Info, "operator command";
    /// An operator presented an invalid key.
    OperatorDenied = 4002, Warning, "operator denied";
    /// A process is ready.
    Ready = 5001, Info, "ready";
    /// A graceful shutdown began.
    Stopping = 5002, Info, "stopping";
    /// A process stopped.
    Stopped = 5003, Info, "stopped";
    /// Changed settings were applied.
    Reloaded = 5004, Info, "settings reloaded";
    /// Changed settings could not be read; the previous ones stay in force.
    ReloadFailed = 5005, Error, "settings not reloaded";
}

impl Event {
    /// Whether the event concerns a single request that was served or refused normally.
    /// Such events are too frequent under load to log all of them.
    #[must_use]
    pub const fn is_rate_limited(self) -> bool {
        matches!(
            self,
            Self::Routed
                | Self::Answered
                | Self::Streamed
                | Self::Refused
                | Self::HeldBack
                | Self::NoRoom
                | Self::WaitStarted
                | Self::WaitEnded
                | Self::Malformed
                | Self::Withheld
                | Self::PartWithheld
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
