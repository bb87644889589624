//! Carrying out the steps of a plan.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use tokio::time::sleep;

use super::{Host, Scene};
use crate::fault_log::Scope;
use crate::forms::{ServerState, registration, server_key};
use crate::gateway::GRACE_MS;
use crate::plan::{Fault, Step};
use crate::proxy::Mode;

/// Time for which servers ask for rest, each time that they turn a request away.
const REST: Duration = Duration::from_secs(2);

/// Least time for which a server's answers say that it leaves and its registration does not:
/// longer than the time after which it gets nothing new.
const UNSAID: Duration = Duration::from_secs(2);

impl Scene {
    pub(super) async fn play_step(self: Arc<Self>, step: Step, begun: Instant) {
        sleep((begun + step.at).saturating_duration_since(Instant::now())).await;
        let gateway = step.target % self.gateways.len();
        let index = step.target % self.hosts.len();
        let host = &self.hosts[index];
        match step.fault {
            Fault::Kill => self.restart(gateway, Signal::KILL).await,
            Fault::Stop => self.restart(gateway, Signal::TERM).await,
            Fault::Freeze => {
                let trouble = self.fault_log.begin(Scope::Gateway(gateway));
                self.gateways[gateway].signal(Signal::STOP);
                sleep(step.lasts).await;
                self.gateways[gateway].signal(Signal::CONT);
                self.fault_log.end(trouble);
            }
            Fault::Reload => self.gateways[gateway].signal(Signal::HUP),
            Fault::Store(mode) => {
                let trouble = self.fault_log.begin(Scope::StoreConnection(gateway));
                self.store_proxies[gateway].set_mode(mode);
                sleep(step.lasts).await;
                self.store_proxies[gateway].set_mode(Mode::Forward);
                self.fault_log.end(trouble);
            }
            Fault::Refuse => {
                let trouble = self.fault_log.begin(Scope::Store);
                self.store.set_unavailable(true);
                self.operator.revoke();
                sleep(step.lasts).await;
                self.store.set_unavailable(false);
                self.fault_log.end(trouble);
            }
            Fault::Compact => self.store.compact(),
            Fault::Restore => {
                self.store.back_up();
                sleep(step.lasts).await;
                let trouble = self.fault_log.begin(Scope::Store);
                self.store.restore();
                self.fault_log.end(trouble);
            }
            Fault::Server(mode) => {
                let troubles = [Scope::AnyServerConnection, Scope::ServerConnection(index)];
                let troubles = troubles.map(|place| self.fault_log.begin(place));
                host.proxy.set_mode(mode);
                sleep(step.lasts).await;
                host.proxy.set_mode(Mode::Forward);
                for trouble in troubles {
                    self.fault_log.end(trouble);
                }
            }
            Fault::Pool(mode) => {
                let mut troubles = vec![self.fault_log.begin(Scope::AnyServerConnection)];
                let of_pool = self.hosts.iter().filter(|other| other.pool == host.pool);
                of_pool.clone().for_each(|host| host.proxy.set_mode(mode));
                let hosts = self.hosts.iter().enumerate();
                let hosts = hosts.filter(|(_, other)| other.pool == host.pool);
                troubles.extend(
                    hosts.map(|(index, _)| self.fault_log.begin(Scope::ServerConnection(index))),
                );
                // Long enough for repeats to exceed their budget, were there none.
                sleep(2 * step.lasts).await;
                of_pool.for_each(|host| host.proxy.set_mode(Mode::Forward));
                for trouble in troubles {
                    self.fault_log.end(trouble);
                }
            }
            Fault::Replace => self.replace(host, Duration::ZERO).await,
            Fault::Leave => {
                host.backend.announce_leaving();
                self.replace(host, UNSAID + step.lasts).await;
            }
            Fault::Rest => {
                host.backend.set_pushback(Some(REST));
                sleep(step.lasts).await;
                host.backend.set_pushback(None);
            }
            Fault::RestPool => {
                let of_pool = self.hosts.iter().filter(|other| other.pool == host.pool);
                of_pool
                    .clone()
                    .for_each(|host| host.backend.set_pushback(Some(REST)));
                sleep(step.lasts).await;
                of_pool.for_each(|host| host.backend.set_pushback(None));
            }
            Fault::Route => self.operator.turn_route(),
            Fault::Revoke => self.operator.revoke(),
        }
    }

    /// Ends a gateway and starts it again. A planned stop is no fault until the process
    /// has ended.
    async fn restart(&self, gateway: usize, signal: Signal) {
        let is_planned = signal == Signal::TERM;
        let trouble = (!is_planned).then(|| self.fault_log.begin(Scope::Gateway(gateway)));
        self.gateways[gateway].signal(signal);
        let limit = Duration::from_millis(GRACE_MS + 1_000);
        let ended = self.gateways[gateway].wait_for_exit(limit).await;
        let trouble = trouble.unwrap_or_else(|| self.fault_log.begin(Scope::Gateway(gateway)));
        if is_planned && ended.is_none() {
            self.gateways[gateway].signal(Signal::KILL);
            self.gateways[gateway].wait_for_exit(limit).await;
        }
        sleep(Duration::from_millis(200)).await;
        self.gateways[gateway].start();
        self.fault_log.end(trouble);
    }

    /// A server leaves, which its registration says some time later, and another takes its
    /// address.
    async fn replace(&self, host: &Host, later: Duration) {
        let name = host.backend.name();
        sleep(later).await;
        if self.left.lock().contains_key(&name) {
            return;
        }
        let value = registration(host.pool, host.proxy.address, ServerState::Draining);
        self.store.put(&server_key(&name), &value);
        self.left.lock().insert(name.clone(), Instant::now());
        sleep(Duration::from_secs(3)).await;
        self.store.delete(&server_key(&name));
        sleep(Duration::from_secs(1)).await;
        let next = format!("n-{}", self.named.fetch_add(1, Ordering::Relaxed));
        host.backend.replace(&next);
        let value = registration(host.pool, host.proxy.address, ServerState::Ready);
        self.store.put(&server_key(&next), &value);
    }
}
