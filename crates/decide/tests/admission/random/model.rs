//! Model of the guarantees for attempts and keys.

use std::collections::{HashMap, HashSet};

use mulberryyoke_decide::admission::{
    Admission, Decision, LinkKey, Scheduling, Setup, Termination,
};
use mulberryyoke_decide::key::PriorRecord;
use mulberryyoke_model::{
    Attempt, Class, CustomerId, Grant, Incarnation, Interest, KeyId, Kind, Millis, Outcome, PoolId,
    ServerId, Ticket,
};

pub const LINKS: usize = 3;
pub const CUSTOMERS: u32 = 4;
const SLOTS: u32 = 3;
const RETENTION: Millis = 5_000;

/// Operation of a session.
#[derive(Clone, Debug)]
pub enum Op {
    Wait(u16),
    Declare {
        link: usize,
        customer: u32,
        waiting: [u16; 3],
    },
    /// Sends a request, under the link's oldest grant if there is one.
    Send {
        link: usize,
        customer: u32,
        key: Option<u64>,
        repeat: bool,
    },
    Decline {
        link: usize,
    },
    Reconnect {
        link: usize,
    },
    Meter {
        index: usize,
        tokens: u8,
    },
    End {
        index: usize,
        how: u8,
    },
    Withdraw {
        link: usize,
        ahead: u64,
        key: Option<u64>,
    },
    Down(bool),
}

/// A sidecar and the outcomes that it has returned.
pub struct Model {
    admission: Admission,
    now: Millis,
    links: Vec<LinkKey>,
    grants: Vec<Vec<Grant>>,
    next: Vec<u64>,
    running: Vec<(Attempt, Option<KeyId>)>,
    started: HashSet<Attempt>,
    withdrawn: HashSet<Attempt>,
    /// Keys that reached the backend, with their expiry.
    keys: HashMap<KeyId, Millis>,
    /// Withdrawn keys, with the end of the withdrawal.
    withdrawn_keys: HashMap<KeyId, Millis>,
}

impl Model {
    pub fn new() -> Self {
        let setup = Setup {
            server: ServerId(1),
            pool: PoolId(1),
            kind: Kind::Model,
            incarnation: Incarnation(1),
            started_at: 0,
            slots: SLOTS,
            scheduling: Scheduling::Fair,
            retention_ms: RETENTION,
        };
        let mut admission = Admission::new(setup);
        let routers: Vec<Incarnation> = (0..LINKS).map(origin).collect();
        admission.restore_record(&PriorRecord::Absent, &routers, 0);
        let mut model = Self {
            admission,
            now: 1,
            links: Vec::new(),
            grants: vec![Vec::new(); LINKS],
            next: vec![0; LINKS],
            running: Vec::new(),
            started: HashSet::new(),
            withdrawn: HashSet::new(),
            keys: HashMap::new(),
            withdrawn_keys: HashMap::new(),
        };
        for link in 0..LINKS {
            let key = model.connect(link);
            model.links.push(key);
        }
        model
    }

    fn connect(&mut self, link: usize) -> LinkKey {
        let key = self.admission.connect();
        self.admission.identify_router(key, origin(link), self.now);
        self.grants[link].clear();
        key
    }

    pub fn apply(&mut self, op: &Op) {
        match *op {
            Op::Wait(time) => {
                self.now += Millis::from(time);
                self.admission.tick(self.now);
            }
            Op::Declare {
                link,
                customer,
                waiting,
            } => {
                let interest = Interest {
                    customer: CustomerId(customer),
                    waiting,
                    cost: 90,
                    since: 1,
                };
                self.admission
                    .declare(self.links[link], false, &[interest], self.now);
            }
            Op::Send {
                link,
                customer,
                key,
                repeat,
            } => self.send(link, customer, key, repeat),
            Op::Decline { link } => {
                let grants: Vec<u64> = self.grants[link].drain(..).map(|grant| grant.id).collect();
                self.admission.decline(self.links[link], &grants, self.now);
            }
            Op::Reconnect { link } => {
                self.admission.disconnect(self.links[link], self.now);
                self.links[link] = self.connect(link);
            }
            Op::Meter { index, tokens } => {
                if let Some((attempt, _)) = pick(&self.running, index) {
                    self.admission.meter(attempt, u64::from(tokens));
                }
            }
            Op::End { index, how } => self.end(index, how),
            Op::Withdraw { link, ahead, key } => self.withdraw(link, ahead, key),
            Op::Down(down) => self.admission.set_backend_down(down, self.now),
        }
        self.collect();
        assert_eq!(self.admission.running_count(), self.running.len());
        let used = self.admission.running_count() + self.admission.reserved_count();
        assert!(used <= SLOTS as usize);
    }

