//! Deterministic simulation of sidecars and routers in virtual time, with fault
//! injection, from one seed.

mod exchange;
mod fault;
mod gap;
mod params;
mod request;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use mulberryyoke_decide::admission::{Admission, LinkKey, Scheduling, Setup};
use mulberryyoke_model::{
    Attempt, CustomerId, Grant, Incarnation, Interest, Kind, Millis, PoolId, ServerId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use gap::Gap;
pub use params::Params;
use params::{POOL, config, name, share};

/// One-way latency of a message, in milliseconds.
const HOP_MS: Millis = 1;

/// Time per token, in milliseconds.
const TOKEN_MS: Millis = 20;

/// Metering interval of a running request, in milliseconds.
const METER_MS: Millis = 200;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive {
        router: usize,
        server: usize,
        customer: u32,
        grant: u64,
    },
    Progress {
        server: usize,
        attempt: Attempt,
    },
    Poll {
        router: usize,
        server: usize,
    },
    Exchange,
}

struct Sidecar {
    admission: Admission,
    links: BTreeMap<usize, LinkKey>,
    counted: HashMap<usize, u64>,
    incarnation: Incarnation,
    /// Customer and remaining tokens of each running request.
    remaining: HashMap<Attempt, (u32, u64)>,
}

struct Router {
    incarnation: Incarnation,
    /// Service by the incarnation of the collecting router.
    counts: BTreeMap<Incarnation, Vec<u64>>,
    /// Last report of each sidecar incarnation.
    reports: HashMap<Incarnation, (u64, HashMap<CustomerId, u64>)>,
    /// Whether the router is partitioned from the others.
    partitioned: bool,
    next: u64,
}

/// Simulation state.
pub struct Simulation {
    pub params: Params,
    rng: ChaCha8Rng,
    now: Millis,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    sequence: u64,
    customers: HashMap<CustomerId, u32>,
    sidecars: Vec<Sidecar>,
    routers: Vec<Router>,
    /// Tokens served to each customer.
    pub service: Vec<u64>,
    pub started: u64,
    pub declined: u64,
    pub faults: u64,
    incarnations: u64,
}

impl Simulation {
    pub fn new(params: Params) -> Self {
        let mut simulation = Self {
            params,
            rng: ChaCha8Rng::seed_from_u64(params.seed),
            now: 1_000,
            events: BinaryHeap::new(),
            sequence: 0,
            customers: (0..params.customers)
                .map(|c| (CustomerId::of(&name(c)), c))
                .collect(),
            sidecars: Vec::new(),
            routers: Vec::new(),
            service: vec![0; params.customers as usize],
            started: 0,
            declined: 0,
            faults: 0,
            incarnations: 0,
        };
        for _ in 0..params.routers {
            let router = simulation.new_router();
            simulation.routers.push(router);
        }
        for index in 0..params.servers {
            let sidecar = simulation.new_sidecar(index);
            simulation.sidecars.push(sidecar);
        }
        for router in 0..params.routers {
            simulation.link_router(router);
        }
        simulation.schedule(params.exchange_interval, Event::Exchange);
        simulation
    }

    fn next_incarnation(&mut self) -> Incarnation {
        self.incarnations += 1;
        Incarnation(self.incarnations)
    }

    fn new_router(&mut self) -> Router {
        let incarnation = self.next_incarnation();
        Router {
            incarnation,
            counts: BTreeMap::new(),
            reports: HashMap::new(),
            partitioned: false,
            next: 0,
        }
    }

    fn new_sidecar(&mut self, index: usize) -> Sidecar {
        let incarnation = self.next_incarnation();
        let setup = Setup {
            server: ServerId(u32::try_from(index).expect("few")),
            pool: PoolId::of(POOL),
            kind: Kind::Model,
            incarnation,
            started_at: self.now,
            slots: self.params.slots,
            scheduling: Scheduling::Fair,
            retention_ms: 600_000,
        };
        let mut admission = Admission::new(setup);
        admission.configure(&config(self.params), POOL, self.now);
        Sidecar {
            admission,
            links: BTreeMap::new(),
            counted: HashMap::new(),
            incarnation,
            remaining: HashMap::new(),
        }
    }

