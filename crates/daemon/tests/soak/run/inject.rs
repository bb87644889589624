//! Fault injection.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use tokio::time::sleep;

use super::{Run, Server};
use crate::fault_log::{RECOVERY_TIME, Scope};
use crate::gateway::GRACE_MS;
use crate::plan::{Fault, Step};
use crate::proxy::Mode;
use crate::store_values::{ServerState, registration, server_key};

/// Changes of a storm, and the interval between them.
const STORM_CHANGES: u32 = 25;
const STORM_INTERVAL: Duration = Duration::from_millis(80);

/// Outage in which the delays between calls to the store grow to their maximum.
const OUTAGE: Duration = Duration::from_secs(6);

/// Time in which changes are observed after an outage.
const OBSERVATION: Duration = Duration::from_secs(5);

/// Time between a cut of the connections to the store and the removal of a server.
const REMOVAL_DELAY: Duration = Duration::from_millis(10);

/// How long a server reports that it leaves, and serves on after it is gone.
const LEAVING: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(1));

/// Pushback in each rejection.
const PUSHBACK: Duration = Duration::from_secs(2);

/// Minimum time between a leaving announcement in responses and the registration as draining.
/// Gateways stop sending requests to the server within this time.
const ANNOUNCEMENT_LEAD: Duration = Duration::from_secs(2);

impl Run {
    pub(super) async fn inject(self: Arc<Self>, step: Step, started_at: Instant) {
        sleep((started_at + step.at).saturating_duration_since(Instant::now())).await;
        let gateway = step.target % self.gateways.len();
        let index = step.target % self.servers.len();
        let server = &self.servers[index];
        match step.fault {
            Fault::Kill => self.restart(gateway, Signal::KILL).await,
            Fault::Stop => self.restart(gateway, Signal::TERM).await,
            Fault::Suspend => {
                let fault = self.fault_log.begin(Scope::Gateway(gateway));
                self.gateways[gateway].signal(Signal::STOP);
                sleep(step.duration).await;
                self.gateways[gateway].signal(Signal::CONT);
                self.fault_log.end(fault);
            }
            Fault::Reload => self.gateways[gateway].signal(Signal::HUP),
            Fault::StoreConnection(mode) => {
                let fault = self.fault_log.begin(Scope::StoreConnection(gateway));
                self.store_proxies[gateway].set_mode(mode);
                sleep(step.duration).await;
                self.store_proxies[gateway].set_mode(Mode::Forward);
                self.fault_log.end(fault);
            }
            Fault::StoreUnavailable => {
                let fault = self.fault_log.begin(Scope::Store);
                self.store.set_unavailable(true);
                self.operator.rotate_keys();
                sleep(step.duration).await;
                self.store.set_unavailable(false);
                self.fault_log.end(fault);
            }
            Fault::CompactStore => self.store.compact(),
            Fault::RestoreStore => {
                self.store.back_up();
                sleep(step.duration).await;
                let fault = self.fault_log.begin(Scope::Store);
                self.store.restore();
                self.fault_log.end(fault);
            }
            Fault::ServerConnection(mode) => {
                let faults = self.begin_server_fault(index, mode);
                server.proxy.set_mode(mode);
                sleep(step.duration).await;
                server.proxy.set_mode(Mode::Forward);
                for fault in faults {
                    self.fault_log.end(fault);
                }
            }
            Fault::PoolConnections(mode) => {
                let of_pool = self
                    .servers
                    .iter()
                    .filter(|other| other.pool == server.pool);
                let servers = self.servers.iter().enumerate();
                let servers = servers.filter(|(_, other)| other.pool == server.pool);
                let faults: Vec<usize> = servers
                    .flat_map(|(index, _)| self.begin_server_fault(index, mode))
                    .collect();
                of_pool
                    .clone()
                    .for_each(|server| server.proxy.set_mode(mode));
                // Long enough for retries to exceed the budget if it is not enforced.
                sleep(2 * step.duration).await;
                of_pool.for_each(|server| server.proxy.set_mode(Mode::Forward));
                for fault in faults {
                    self.fault_log.end(fault);
                }
            }
            Fault::ReplaceServer => self.replace(server, Duration::ZERO, LEAVING).await,
            Fault::AnnounceLeaving => {
                server.backend.announce_leaving();
                self.replace(server, ANNOUNCEMENT_LEAD + step.duration, LEAVING)
                    .await;
            }
            Fault::Pushback => {
                server.backend.set_pushback(Some(PUSHBACK));
                sleep(step.duration).await;
                server.backend.set_pushback(None);
            }
            Fault::PoolPushback => self.push_back(server.pool, step.duration).await,
            Fault::ToggleRoute => self.operator.toggle_route(),
            Fault::RotateKeys => self.operator.rotate_keys(),
            Fault::ConfigurationStorm => self.storm().await,
            Fault::LosePeers => self.lose_peers(gateway).await,
            Fault::SuspendServer => self.suspend_server(step.target, step.duration).await,
            Fault::EndServer(signal) => self.end_server(step.target, signal, step.duration).await,
            Fault::CutBeforeRemoval => self.cut_before_removal(server).await,
        }
    }