    fn collect(&mut self) {
        self.admission.take_ready_links();
        for (link, key) in self.links.iter().enumerate() {
            let (grants, _) = self.admission.poll_response(*key, self.now);
            self.grants[link].extend(grants);
        }
    }

    fn send(&mut self, link: usize, customer: u32, key: Option<u64>, repeat: bool) {
        if !repeat {
            self.next[link] += 1;
        }
        let request = self.next[link];
        let attempt = Attempt {
            origin: origin(link),
            request,
            number: 0,
        };
        let grant = (!self.grants[link].is_empty()).then(|| self.grants[link].remove(0));
        let customer = grant.map_or(CustomerId(customer), |grant| grant.customer);
        let ticket = Ticket {
            attempt,
            customer,
            class: Class::Normal,
            deadline: self.now + 1,
            hint: 0,
            cost: 100,
            grant: grant.map(|grant| grant.id),
            key: key.map(KeyId),
        };
        if self.admission.admit(&ticket, self.now) != Decision::Started {
            return;
        }
        assert!(self.started.insert(attempt), "{attempt:?} started twice");
        assert!(
            !self.withdrawn.contains(&attempt),
            "{attempt:?} started after its withdrawal"
        );
        if let Some(key) = ticket.key {
            assert!(!is_live(&self.keys, key, self.now), "{key:?} started twice");
            assert!(
                !is_live(&self.withdrawn_keys, key, self.now),
                "{key:?} started after its withdrawal"
            );
            self.keys.insert(key, Millis::MAX);
        }
        self.running.push((attempt, ticket.key));
    }

    fn end(&mut self, index: usize, how: u8) {
        let Some((attempt, key)) = pick(&self.running, index) else {
            return;
        };
        self.running.retain(|(running, _)| *running != attempt);
        let ending = match how {
            0 => Termination::Unsent,
            1 => Termination::Interrupted,
            _ => Termination::Complete(None),
        };
        if let Some(key) = key {
            let until = if how == 0 { 0 } else { self.now + RETENTION };
            self.keys.insert(key, until);
        }
        self.admission.end(attempt, ending, self.now);
    }

    fn withdraw(&mut self, link: usize, ahead: u64, key: Option<u64>) {
        let request = (self.next[link] + 1).saturating_sub(ahead);
        let attempt = Attempt {
            origin: origin(link),
            request,
            number: 0,
        };
        let key = key.map(KeyId);
        let (outcome, is_indeterminate) = self.admission.withdraw(attempt, key, self.now);
        assert!(
            !is_indeterminate,
            "the first incarnation has no indeterminate keys"
        );
        if outcome != Outcome::NotRun {
            return;
        }
        self.withdrawn.insert(attempt);
        let Some(key) = key else {
            return;
        };
        assert!(
            !is_live(&self.keys, key, self.now),
            "{key:?} withdrawn after its start"
        );
        if !is_live(&self.withdrawn_keys, key, self.now) {
            self.withdrawn_keys.insert(key, self.now + RETENTION);
        }
    }
}

fn is_live(until: &HashMap<KeyId, Millis>, key: KeyId, now: Millis) -> bool {
    until.get(&key).is_some_and(|until| *until > now)
}

fn origin(link: usize) -> Incarnation {
    Incarnation(10 + link as u64)
}

fn pick<T: Copy>(items: &[T], index: usize) -> Option<T> {
    let index = index.checked_rem(items.len())?;
    items.get(index).copied()
}
