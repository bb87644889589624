//! Bytes held for callers, accounted in the budget of the node.

mod account;
mod chunk;
mod hold;
mod inlet;
mod outlet;
mod request_hold;

use std::collections::HashMap;
use std::sync::{Arc, Weak};
use std::time::Duration;

use mulberryyoke_decide::buffer::{AccountKey, Budget, Cut};
use mulberryyoke_event::slog::Logger;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{CustomerId, Millis};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

pub(crate) use self::account::Account;
pub(crate) use self::chunk::Chunk;
pub(crate) use self::hold::Hold;
pub(crate) use self::inlet::Inlet;
pub(crate) use self::outlet::Outlet;
pub(crate) use self::request_hold::RequestHold;
use crate::clock;
use crate::core::Core;

/// Interval between checks for stalled callers.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Bytes held for callers. Without a budget nothing is accounted.
#[derive(Debug)]
pub(crate) struct Buffers {
    logger: Logger,
    started: Instant,
    state: Mutex<Option<State>>,
}

#[derive(Debug, Default)]
struct State {
    budget: Budget,
    accounts: HashMap<AccountKey, Weak<Account>>,
}

impl Buffers {
    /// `memory_mb` is the memory of the process, in megabytes. Without it there is no budget.
    pub(crate) fn new(logger: Logger, memory_mb: Option<u64>) -> Self {
        let buffers = Self {
            logger,
            started: Instant::now(),
            state: Mutex::default(),
        };
        buffers.set_memory(memory_mb);
        buffers
    }

    /// Applies a changed setting. A budget stays until the process ends, since there are accounts
    /// in it.
    pub(crate) fn set_memory(&self, memory_mb: Option<u64>) {
        let Some(memory_mb) = memory_mb else { return };
        let mut state = self.state.lock();
        let state = state.get_or_insert_with(State::default);
        state.budget.set_memory(memory_mb);
    }

    /// Opens the account of a request; `None` without a budget. `connection` is notified if the
    /// caller is cut.
    pub(crate) fn open(
        self: &Arc<Self>,
        request: &str,
        customer: Option<(CustomerId, &str)>,
        connection: &Arc<Notify>,
    ) -> Option<Arc<Account>> {
        let mut state = self.state.lock();
        let state = state.as_mut()?;
        let key = state.budget.open(customer.map(|(id, _)| id));
        let account = Arc::new(Account::new(
            Arc::clone(self),
            key,
            request.to_owned(),
            customer.map(|(_, name)| name.to_owned()),
            Arc::clone(connection),
        ));
        state.accounts.insert(key, Arc::downgrade(&account));
        Some(account)
    }

    /// Returns whether a request body of this length may be received.
    pub(crate) fn admits_request(&self, customer: Option<CustomerId>, bytes: u64) -> bool {
        let admits = self.query(|budget| budget.admits_request(customer, bytes));
        admits.unwrap_or(true)
    }

    /// Changes the budget, if there is one, and carries out the cuts that follow.
    fn update(&self, change: impl FnOnce(&mut Budget, Millis) -> Vec<Cut>) {
        let now = self.now_ms();
        let mut guard = self.state.lock();
        let Some(state) = guard.as_mut() else { return };
        let budget = state.budget.bytes();
        let cuts = change(&mut state.budget, now);
        let cuts = cuts.into_iter().filter_map(|cut| {
            let account = state.accounts.remove(&cut.account)?.upgrade()?;
            Some((account, cut))
        });
        let cuts: Vec<(Arc<Account>, Cut)> = cuts.collect();
        // An account that is dropped locks the state.
        drop(guard);
        for (account, cut) in cuts {
            self.cut(&account, cut, budget);
        }
    }

    fn query<T>(&self, query: impl FnOnce(&Budget) -> T) -> Option<T> {
        self.state.lock().as_ref().map(|state| query(&state.budget))
    }

    fn close(&self, key: AccountKey) {
        if let Some(state) = self.state.lock().as_mut() {
            state.budget.close(key);
            state.accounts.remove(&key);
        }
    }

    fn cut(&self, account: &Account, cut: Cut, budget: u64) {
        account.cut();
        let cause = cut.cause.label();
        metrics::counter!("callers_cut_total", "why" => cause).increment(1);
        log!(self.logger, Event::CallerCut,
            "request" => &account.request,
            "customer" => &account.customer,
            "why" => cause,
            "held" => cut.held,
            "share" => cut.share,
            "total" => cut.total,
            "budget" => budget);
    }

    /// Time since the start, in milliseconds of the monotonic clock: while the machine is
    /// suspended, callers cannot take anything.
    fn now_ms(&self) -> Millis {
        clock::between_ms(self.started, Instant::now())
    }

    /// Updates the gauges.
    pub(crate) fn record_metrics(&self) {
        let held = self.query(|budget| (budget.bytes(), budget.requests(), budget.responses()));
        let Some((budget, requests, responses)) = held else {
            return;
        };
        #[expect(clippy::cast_precision_loss, reason = "gauges are floating-point")]
        {
            metrics::gauge!("callers_budget_bytes").set(budget as f64);
            metrics::gauge!("callers_held_bytes", "of" => "requests").set(requests as f64);
            metrics::gauge!("callers_held_bytes", "of" => "responses").set(responses as f64);
        }
    }
}

/// Cuts stalled callers until the gateway terminates.
pub(crate) async fn monitor(core: Arc<Core>) {
    loop {
        let due = Instant::now() + CHECK_INTERVAL;
        tokio::select! {
            () = core.shutdown.terminate.cancelled() => return,
            () = sleep_until(due) => {}
        }
        let late_ms = clock::between_ms(due, Instant::now());
        core.buffers.update(|budget, now| {
            if u128::from(late_ms) >= CHECK_INTERVAL.as_millis() {
                budget.postpone(late_ms);
            }
            budget.cut_stalled(now)
        });
    }
}