    fn link_router(&mut self, router: usize) {
        for offset in 0..self.params.links_per_router.min(self.params.servers) {
            let spread = router * self.params.servers / self.params.routers;
            self.link(router, (spread + offset) % self.params.servers);
        }
    }

    fn link(&mut self, router: usize, server: usize) {
        let interest = self.interest(router);
        let sidecar = &mut self.sidecars[server];
        let link = sidecar.admission.connect();
        let origin = self.routers[router].incarnation;
        sidecar.admission.identify_router(link, origin, self.now);
        sidecar.links.insert(router, link);
        sidecar.counted.insert(router, 0);
        sidecar.admission.declare(link, true, &interest, self.now);
        self.deliver(server);
        self.schedule(HOP_MS, Event::Poll { router, server });
    }

    fn unlink(&mut self, router: usize, server: usize) {
        if let Some(link) = self.sidecars[server].links.remove(&router) {
            self.sidecars[server].admission.disconnect(link, self.now);
            self.deliver(server);
        }
    }

    /// Every customer always has waiting requests at a third of the routers.
    fn interest(&self, router: usize) -> Vec<Interest> {
        let here = |customer: &u32| {
            (*customer as usize * 7 + router).is_multiple_of(3) || self.params.routers < 3
        };
        let customers = (0..self.params.customers).filter(here);
        customers
            .map(|customer| self.interest_of(customer))
            .collect()
    }

    fn interest_of(&self, customer: u32) -> Interest {
        Interest {
            customer: CustomerId::of(&name(customer)),
            waiting: [0, 8, 0],
            cost: self.hint(customer, 430),
            since: u64::from(customer),
        }
    }

    fn hint(&self, customer: u32, cost: u32) -> u32 {
        let low = self.params.underestimates && customer % 2 == 1;
        if low { cost / 10 } else { cost }
    }

    fn schedule(&mut self, delay: Millis, event: Event) {
        self.sequence += 1;
        let at = self.now + delay;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Processes the next event and returns its time.
    pub fn step(&mut self) -> Millis {
        let Some(Reverse((at, _, event))) = self.events.pop() else {
            return self.now;
        };
        self.now = at;
        match event {
            Event::Arrive {
                router,
                server,
                customer,
                grant,
            } => {
                self.arrive(router, server, customer, grant);
            }
            Event::Progress { server, attempt } => self.progress(server, attempt),
            Event::Poll { router, server } => self.poll(router, server),
            Event::Exchange => self.exchange(),
        }
        if self
            .rng
            .random_bool(self.params.faults_per_million / 1_000_000.0)
        {
            self.inject_fault();
        }
        self.now
    }

    /// Delivers grants and reports to the routers, which respond one hop later.
    fn deliver(&mut self, server: usize) {
        let sidecar = &mut self.sidecars[server];
        sidecar.admission.take_ready_links();
        let links: Vec<(usize, LinkKey)> = sidecar.links.iter().map(|(r, l)| (*r, *l)).collect();
        for (router, link) in links {
            let (grants, report) = self.sidecars[server]
                .admission
                .poll_response(link, self.now);
            if let Some(report) = report {
                let incarnation = self.sidecars[server].incarnation;
                self.collect(router, incarnation, &report);
                self.sidecars[server]
                    .counted
                    .insert(router, report.sequence);
                self.schedule(2 * HOP_MS, Event::Poll { router, server });
            }
            for grant in grants {
                self.grant(router, server, grant);
            }
        }
    }

    fn grant(&mut self, router: usize, server: usize, grant: Grant) {
        let customer = self.customers[&grant.customer];
        let (server_event, grant) = (server, grant.id);
        self.schedule(
            2 * HOP_MS,
            Event::Arrive {
                router,
                server: server_event,
                customer,
                grant,
            },
        );
    }

    /// Number of slots in use, and of all slots.
    pub fn slot_usage(&self) -> (u64, u64) {
        let in_use = self
            .sidecars
            .iter()
            .map(|sidecar| sidecar.admission.running_count() as u64);
        let slots = self.params.servers as u64 * u64::from(self.params.slots);
        (in_use.sum(), slots)
    }
}
