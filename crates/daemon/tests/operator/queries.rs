//! Read-only commands.

use googletest::prelude::*;
use mulberryyoke_command::api::{ErrorCode, Output};
use mulberryyoke_model::{Change, Kind, Object, Outcome, Pool};

use crate::fixture::Fixture;

async fn nodes(fixture: &Fixture, line: &str) -> Vec<String> {
    match fixture.run(1, line).await {
        Ok(Output::Status(status)) => status.nodes.into_iter().map(|node| node.name).collect(),
        other => panic!("not a status: {other:?}"),
    }
}

#[tokio::test]
async fn nodes_behind_a_revision_are_listed() {
    let fixture = Fixture::open().await;
    let all = nodes(&fixture, "status").await;
    assert_that!(all, elements_are![eq("entry-1"), eq("entry-2"), eq("m-1")]);
    let behind = nodes(&fixture, "status --behind 5").await;
    assert_that!(behind, elements_are![eq("entry-2"), eq("m-1")]);
    assert_that!(
        nodes(&fixture, "status --behind 4").await,
        elements_are![eq("entry-2")]
    );
}

#[tokio::test]
async fn history_lists_recorded_writes() {
    let fixture = Fixture::open().await;
    fixture
        .run(1, "customer add scouts")
        .await
        .expect("change is accepted");
    fixture
        .run(2, "customer add guides")
        .await
        .expect("change is accepted");
    for command in 3..15 {
        let line = format!("customer set scouts --share {command}");
        fixture
            .run(command, &line)
            .await
            .expect("change is accepted");
    }
    let Ok(Output::History(writes)) = fixture.run(20, "config history").await else {
        panic!("not a history");
    };
    // Each key has its latest write and at most eight earlier ones.
    let commands: Vec<u64> = writes.iter().map(|write| write.command).collect();
    assert_that!(commands, container_eq([14, 13, 12, 11, 10, 9, 8, 7, 6, 2]));
    assert_that!(writes[0].words, eq("customer set scouts --share 14"));
    assert_that!(writes[0].operator, eq("noor"));
    assert_that!(writes[0].revision, eq(14));
    let line = "config history --key customer/g --limit 5";
    let Ok(Output::History(writes)) = fixture.run(21, line).await else {
        panic!("not a history");
    };
    assert_that!(writes.len(), eq(1));
}

#[tokio::test]
async fn configured_objects_are_listed_by_kind() {
    let fixture = Fixture::open().await;
    let object = Object::Pool(Pool {
        name: "chat".to_owned(),
        kind: Kind::Model,
        routes: Vec::new(),
    });
    fixture.router.config.lock().apply(Change {
        key: object.key(),
        revision: 6,
        object: Some(object),
    });
    for (line, count) in [("pool list", 1), ("customer list", 0), ("config show", 1)] {
        let Ok(Output::Items(items)) = fixture.run(1, line).await else {
            panic!("{line}: not a list");
        };
        assert_that!(items.len(), eq(count), "{line}");
    }
    let missing = fixture.run(1, "customer show scouts").await;
    assert_that!(
        missing.map_err(|error| error.code),
        err(eq(&ErrorCode::Missing))
    );
}

#[tokio::test]
async fn a_request_that_is_not_waiting_has_an_outcome() {
    let fixture = Fixture::open().await;
    let line = "waiting --request 00000000000000ff-1c";
    let Ok(Output::Waiting(waiting)) = fixture.run(1, line).await else {
        panic!("not a list of waiting requests");
    };
    assert_that!(waiting.outcome, some(eq(Outcome::Ran)));
}
