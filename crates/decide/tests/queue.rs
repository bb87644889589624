//! Order of queued requests.

use googletest::prelude::*;
use mulberryyoke_decide::queue::{
    ChangeLog, Entry, EntryKey, PROMOTION_LEAD_MS, Queue, REORDER_WINDOW_MS,
};
use mulberryyoke_model::{Class, CustomerId, Millis, ServerId};
use proptest::prelude::*;

const ACME: CustomerId = CustomerId(1);
const BETA: CustomerId = CustomerId(2);
const HERE: ServerId = ServerId(10);
const THERE: ServerId = ServerId(11);
const FAR: Millis = 1_000_000;

type Name = &'static str;

fn entry(customer: CustomerId, class: Class, deadline: Millis, name: Name) -> Entry<Name> {
    Entry::new(customer, class, deadline, 0, name)
}

fn pinned(server: ServerId, name: Name) -> Entry<Name> {
    let mut entry = entry(ACME, Class::Normal, FAR, name);
    entry.pinned_server = Some(server);
    entry
}

fn drain(queue: &mut Queue<Name>, customer: CustomerId, server: ServerId) -> Vec<Name> {
    let pop = || queue.pop(customer, server, |_| false);
    std::iter::from_fn(pop).map(|entry| entry.payload).collect()
}

#[gtest]
fn order_is_class_then_deadline_then_arrival() {
    let rows = [
        (
            "class",
            vec![
                (Class::Deferrable, FAR, "c"),
                (Class::Normal, FAR, "b"),
                (Class::Urgent, FAR, "a"),
            ],
        ),
        (
            "deadline",
            vec![
                (Class::Normal, FAR + 2, "c"),
                (Class::Normal, FAR, "a"),
                (Class::Normal, FAR + 1, "b"),
            ],
        ),
        (
            "arrival",
            vec![
                (Class::Normal, FAR, "a"),
                (Class::Normal, FAR, "b"),
                (Class::Normal, FAR, "c"),
            ],
        ),
        (
            "class before deadline",
            vec![
                (Class::Normal, FAR, "b"),
                (Class::Deferrable, FAR - 9, "c"),
                (Class::Urgent, FAR + 9, "a"),
            ],
        ),
    ];
    for (row, requests) in rows {
        let mut queue = Queue::default();
        for (class, deadline, name) in requests {
            queue.push(entry(ACME, class, deadline, name));
        }
        expect_that!(
            drain(&mut queue, ACME, HERE),
            elements_are![&"a", &"b", &"c"],
            "{row}"
        );
        expect_that!(queue.is_empty(), eq(true), "{row}");
    }
}

#[gtest]
fn customers_do_not_mix() {
    let mut queue = Queue::default();
    queue.push(entry(ACME, Class::Urgent, FAR, "acme"));
    queue.push(entry(BETA, Class::Normal, FAR, "beta"));
    expect_that!(drain(&mut queue, BETA, HERE), elements_are![&"beta"]);
    expect_that!(drain(&mut queue, ACME, HERE), elements_are![&"acme"]);
}

#[gtest]
fn deferrable_is_promoted_near_its_deadline() {
    let mut queue = Queue::default();
    queue.push(entry(ACME, Class::Deferrable, FAR, "deferrable"));
    queue.push(entry(ACME, Class::Normal, FAR, "normal"));
    queue.push(entry(ACME, Class::Urgent, FAR + 1, "urgent"));
    expect_that!(queue.promote(FAR - PROMOTION_LEAD_MS - 1), is_empty());
    expect_that!(queue.interest(ACME, HERE).waiting, eq([1, 1, 1]));
    expect_that!(
        queue.promote(FAR - PROMOTION_LEAD_MS),
        elements_are![eq(&ACME)]
    );
    expect_that!(queue.interest(ACME, HERE).waiting, eq([2, 1, 0]));
    expect_that!(queue.promote(FAR), is_empty());
    let order = drain(&mut queue, ACME, HERE);
    expect_that!(order, elements_are![&"deferrable", &"urgent", &"normal"]);
}

#[gtest]
fn pinned_requests_go_to_their_server_only() {
    let mut queue = Queue::default();
    queue.push(pinned(HERE, "here"));
    queue.push(pinned(THERE, "there"));
    queue.push(entry(ACME, Class::Normal, FAR, "any"));
    expect_that!(queue.interest(ACME, HERE).total(), eq(2));
    expect_that!(queue.interest(ACME, ServerId(12)).total(), eq(1));
    expect_that!(
        drain(&mut queue, ACME, HERE),
        elements_are![&"here", &"any"]
    );
    expect_that!(drain(&mut queue, ACME, THERE), elements_are![&"there"]);
}

#[gtest]
fn interest_has_mean_cost_and_oldest_request_of_the_best_class() {
    let mut queue = Queue::default();
    for (class, deadline, since, cost) in [
        (Class::Normal, FAR, 5, 100),
        (Class::Urgent, FAR, 9, 300),
        (Class::Urgent, FAR + 5, 7, 200),
    ] {
        let mut entry = Entry::new(ACME, class, deadline, since, "");
        entry.cost = cost;
        queue.push(entry);
    }
    let interest = queue.interest(ACME, HERE);
    expect_that!(interest.waiting, eq([2, 1, 0]));
    expect_that!(interest.cost, eq(200));
    // The oldest is the first to arrive, whatever its deadline.
    expect_that!(interest.since, eq(9));
    expect_that!(queue.interest(BETA, HERE).total(), eq(0));
}

