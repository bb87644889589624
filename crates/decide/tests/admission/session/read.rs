//! Parser of session lines.

use std::collections::BTreeMap;

use mulberryyoke_decide::admission::Termination;
use mulberryyoke_decide::key::Response;
use mulberryyoke_model::{
    Attempt, Class, CustomerId, Incarnation, Interest, KeyId, Server, State, Ticket,
};

/// Words of a line, with `name=value` pairs by name.
pub struct Words<'a> {
    pub plain: Vec<&'a str>,
    pub named: BTreeMap<&'a str, &'a str>,
}

impl<'a> Words<'a> {
    pub fn read(line: &'a str) -> Self {
        let (named, plain): (Vec<&str>, Vec<&str>) =
            line.split_whitespace().partition(|word| word.contains('='));
        let named = named.into_iter().filter_map(|word| word.split_once('='));
        Self {
            plain,
            named: named.collect(),
        }
    }

    pub fn number<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.named.get(name)?.parse().ok()
    }
}

pub fn origin(router: &str) -> Incarnation {
    Incarnation(router.bytes().map(u64::from).sum())
}

pub fn attempt(text: &str) -> Attempt {
    let (router, request) = text.split_once('/').expect("router/request");
    let request = request.parse().expect("number");
    Attempt {
        origin: origin(router),
        request,
        number: 0,
    }
}

pub fn server(name: String, words: &Words) -> Server {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let draining = words.plain.contains(&"draining");
    Server {
        name,
        pool: "llama".to_owned(),
        region: String::new(),
        zone: "z".to_owned(),
        control: address,
        data: address,
        slots: words.number("slots").unwrap_or(2),
        state: if draining {
            State::Draining
        } else {
            State::Active
        },
        added_at: 0,
        changed_at: 0,
    }
}

/// `name=urgent,normal,deferrable[,cost]`
pub fn interest((name, counts): (&&str, &&str)) -> Interest {
    let numbers = counts
        .split(',')
        .map(|count| count.parse().expect("number"));
    let numbers: Vec<u32> = numbers.collect();
    let waiting = [0, 1, 2].map(|class| u16::try_from(numbers[class]).expect("small"));
    Interest {
        customer: CustomerId::of(name),
        waiting,
        cost: numbers.get(3).copied().unwrap_or(100),
        since: 0,
    }
}

pub fn ticket(words: &Words) -> Ticket {
    Ticket {
        attempt: attempt(words.plain[2]),
        customer: CustomerId::of(words.plain[3]),
        class: Class::Normal,
        deadline: words.number("deadline").unwrap_or(1_000_000),
        hint: 0,
        cost: words.number("cost").unwrap_or(100),
        grant: words.number("grant"),
        key: words.number("key").map(KeyId),
    }
}

pub fn termination(words: &Words) -> Termination {
    match words.plain.get(3).copied().unwrap_or("whole") {
        "cut" => Termination::Interrupted,
        "unsent" => Termination::Unsent,
        _ => Termination::Complete(words.named.get("answer").map(|text| Response {
            status: 200,
            headers: Vec::new(),
            body: text.as_bytes().to_vec(),
        })),
    }
}
