//! Tests of [`Fleet`] while no peer or service is reachable.

use std::sync::Arc;

use googletest::prelude::*;
use mulberryyoke_decide::exchange::Cursor;
use mulberryyoke_model::{
    Change, CustomerId, Incarnation, Kind, Object, Pool, PoolId, Report, Usage,
};
use mulberryyoke_settings::Router;
use mulberryyoked::fleet::Fleet;
use serde_json::json;
use slog::{Discard, Logger, o};

/// Address on which nothing listens.
const UNREACHABLE: &str = "127.0.0.1:9";

fn settings(name: &str) -> Arc<Router> {
    let settings = json!({
        "name": name, "zone": "a", "callers": UNREACHABLE, "operators": UNREACHABLE,
        "control": "127.0.0.1:0", "kv": [UNREACHABLE], "vms": UNREACHABLE, "exchange_ms": 20,
    });
    Arc::new(serde_json::from_value(settings).unwrap())
}

async fn spawn(name: &str) -> Arc<Fleet> {
    let logger = Logger::root(Discard, o!());
    Fleet::spawn(settings(name), logger).await.unwrap()
}

fn pool_change(revision: u64) -> Change {
    let object = Object::Pool(Pool {
        name: "chat".to_owned(),
        kind: Kind::Model,
        routes: Vec::new(),
    });
    Change {
        key: object.key(),
        revision,
        object: Some(object),
    }
}

#[tokio::test]
async fn merged_configuration_is_published_once() {
    let fleet = spawn("r1").await;
    let mut revision = fleet.watch();
    fleet.merge(vec![pool_change(7)]);
    revision.changed().await.unwrap();
    assert_that!(*revision.borrow_and_update(), eq(7));
    assert_that!(fleet.view().model_pool("chat"), some(anything()));
    fleet.merge(vec![pool_change(7), pool_change(3)]);
    assert_that!(revision.has_changed().unwrap(), eq(false));
    fleet.stop().await;
}

#[tokio::test]
async fn repeated_reports_are_counted_once() {
    let fleet = spawn("r1").await;
    let usage = |tokens| Usage {
        pool: PoolId::of("chat"),
        customer: CustomerId::of("acme"),
        tokens,
    };
    let report = |sequence, tokens| Report {
        sequence,
        usage: vec![usage(tokens)],
    };
    let sidecar = Incarnation(5);
    let mut cursor = Cursor::default();
    for (sequence, tokens) in [(1, 10), (2, 25), (2, 25), (1, 10)] {
        fleet.collect(sidecar, &report(sequence, tokens));
    }
    assert_that!(fleet.totals(&mut cursor), elements_are![eq(&usage(25))]);
    assert_that!(fleet.totals(&mut cursor), is_empty());
    fleet.stop().await;
}
