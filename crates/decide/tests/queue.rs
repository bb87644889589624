//! Order of waiting requests.

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

type Named = &'static str;

fn waiting(customer: CustomerId, class: Class, deadline: Millis, name: Named) -> Entry<Named> {
    Entry::new(customer, class, deadline, 0, name)
}

fn bound(server: ServerId, name: Named) -> Entry<Named> {
    let mut waiting = waiting(ACME, Class::Normal, FAR, name);
    waiting.pinned_server = Some(server);
    waiting
}

fn drain(queue: &mut Queue<Named>, customer: CustomerId, server: ServerId) -> Vec<Named> {
    let take = || queue.pop(customer, server, |_| false);
    std::iter::from_fn(take)
        .map(|waiting| waiting.payload)
        .collect()
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
            queue.push(waiting(ACME, class, deadline, name));
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
    queue.push(waiting(ACME, Class::Urgent, FAR, "acme"));
    queue.push(waiting(BETA, Class::Normal, FAR, "beta"));
    expect_that!(drain(&mut queue, BETA, HERE), elements_are![&"beta"]);
    expect_that!(drain(&mut queue, ACME, HERE), elements_are![&"acme"]);
}

#[gtest]
fn deferrable_rises_when_its_deadline_nears() {
    let mut queue = Queue::default();
    queue.push(waiting(ACME, Class::Deferrable, FAR, "deferrable"));
    queue.push(waiting(ACME, Class::Normal, FAR, "normal"));
    queue.push(waiting(ACME, Class::Urgent, FAR + 1, "urgent"));
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
fn bound_requests_go_to_their_server_only() {
    let mut queue = Queue::default();
    queue.push(bound(HERE, "here"));
    queue.push(bound(THERE, "there"));
    queue.push(waiting(ACME, Class::Normal, FAR, "any"));
    expect_that!(queue.interest(ACME, HERE).total(), eq(2));
    expect_that!(queue.interest(ACME, ServerId(12)).total(), eq(1));
    expect_that!(
        drain(&mut queue, ACME, HERE),
        elements_are![&"here", &"any"]
    );
    expect_that!(drain(&mut queue, ACME, THERE), elements_are![&"there"]);
}

#[gtest]
fn interest_tells_cost_and_the_oldest_of_the_best_class() {
    let mut queue = Queue::default();
    for (class, deadline, since, cost) in [
        (Class::Normal, FAR, 5, 100),
        (Class::Urgent, FAR, 9, 300),
        (Class::Urgent, FAR + 5, 7, 200),
    ] {
        let mut waiting = Entry::new(ACME, class, deadline, since, "");
        waiting.cost = cost;
        queue.push(waiting);
    }
    let interest = queue.interest(ACME, HERE);
    expect_that!(interest.waiting, eq([2, 1, 0]));
    expect_that!(interest.cost, eq(200));
    // The oldest is the first to arrive, whatever its deadline.
    expect_that!(interest.since, eq(9));
    expect_that!(queue.interest(BETA, HERE).total(), eq(0));
}

#[gtest]
fn warm_prefix_changes_places_only_within_the_slack() {
    let rows = [
        ("equal deadline", Class::Normal, FAR, "warm"),
        (
            "within the slack",
            Class::Normal,
            FAR + REORDER_WINDOW_MS,
            "warm",
        ),
        (
            "beyond the slack",
            Class::Normal,
            FAR + REORDER_WINDOW_MS + 1,
            "cold",
        ),
        ("lower class", Class::Deferrable, FAR, "cold"),
    ];
    for (row, class, deadline, first) in rows {
        let mut queue = Queue::default();
        queue.push(waiting(ACME, Class::Normal, FAR, "cold"));
        queue.push(waiting(ACME, class, deadline, "warm"));
        let taken = queue.pop(ACME, HERE, |name| *name == "warm");
        expect_that!(
            taken.map(|waiting| waiting.payload),
            some(eq(first)),
            "{row}"
        );
    }
}

#[gtest]
fn tail_and_position_follow_the_order() {
    let mut queue = Queue::default();
    queue.push(waiting(ACME, Class::Normal, FAR, "first"));
    let last = queue.push(waiting(ACME, Class::Deferrable, FAR, "last"));
    queue.push(waiting(ACME, Class::Normal, FAR + 1, "second"));
    expect_that!(queue.back(ACME), some(eq(last)));
    expect_that!(queue.back(BETA), none());
    let mut positions: Vec<(Named, usize)> = queue
        .iter()
        .map(|(_, waiting)| (waiting.payload, queue.position(waiting)))
        .collect();
    positions.sort_unstable();
    expect_that!(
        positions,
        eq(&vec![("first", 0), ("last", 2), ("second", 1)])
    );
}

#[gtest]
fn changes_keep_the_latest_of_each_customer() {
    let mut changes = ChangeLog::default();
    changes.record(ACME);
    let seen = changes.latest();
    changes.record(BETA);
    changes.record(ACME);
    changes.record(BETA);
    let new: Vec<CustomerId> = changes.since(seen).collect();
    expect_that!(new, elements_are![eq(&ACME), eq(&BETA)]);
    expect_that!(changes.since(changes.latest()).count(), eq(0));
}

/// What may happen to a queue.
#[derive(Clone, Copy, Debug)]
enum Step {
    Push {
        customer: u32,
        class: usize,
        deadline: Millis,
        bound: u32,
    },
    Take {
        customer: u32,
        server: u32,
    },
    Remove(usize),
    Raise(Millis),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4_u32, 0..3_usize, 0..100_000_u64, 0..4_u32).prop_map(
            |(customer, class, deadline, bound)| Step::Push {
                customer,
                class,
                deadline,
                bound
            }
        ),
        (0..4_u32, 1..4_u32).prop_map(|(customer, server)| Step::Take { customer, server }),
        (0..20_usize).prop_map(Step::Remove),
        (0..100_000_u64).prop_map(Step::Raise),
    ]
}

proptest! {
    /// Every request is waiting or gone exactly once, and interest counts them.
    #[test]
    fn nothing_is_lost_or_doubled(steps in prop::collection::vec(step(), 0..200)) {
        let mut queue: Queue<usize> = Queue::default();
        let mut held: Vec<(EntryKey, usize)> = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Push { customer, class, deadline, bound } => {
                    let class = Class::ALL[class];
                    let mut waiting =
                        Entry::new(CustomerId(customer), class, deadline, 0, number);
                    waiting.pinned_server = (bound > 0).then_some(ServerId(bound));
                    held.push((queue.push(waiting), number));
                }
                Step::Take { customer, server } => {
                    let customer = CustomerId(customer);
                    let counted = queue.interest(customer, ServerId(server)).total();
                    let taken = queue.pop(customer, ServerId(server), |_| false);
                    prop_assert_eq!(taken.is_some(), counted > 0);
                    held.retain(|(_, number)| Some(*number) != taken.as_ref().map(|w| w.payload));
                }
                Step::Remove(index) if index < held.len() => {
                    let (key, number) = held.remove(index);
                    prop_assert_eq!(queue.remove(key).map(|w| w.payload), Some(number));
                    prop_assert!(queue.remove(key).is_none());
                }
                Step::Remove(_) => {}
                Step::Raise(now) => drop(queue.promote(now)),
            }
            prop_assert_eq!(queue.len(), held.len());
        }
        let mut left: Vec<usize> = queue.iter().map(|(_, waiting)| waiting.payload).collect();
        left.sort_unstable();
        let mut expected: Vec<usize> = held.into_iter().map(|(_, number)| number).collect();
        expected.sort_unstable();
        prop_assert_eq!(left, expected);
    }
}