#[gtest]
fn cached_prefix_reorders_only_within_the_window() {
    let rows = [
        ("equal deadline", Class::Normal, FAR, "cached"),
        (
            "within the window",
            Class::Normal,
            FAR + REORDER_WINDOW_MS,
            "cached",
        ),
        (
            "beyond the window",
            Class::Normal,
            FAR + REORDER_WINDOW_MS + 1,
            "uncached",
        ),
        ("lower class", Class::Deferrable, FAR, "uncached"),
    ];
    for (row, class, deadline, first) in rows {
        let mut queue = Queue::default();
        queue.push(entry(ACME, Class::Normal, FAR, "uncached"));
        queue.push(entry(ACME, class, deadline, "cached"));
        let popped = queue.pop(ACME, HERE, |name| *name == "cached");
        expect_that!(popped.map(|entry| entry.payload), some(eq(first)), "{row}");
    }
}

#[gtest]
fn back_and_position_follow_the_order() {
    let mut queue = Queue::default();
    queue.push(entry(ACME, Class::Normal, FAR, "first"));
    let last = queue.push(entry(ACME, Class::Deferrable, FAR, "last"));
    queue.push(entry(ACME, Class::Normal, FAR + 1, "second"));
    expect_that!(queue.back(ACME), some(eq(last)));
    expect_that!(queue.back(BETA), none());
    let mut positions: Vec<(Name, usize)> = queue
        .iter()
        .map(|(_, entry)| (entry.payload, queue.position(entry)))
        .collect();
    positions.sort_unstable();
    expect_that!(
        positions,
        eq(&vec![("first", 0), ("last", 2), ("second", 1)])
    );
}

#[gtest]
fn change_log_keeps_the_latest_change_of_each_customer() {
    let mut changes = ChangeLog::default();
    changes.record(ACME);
    let seen = changes.latest();
    changes.record(BETA);
    changes.record(ACME);
    changes.record(BETA);
    let newer: Vec<CustomerId> = changes.since(seen).collect();
    expect_that!(newer, elements_are![eq(&ACME), eq(&BETA)]);
    expect_that!(changes.since(changes.latest()).count(), eq(0));
}

/// An operation on a queue.
#[derive(Clone, Copy, Debug)]
enum Operation {
    Push {
        customer: u32,
        class: usize,
        deadline: Millis,
        pinned: u32,
    },
    Pop {
        customer: u32,
        server: u32,
    },
    Remove(usize),
    Promote(Millis),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        (0..4_u32, 0..3_usize, 0..100_000_u64, 0..4_u32).prop_map(
            |(customer, class, deadline, pinned)| Operation::Push {
                customer,
                class,
                deadline,
                pinned
            }
        ),
        (0..4_u32, 1..4_u32).prop_map(|(customer, server)| Operation::Pop { customer, server }),
        (0..20_usize).prop_map(Operation::Remove),
        (0..100_000_u64).prop_map(Operation::Promote),
    ]
}

proptest! {
    /// Guards against lost or duplicated requests and wrong interest counts.
    #[test]
    fn no_request_is_lost_or_duplicated(operations in prop::collection::vec(operation(), 0..200)) {
        let mut queue: Queue<usize> = Queue::default();
        let mut queued: Vec<(EntryKey, usize)> = Vec::new();
        for (number, operation) in operations.into_iter().enumerate() {
            match operation {
                Operation::Push { customer, class, deadline, pinned } => {
                    let class = Class::ALL[class];
                    let mut entry =
                        Entry::new(CustomerId(customer), class, deadline, 0, number);
                    entry.pinned_server = (pinned > 0).then_some(ServerId(pinned));
                    queued.push((queue.push(entry), number));
                }
                Operation::Pop { customer, server } => {
                    let customer = CustomerId(customer);
                    let waiting = queue.interest(customer, ServerId(server)).total();
                    let popped = queue.pop(customer, ServerId(server), |_| false);
                    prop_assert_eq!(popped.is_some(), waiting > 0);
                    queued.retain(|(_, number)| Some(*number) != popped.as_ref().map(|entry| entry.payload));
                }
                Operation::Remove(index) if index < queued.len() => {
                    let (key, number) = queued.remove(index);
                    prop_assert_eq!(queue.remove(key).map(|entry| entry.payload), Some(number));
                    prop_assert!(queue.remove(key).is_none());
                }
                Operation::Remove(_) => {}
                Operation::Promote(now) => drop(queue.promote(now)),
            }
            prop_assert_eq!(queue.len(), queued.len());
        }
        let mut left: Vec<usize> = queue.iter().map(|(_, entry)| entry.payload).collect();
        left.sort_unstable();
        let mut expected: Vec<usize> = queued.into_iter().map(|(_, number)| number).collect();
        expected.sort_unstable();
        prop_assert_eq!(left, expected);
    }
}
