//! Model servers that crash when they begin to write an answer to a prompt with a certain part,
//! and come back at the same address as a new instance.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::backend::{Behavior, State, field, read_request, respond};
use crate::crashing_server::{CRASH_BODY, fill_accept_queue, listen, run_until_crash};
use crate::ending::Ending;
use crate::feed::Service;

/// Part that crashes the servers.
pub(crate) const BAD_PART: u64 = 666;

/// Time from the arrival of a request to the head of its answer.
const READ_TIME: Duration = Duration::from_millis(30);

/// Time from what a server writes last to its crash.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// Number of events of an answer.
const EVENTS: u64 = 15;

/// Time between two events.
const EVENT_GAP: Duration = Duration::from_millis(60);

/// Servers of one fleet, and what befalls them.
#[derive(Debug)]
pub(crate) struct Servers {
    pub(crate) service: Arc<Service>,
    /// How the answers end that crash a server. It decides also how other answers are framed.
    pub(crate) ending: Ending,
    /// Time from a crash until the next instance listens.
    pub(crate) absence: Duration,
    /// When requests that crash servers reached one.
    reached: Mutex<Vec<Instant>>,
    crashes: Mutex<Vec<Instant>>,
}

impl Servers {
    /// Starts `count` servers and registers them in both pools.
    pub(crate) fn spawn(
        service: &Arc<Service>,
        count: usize,
        ending: Ending,
        absence: Duration,
    ) -> Arc<Self> {
        let servers = Arc::new(Self {
            service: Arc::clone(service),
            ending,
            absence,
            reached: Mutex::default(),
            crashes: Mutex::default(),
        });
        for index in 0..count {
            let listener = listen(([127, 0, 0, 1], 0).into());
            let instance = Instance {
                servers: Arc::clone(&servers),
                index,
                number: 1,
            };
            instance.register(&listener);
            tokio::spawn(instance.run(listener));
        }
        servers
    }

    /// When servers crashed, in order.
    pub(crate) fn crashes(&self) -> Vec<Instant> {
        self.crashes.lock().clone()
    }

    /// Number of requests that crash servers and reached one later than this.
    pub(crate) fn reached_after(&self, at: Instant) -> usize {
        let reached = self.reached.lock();
        reached.iter().filter(|reached| **reached > at).count()
    }
}

/// One instance of a server.
#[derive(Clone)]
struct Instance {
    servers: Arc<Servers>,
    index: usize,
    number: u32,
}

impl Instance {
    fn name(&self, pool: &str) -> String {
        format!("{pool}-{}-{}", self.index, self.number)
    }

    fn register(&self, listener: &TcpListener) {
        let address = listener.local_addr().expect("an address");
        for pool in ["plain", "model"] {
            let key = format!("servers/{}", self.name(pool));
            let value = format!("{pool} {address} ready");
            self.servers.service.set(&key, Some(&value));
        }
    }

    fn lapse(&self) {
        for pool in ["plain", "model"] {
            let key = format!("servers/{}", self.name(pool));
            self.servers.service.set(&key, None);
        }
    }

    /// Serves, crashes and comes back, again and again.
    async fn run(mut self, mut listener: TcpListener) {
        let address = listener.local_addr().expect("an address");
        loop {
            let crash = CancellationToken::new();
            let mut conns = JoinSet::new();
            self.serve(&listener, &mut conns, &crash).await;
            self.servers.crashes.lock().push(Instant::now());
            if self.servers.ending == Ending::Silent {
                let fillers = fill_accept_queue(address).await;
                sleep(self.servers.absence).await;
                drop((listener, conns, fillers));
            } else {
                drop((listener, conns));
                sleep(self.servers.absence).await;
            }
            self.lapse();
            self.number += 1;
            listener = listen(address);
            self.register(&listener);
        }
    }

    /// Serves until the crash.
    async fn serve(
        &self,
        listener: &TcpListener,
        conns: &mut JoinSet<()>,
        crash: &CancellationToken,
    ) {
        loop {
            tokio::select! {
                () = crash.cancelled() => return,
                Ok((stream, _)) = listener.accept() => {
                    let handled = self.clone().handle(stream, crash.clone());
                    conns.spawn(run_until_crash(handled, crash.clone()));
                }
            }
        }
    }

    async fn handle(self, mut stream: TcpStream, crash: CancellationToken) {
        let state = State::new(Behavior::WrongServer);
        while let Some((head, body)) = read_request(&mut stream).await {
            let is_here = field(&head, "x-server").is_some_and(|name| self.is_named(name));
            // The list of cached parts names no server.
            if !is_here {
                if !respond(&mut stream, &state, &head).await {
                    return;
                }
                continue;
            }
            let is_bad = is_bad(&head, &body);
            if is_bad {
                self.servers.reached.lock().push(Instant::now());
            }
            sleep(READ_TIME).await;
            if is_bad {
                let text = self.servers.ending.text(&head);
                // The gateway may have closed the connection.
                let _ = stream.write_all(text.as_bytes()).await;
                sleep(CRASH_DELAY).await;
                crash.cancel();
                return std::future::pending().await;
            }
            if !self.answer(&mut stream, &head).await {
                return;
            }
        }
    }

    fn is_named(&self, name: &str) -> bool {
        ["plain", "model"]
            .iter()
            .any(|pool| name.ends_with(&self.name(pool)))
    }

    /// Sends a stream; `false` if the connection is to be closed.
    async fn answer(&self, stream: &mut TcpStream, head: &str) -> bool {
        let ending = self.servers.ending;
        let after = field(head, "x-after").and_then(|event| event.parse().ok());
        let mut text = ending.head(head);
        for event in after.unwrap_or(0) + 1..=EVENTS {
            text.push_str(&ending.event(event));
            if stream.write_all(text.as_bytes()).await.is_err() {
                return false;
            }
            text.clear();
            sleep(EVENT_GAP).await;
        }
        !ending.is_bare() && stream.write_all(b"0\r\n\r\n").await.is_ok()
    }
}

/// Whether a request crashes its server: by one of its parts, or by its body.
fn is_bad(head: &str, body: &[u8]) -> bool {
    let parts = field(head, "x-parts").unwrap_or_default().split(' ');
    let mut ids = parts.filter_map(|part| part.split(':').next()?.parse().ok());
    ids.any(|id: u64| id == BAD_PART) || body == CRASH_BODY.as_bytes()
}