    /// Records that connections to a server are impaired.
    fn begin_server_fault(&self, index: usize, mode: Mode) -> Vec<usize> {
        let mut scopes = vec![Scope::AnyServerConnection, Scope::ServerConnection(index)];
        if mode == Mode::CloseOnResponse {
            scopes.push(Scope::ServerClose(index));
        }
        let begin = |scope| self.fault_log.begin(scope);
        scopes.into_iter().map(begin).collect()
    }

    async fn storm(&self) {
        for _ in 0..STORM_CHANGES {
            self.operator.rewrite();
            sleep(STORM_INTERVAL).await;
        }
    }

    /// Makes all servers of a pool reject all requests with pushback.
    async fn push_back(&self, pool: &str, duration: Duration) {
        let of_pool = self.servers.iter().filter(|server| server.pool == pool);
        for server in of_pool.clone() {
            server.backend.set_pushback(Some(PUSHBACK));
        }
        sleep(duration).await;
        for server in of_pool {
            server.backend.set_pushback(None);
        }
    }

    /// Makes the store unavailable, then available again for one gateway alone, whose peers answer
    /// without current data. Changes then have to reach it all the same.
    async fn lose_peers(&self, gateway: usize) {
        let fault = self.fault_log.begin(Scope::Store);
        self.store.set_unavailable(true);
        sleep(OUTAGE).await;
        let others = (0..self.gateways.len()).filter(|other| *other != gateway);
        let others: Vec<(usize, usize)> = others
            .map(|other| {
                self.store_proxies[other].set_mode(Mode::Stall);
                (other, self.fault_log.begin(Scope::StoreConnection(other)))
            })
            .collect();
        self.store.set_unavailable(false);
        self.fault_log.end(fault);
        sleep(RECOVERY_TIME + Duration::from_secs(1)).await;
        self.operator.toggle_route();
        self.operator.rotate_keys();
        sleep(OBSERVATION).await;
        for (other, fault) in others {
            self.store_proxies[other].set_mode(Mode::Forward);
            self.fault_log.end(fault);
        }
    }

    /// Cuts the connections to the store once, and removes a server just after. It goes on serving
    /// for some seconds.
    async fn cut_before_removal(&self, server: &Server) {
        let name = server.backend.name();
        if self.draining_since.lock().contains_key(&name) {
            return;
        }
        for mode in [Mode::Reset, Mode::Forward] {
            for proxy in &self.store_proxies {
                proxy.set_mode(mode);
            }
            sleep(REMOVAL_DELAY).await;
        }
        self.store.delete(&server_key(&name));
        self.draining_since.lock().insert(name, Instant::now());
        sleep(Duration::from_secs(4)).await;
        self.start_next(server);
    }

    /// Terminates and restarts a gateway. A graceful shutdown counts as a fault only from the exit
    /// of the process on.
    pub(super) async fn restart(&self, gateway: usize, signal: Signal) {
        let is_graceful = signal == Signal::TERM;
        let fault = (!is_graceful).then(|| self.fault_log.begin(Scope::Gateway(gateway)));
        self.gateways[gateway].signal(signal);
        let limit = Duration::from_millis(GRACE_MS + 1_000);
        let exit_code = self.gateways[gateway].wait_for_exit(limit).await;
        let fault = fault.unwrap_or_else(|| self.fault_log.begin(Scope::Gateway(gateway)));
        if is_graceful && exit_code.is_none() {
            self.gateways[gateway].signal(Signal::KILL);
            self.gateways[gateway].wait_for_exit(limit).await;
        }
        sleep(Duration::from_millis(200)).await;
        self.gateways[gateway].start();
        self.fault_log.end(fault);
    }

    /// Registers a server as draining after `delay`, then replaces it by another one at the same
    /// address. It reports that it leaves for the first time, and serves on for the second.
    pub(super) async fn replace(
        &self,
        server: &Server,
        delay: Duration,
        (draining, serves_on): (Duration, Duration),
    ) {
        let name = server.backend.name();
        sleep(delay).await;
        if self.draining_since.lock().contains_key(&name) {
            return;
        }
        let value = registration(server.pool, &name, server.address, ServerState::Draining);
        self.store.put(&server_key(&name), &value);
        self.draining_since
            .lock()
            .insert(name.clone(), Instant::now());
        sleep(draining).await;
        self.store.delete(&server_key(&name));
        sleep(serves_on).await;
        self.start_next(server);
    }

    /// Starts and registers the next server at the address of one that has left.
    pub(super) fn start_next(&self, server: &Server) {
        let number = self.next_server.fetch_add(1, Ordering::Relaxed);
        let next = self.server_name(server.pool, number);
        server.backend.replace(&next);
        if let Some(process) = &server.process {
            process.replace(&next);
        }
        self.register(server);
    }
}
