//! A few sidecars and routers in virtual time, for long runs of the decisions
//! with faults. Everything is drawn from one seed.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use mulberryyoke_decide::admission::{Admission, Arrival, Ending, LinkKey, Setup, Sharing};
use mulberryyoke_decide::exchange::{Cursor, Ledger};
use mulberryyoke_model::{
    Attempt, Class, Config, CustomerId, Grant, Incarnation, Interest, Kind, Millis, Object, PoolId,
    Server, ServerId, State, Ticket,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time of a message between two nodes, in milliseconds.
const HOP: Millis = 1;

/// Time of one token, in milliseconds.
const TOKEN: Millis = 20;

/// Time between two readings of a running request, in milliseconds.
const METER: Millis = 200;

const POOL: &str = "llama";

/// Sizes and faults of a run.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub seed: u64,
    pub servers: usize,
    pub slots: u32,
    pub routers: usize,
    pub customers: u32,
    /// Servers that each router is linked to.
    pub subset: usize,
    /// Servers that the sidecars take for the pool's.
    pub reach: usize,
    /// How late the sidecars take peers' counts to be, in milliseconds.
    pub assumed: Millis,
    /// Time between two exchanges of the routers, in milliseconds.
    pub lag: Millis,
    /// Faults in each thousand events.
    pub faults: f64,
    /// The only kind of fault, if not all.
    pub only: Option<u32>,
    /// Whether every other customer hints a tenth of its cost.
    pub cheats: bool,
}

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

struct Node {
    admission: Admission,
    links: HashMap<usize, LinkKey>,
    counted: HashMap<usize, u64>,
    cursors: HashMap<usize, Cursor>,
    incarnation: Incarnation,
    /// Customer and tokens left of each running request.
    left: HashMap<Attempt, (u32, u64)>,
}

struct Router {
    incarnation: Incarnation,
    ledger: Ledger,
    /// Whether its exchange is cut off.
    cut: bool,
    next: u64,
}

/// The run.
pub struct World {
    pub shape: Shape,
    rng: ChaCha8Rng,
    now: Millis,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    sequence: u64,
    nodes: Vec<Node>,
    routers: Vec<Router>,
    /// Tokens given to each customer.
    pub service: Vec<u64>,
    pub started: u64,
    pub declined: u64,
    pub faults: u64,
    lives: u64,
}

pub fn share(customer: u32) -> u32 {
    [8, 4, 2, 1, 1, 1, 1, 1][customer as usize % 8]
}

fn name(customer: u32) -> String {
    format!("c{customer}")
}

impl World {
    pub fn open(shape: Shape) -> Self {
        let mut world = Self {
            shape,
            rng: ChaCha8Rng::seed_from_u64(shape.seed),
            now: 1_000,
            events: BinaryHeap::new(),
            sequence: 0,
            nodes: Vec::new(),
            routers: Vec::new(),
            service: vec![0; shape.customers as usize],
            started: 0,
            declined: 0,
            faults: 0,
            lives: 0,
        };
        for _ in 0..shape.routers {
            let router = world.router();
            world.routers.push(router);
        }
        for index in 0..shape.servers {
            let node = world.node(index);
            world.nodes.push(node);
        }
        for router in 0..shape.routers {
            world.link_router(router);
        }
        world.at(shape.lag, Event::Exchange);
        world
    }

    fn life(&mut self) -> Incarnation {
        self.lives += 1;
        Incarnation(self.lives)
    }

    fn router(&mut self) -> Router {
        let incarnation = self.life();
        Router {
            incarnation,
            ledger: Ledger::open(incarnation),
            cut: false,
            next: 0,
        }
    }

    fn node(&mut self, index: usize) -> Node {
        let incarnation = self.life();
        let setup = Setup {
            server: ServerId(u32::try_from(index).expect("few")),
            pool: PoolId::of(POOL),
            kind: Kind::Model,
            incarnation,
            started_at: self.now,
            slots: self.shape.slots,
            sharing: Sharing::Fair,
            retention_ms: 600_000,
        };
        let mut admission = Admission::open(setup);
        admission.set_lag(self.shape.assumed);
        admission.configure(&config(self.shape), POOL, self.now);
        Node {
            admission,
            links: HashMap::new(),
            counted: HashMap::new(),
            cursors: HashMap::new(),
            incarnation,
            left: HashMap::new(),
        }
    }

