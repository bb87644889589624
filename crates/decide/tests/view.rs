//! Index of the configuration.

use googletest::prelude::*;
use mulberryyoke_decide::view::View;
use mulberryyoke_model::{
    Change, Class, Config, Customer, CustomerId, KeyHash, Kind, Object, Pool, PoolId, Route,
    Server, ServerId, State,
};

fn apply(config: &mut Config, revision: u64, object: Object) {
    let change = Change {
        key: object.key(),
        revision,
        object: Some(object),
    };
    config.apply(change);
}

fn customer(name: &str, key: &str) -> Object {
    Object::Customer(Customer {
        name: name.to_owned(),
        share: 1,
        class: Class::Normal,
        keys: vec![KeyHash::of(key)],
        queue: None,
    })
}

fn route(method: &str, prefix: &str) -> Route {
    Route {
        method: method.to_owned(),
        prefix: prefix.to_owned(),
        idempotent: false,
        cost: 10,
    }
}

fn pool(name: &str, kind: Kind, routes: Vec<Route>) -> Object {
    Object::Pool(Pool {
        name: name.to_owned(),
        kind,
        routes,
    })
}

fn server(name: &str, state: State) -> Object {
    Object::Server(Server {
        name: name.to_owned(),
        pool: "chat".to_owned(),
        region: String::new(),
        zone: "a".to_owned(),
        control: "127.0.0.1:1".parse().unwrap(),
        data: "127.0.0.1:2".parse().unwrap(),
        slots: 4,
        state,
        added_at: 1,
        changed_at: 1,
    })
}

fn view() -> View {
    let mut config = Config::default();
    let booking = vec![
        route("POST", "/bookings"),
        route("GET", "/bookings"),
        route("*", "/bookings/archive"),
        route("GET", "/files/"),
    ];
    let objects = [
        customer("acme", "acme-key"),
        customer("beta", "beta-key"),
        pool("chat", Kind::Model, vec![]),
        pool("booking", Kind::Service, booking),
        pool("site", Kind::Service, vec![route("*", "/")]),
        server("s1", State::Active),
        server("s2", State::Draining),
        server("s3", State::Removed),
    ];
    for (revision, object) in (1..).zip(objects) {
        apply(&mut config, revision, object);
    }
    config.apply(Change {
        key: "customer/beta".to_owned(),
        revision: 20,
        object: None,
    });
    View::build(&config)
}

#[googletest::test]
fn objects_are_found_by_id_and_key() {
    let view = view();
    let acme = view.customer_by_key(&KeyHash::of("acme-key"));
    expect_that!(view.revision(), eq(20));
    expect_that!(acme.map(|c| c.name.as_str()), some(eq("acme")));
    expect_that!(view.customer_by_key(&KeyHash::of("beta-key")), none());
    expect_that!(view.customer(CustomerId::of("beta")), none());
    expect_that!(view.customers().count(), eq(1));
    expect_that!(view.model_pool("chat"), some(anything()));
    expect_that!(view.model_pool("booking"), none());
    expect_that!(view.model_pools().count(), eq(1));
    expect_that!(view.pools().count(), eq(3));
    expect_that!(view.server(ServerId::of("s3")), some(anything()));
    expect_that!(view.server(ServerId::of("s4")), none());
}

#[googletest::test]
fn removed_servers_are_only_in_all_servers() {
    let view = view();
    let names = |servers: &[std::sync::Arc<Server>]| {
        let names: Vec<_> = servers.iter().map(|s| s.name.clone()).collect();
        names.join(" ")
    };
    expect_that!(names(view.servers(PoolId::of("chat"))), eq("s1 s2"));
    expect_that!(names(view.all_servers(PoolId::of("chat"))), eq("s1 s2 s3"));
    expect_that!(view.servers(PoolId::of("site")), is_empty());
}

#[googletest::test]
fn the_longest_prefix_wins() {
    let view = view();
    let rows = [
        ("POST", "/bookings", Some(("booking", "POST /bookings"))),
        ("GET", "/bookings/7", Some(("booking", "GET /bookings"))),
        ("PUT", "/bookings/7", Some(("site", "* /"))),
        (
            "GET",
            "/bookings/archive/1",
            Some(("booking", "* /bookings/archive")),
        ),
        ("GET", "/bookingsx", Some(("site", "* /"))),
        ("GET", "/files/a", Some(("booking", "GET /files/"))),
        ("GET", "relative", None),
    ];
    for (method, path, expected) in rows {
        let found = view.route(method, path);
        let found = found.map(|(pool, route)| {
            (
                pool.name.clone(),
                format!("{} {}", route.method, route.prefix),
            )
        });
        let expected = expected.map(|(pool, route)| (pool.to_owned(), route.to_owned()));
        expect_that!(found, eq(&expected), "{method} {path}");
    }
}
