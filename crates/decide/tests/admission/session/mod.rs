//! Text sessions of one sidecar: one line per event, followed by its results.

mod read;

use std::collections::BTreeMap;
use std::fmt::Write;

use mulberryyoke_decide::admission::{Admission, Due, LinkKey, Scheduling, Setup};
use mulberryyoke_decide::key::PriorRecord;
use mulberryyoke_model::{
    Change, Class, Config, Customer, CustomerId, Incarnation, Interest, KeyId, Kind, Millis,
    Object, PoolId, ServerId, Usage,
};

use read::{Words, attempt, interest, origin, server, termination, ticket};

/// Runs a session and returns it with the results of each event.
pub fn run(text: &str) -> String {
    let mut session = Session::new();
    let mut log = String::new();
    let events = text.lines().filter(|line| !line.starts_with('>'));
    for line in events {
        writeln!(log, "{line}").expect("writing to a string succeeds");
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        for outcome in session.apply(line) {
            writeln!(log, "> {outcome}").expect("writing to a string succeeds");
        }
    }
    log
}

struct Session {
    admission: Admission,
    links: BTreeMap<String, LinkKey>,
    config: Config,
    now: Millis,
}

impl Session {
    fn new() -> Self {
        let setup = Setup {
            server: ServerId::of("m1"),
            pool: PoolId::of("llama"),
            kind: Kind::Model,
            incarnation: Incarnation(1),
            started_at: 0,
            slots: 2,
            scheduling: Scheduling::Fair,
            retention_ms: 10_000,
        };
        Self {
            admission: Admission::new(setup),
            links: BTreeMap::new(),
            config: Config::default(),
            now: 0,
        }
    }

    /// Applies one event: time, name, arguments.
    fn apply(&mut self, line: &str) -> Vec<String> {
        let words = Words::read(line);
        self.now = words.plain[0].parse().expect("time");
        let mut outcomes = self.run_event(&words);
        outcomes.extend(self.respond_all());
        outcomes
    }

    fn run_event(&mut self, words: &Words) -> Vec<String> {
        let now = self.now;
        let name = words.plain.get(2).copied().unwrap_or_default();
        let admission = &mut self.admission;
        match words.plain[1] {
            "customer" | "server" => self.configure(words),
            "connect" => {
                let link = admission.connect();
                admission.identify_router(link, origin(name), now);
                self.links.insert(name.to_owned(), link);
            }
            "disconnect" => {
                let link = self.links.remove(name).expect("linked");
                admission.disconnect(link, now);
            }
            "declare" => {
                let interest: Vec<Interest> = words.named.iter().map(interest).collect();
                admission.declare(self.links[name], false, &interest, now);
            }
            "decline" => {
                let grant = words.number("grant").expect("grant");
                admission.decline(self.links[name], &[grant], now);
            }
            "arrive" => return vec![format!("{:?}", admission.admit(&ticket(words), now))],
            "meter" => admission.meter(attempt(name), words.number("tokens").expect("tokens")),
            "end" => {
                let termination = termination(words);
                return vec![format!(
                    "{} tokens",
                    admission.end(attempt(name), termination, now)
                )];
            }
            "withdraw" => {
                let key = words.number("key").map(KeyId);
                return vec![format!("{:?}", admission.withdraw(attempt(name), key, now))];
            }
            "outcome" => {
                let key = words.number("key").map(KeyId);
                return vec![format!("{:?}", admission.outcome(attempt(name), key, now))];
            }
            "poll" => return self.poll(name, words),
            "restore" => admission.restore_record(
                &PriorRecord::Open(vec![origin(name)]),
                &[origin(name)],
                now,
            ),
            "new" => admission.restore_record(&PriorRecord::Absent, &[], now),
            "register" => admission.register_routers(&[origin(name)], now),
            "sent" => {
                let keys: Vec<KeyId> = words.number("key").map(KeyId).into_iter().collect();
                admission.add_sent_keys(origin(name), true, &keys, now);
            }
            "show" => {
                let ledger = admission.ledger();
                let account = ledger.find(CustomerId::of(name)).expect("known");
                let service = ledger.virtual_service(account) / 256;
                return vec![format!("{service} tokens per unit of share")];
            }
            "tick" => admission.tick(now),
            "down" => admission.set_backend_down(true, now),
            "up" => admission.set_backend_down(false, now),
            "stop" => admission.stop(),
            other => panic!("unknown event: {other}"),
        }
        Vec::new()
    }

    fn poll(&mut self, name: &str, words: &Words) -> Vec<String> {
        let counted = words.number("counted").unwrap_or(0);
        let fleet = words
            .named
            .iter()
            .filter(|(name, _)| !matches!(**name, "counted"));
        let fleet = fleet.map(|(name, tokens)| Usage {
            pool: PoolId::of("llama"),
            customer: CustomerId::of(name),
            tokens: tokens.parse().expect("tokens"),
        });
        let fleet: Vec<Usage> = fleet.collect();
        let link = self.links[name];
        self.admission
            .poll(link, counted, &fleet, self.now, self.now);
        let due = self.admission.due(link, self.now);
        let load = self.admission.load();
        let mut lines = vec![format!(
            "due {due:?} free {} draining {}",
            load.free, load.draining
        )];
        if due == Due::Now {
            lines.extend(self.respond(name));
        }
        lines
    }

    /// Responds to the polls of all links.
    fn respond_all(&mut self) -> Vec<String> {
        self.admission.take_ready_links();
        let names: Vec<String> = self.links.keys().cloned().collect();
        names.iter().flat_map(|name| self.respond(name)).collect()
    }

    fn respond(&mut self, name: &str) -> Vec<String> {
        let (grants, report) = self.admission.poll_response(self.links[name], self.now);
        let grants = grants.iter().map(|grant| {
            let customer = self.customer(grant.customer);
            format!(
                "grant {} to {name} for {customer} until {}",
                grant.id, grant.until
            )
        });
        let mut lines: Vec<String> = grants.collect();
        if let Some(report) = report {
            let usage = report.usage.iter();
            let usage = usage.map(|u| format!(" {}={}", self.customer(u.customer), u.tokens));
            let mut usage: Vec<String> = usage.collect();
            usage.sort();
            lines.push(format!(
                "report {} to {name}{}",
                report.sequence,
                usage.concat()
            ));
        }
        lines
    }

    fn customer(&self, id: CustomerId) -> &str {
        let mut customers = self.config.customers();
        let found = customers.find(|customer| CustomerId::of(&customer.name) == id);
        found.map_or("unknown", |customer| &customer.name)
    }

    fn configure(&mut self, words: &Words) {
        let name = words.plain[2].to_owned();
        let object = match words.plain[1] {
            "customer" => Object::Customer(Customer {
                name,
                share: words.number("share").unwrap_or(1),
                class: Class::Normal,
                keys: Vec::new(),
                queue: None,
            }),
            _ => Object::Server(server(name, words)),
        };
        let revision = self.config.revision + 1;
        self.config.apply(Change {
            key: object.key(),
            revision,
            object: Some(object),
        });
        self.admission.configure(&self.config, "llama", self.now);
    }
}