    fn link_router(&mut self, router: usize) {
        for offset in 0..self.shape.subset.min(self.shape.servers) {
            let spread = router * self.shape.servers / self.shape.routers;
            self.link(router, (spread + offset) % self.shape.servers);
        }
    }

    fn link(&mut self, router: usize, server: usize) {
        let interest = self.interest(router);
        let node = &mut self.nodes[server];
        let link = node.admission.connect();
        let origin = self.routers[router].incarnation;
        node.admission.introduce(link, origin, self.now);
        node.links.insert(router, link);
        node.counted.insert(router, 0);
        node.cursors.insert(router, Cursor::default());
        node.admission.declare(link, true, &interest, self.now);
        self.flush(server);
        self.at(HOP, Event::Poll { router, server });
    }

    fn unlink(&mut self, router: usize, server: usize) {
        if let Some(link) = self.nodes[server].links.remove(&router) {
            self.nodes[server].admission.disconnect(link, self.now);
            self.flush(server);
        }
    }

    /// Every customer always has waiting work at a third of the routers.
    fn interest(&self, router: usize) -> Vec<Interest> {
        let here =
            |customer: &u32| (*customer as usize * 7 + router) % 3 == 0 || self.shape.routers < 3;
        let customers = (0..self.shape.customers).filter(here);
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
        let low = self.shape.cheats && customer % 2 == 1;
        if low { cost / 10 } else { cost }
    }

    fn at(&mut self, delay: Millis, event: Event) {
        self.sequence += 1;
        let at = self.now + delay;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Takes one step; returns the time.
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
        if self.rng.random_bool(self.shape.faults / 1_000.0) {
            self.fault();
        }
        self.now
    }

    /// Hands grants to the routers, which answer a hop later.
    fn flush(&mut self, server: usize) {
        let node = &mut self.nodes[server];
        node.admission.take_woken();
        let links: Vec<(usize, LinkKey)> = node.links.iter().map(|(r, l)| (*r, *l)).collect();
        for (router, link) in links {
            let (grants, report) = self.nodes[server].admission.answer(link, self.now);
            if let Some(report) = report {
                let incarnation = self.nodes[server].incarnation;
                let counted = self.routers[router].ledger.collect(incarnation, &report);
                self.nodes[server].counted.insert(router, counted);
                self.at(2 * HOP, Event::Poll { router, server });
            }
            for grant in grants {
                self.grant(router, server, grant);
            }
        }
    }

    fn grant(&mut self, router: usize, server: usize, grant: Grant) {
        let customers = 0..self.shape.customers;
        let mut customers = customers.filter(|c| CustomerId::of(&name(*c)) == grant.customer);
        let customer = customers.next().expect("known");
        let (server_event, grant) = (server, grant.id);
        self.at(
            2 * HOP,
            Event::Arrive {
                router,
                server: server_event,
                customer,
                grant,
            },
        );
    }

    fn arrive(&mut self, router: usize, server: usize, customer: u32, grant: u64) {
        let Some(link) = self.nodes[server].links.get(&router).copied() else {
            return;
        };
        let interest = self.interest_of(customer);
        if self.rng.random_bool(0.02) {
            self.declined += 1;
            let node = &mut self.nodes[server];
            node.admission.declare(link, false, &[interest], self.now);
            node.admission.decline(link, &[grant], self.now);
            return self.flush(server);
        }
        let cost = self.cost();
        let origin = &mut self.routers[router];
        origin.next += 1;
        let attempt = Attempt {
            origin: origin.incarnation,
            request: origin.next,
            number: 0,
        };
        let ticket = Ticket {
            attempt,
            customer: interest.customer,
            class: Class::Normal,
            deadline: self.now + 60_000,
            hint: 0,
            cost: self.hint(customer, cost),
            grant: Some(grant),
            key: None,
        };
        let node = &mut self.nodes[server];
        node.admission.declare(link, false, &[interest], self.now);
        if node.admission.arrive(&ticket, self.now) == Arrival::Started {
            node.left.insert(attempt, (customer, u64::from(cost)));
            self.started += 1;
            self.at(METER, Event::Progress { server, attempt });
        }
        self.flush(server);
    }

    /// Log-normal with a mean near 430 tokens.
    fn cost(&mut self) -> u32 {
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let cost = (5.7 + 0.85 * normal).exp();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "positive"
        )]
        let cost = cost.clamp(10.0, 4_000.0) as u32;
        cost
    }

    fn progress(&mut self, server: usize, attempt: Attempt) {
        let node = &mut self.nodes[server];
        let Some((customer, left)) = node.left.get_mut(&attempt) else {
            return;
        };
        let tokens = (METER / TOKEN).min(*left);
        *left -= tokens;
        self.service[*customer as usize] += tokens;
        let done = *left == 0;
        node.admission.meter(attempt, tokens);
        if !done {
            return self.at(METER, Event::Progress { server, attempt });
        }
        node.left.remove(&attempt);
        node.admission.end(attempt, Ending::Whole(None), self.now);
        self.flush(server);
    }

    /// A poll tells the fleet-wide counts.
    fn poll(&mut self, router: usize, server: usize) {
        let node = &mut self.nodes[server];
        let (Some(link), Some(counted)) = (node.links.get(&router), node.counted.get(&router))
        else {
            return;
        };
        let cursor = node.cursors.get_mut(&router).expect("as links");
        let fleet = self.routers[router].ledger.totals(cursor);
        node.admission.poll(*link, *counted, &fleet, self.now);
        self.flush(server);
    }

    fn exchange(&mut self) {
        let told: Vec<_> = self
            .routers
            .iter()
            .map(|r| (r.cut, r.ledger.reports()))
            .collect();
        for index in 0..self.routers.len() {
            for (cut, reports) in &told {
                if *cut == self.routers[index].cut {
                    for (origin, report) in reports {
                        self.routers[index].ledger.merge(*origin, report);
                    }
                }
            }
        }
        // Time passes at every sidecar, too.
        for server in 0..self.nodes.len() {
            self.nodes[server].admission.tick(self.now);
            self.flush(server);
        }
        self.at(self.shape.lag, Event::Exchange);
    }

    pub fn busy(&self) -> (usize, usize) {
        let busy = self.nodes.iter().map(|node| node.admission.running()).sum();
        (busy, self.shape.servers * self.shape.slots as usize)
    }

    fn fault(&mut self) {
        self.faults += 1;
        let server = self.rng.random_range(0..self.shape.servers);
        let router = self.rng.random_range(0..self.shape.routers);
        let any = self.rng.random_range(0..4);
        match self.shape.only.unwrap_or(any) {
            0 => {
                self.unlink(router, server);
                self.link(router, server);
            }
            1 => self.restart_router(router),
            2 => self.restart_node(server),
            _ => self.routers[router].cut = !self.routers[router].cut,
        }
    }

    fn restart_router(&mut self, router: usize) {
        let linked = |node: &Node| node.links.contains_key(&router);
        let servers: Vec<usize> = (0..self.nodes.len())
            .filter(|s| linked(&self.nodes[*s]))
            .collect();
        self.routers[router] = self.router();
        for server in servers {
            self.unlink(router, server);
            self.link(router, server);
        }
    }

    fn restart_node(&mut self, server: usize) {
        let routers: Vec<usize> = self.nodes[server].links.keys().copied().collect();
        self.nodes[server] = self.node(server);
        for router in routers {
            self.link(router, server);
        }
    }
}

fn config(shape: Shape) -> Config {
    let mut config = Config::default();
    let mut put = |object: Object| {
        let revision = config.revision + 1;
        config.apply(mulberryyoke_model::Change {
            key: object.key(),
            revision,
            object: Some(object),
        });
    };
    for customer in 0..shape.customers {
        put(Object::Customer(mulberryyoke_model::Customer {
            name: name(customer),
            share: share(customer),
            class: Class::Normal,
            keys: Vec::new(),
            queue: None,
        }));
    }
    for server in 0..shape.reach {
        let any = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        put(Object::Server(Server {
            name: format!("s{server}"),
            pool: POOL.to_owned(),
            region: String::new(),
            zone: "z".to_owned(),
            control: any,
            data: any,
            slots: shape.slots,
            state: State::Active,
            added_at: 1,
            changed_at: 1,
        }));
    }
    config
}
