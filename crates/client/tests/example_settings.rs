//! The example settings are valid and consistent with the example commands.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use googletest::prelude::*;
use mulberryyoke_command::{Command, CustomerAction, PoolAction, ServerAction, ServerAdd};
use mulberryyoke_settings::{read_router, read_sidecar};

fn example_directory(deployment: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    root.join("../../settings").join(deployment)
}

fn files(directory: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(directory).expect("the directory is readable");
    entries
        .map(|entry| entry.expect("an entry").path())
        .collect()
}

/// Splits a line at whitespace outside double quotes, as `xargs` does.
fn split_words(line: &str) -> Vec<String> {
    let mut words = Vec::new();
    for (index, part) in line.split('"').enumerate() {
        if index % 2 == 1 {
            words.push(part.to_owned());
        } else {
            words.extend(part.split_whitespace().map(str::to_owned));
        }
    }
    words
}

fn commands(deployment: &str) -> Vec<Command> {
    let text = fs::read_to_string(example_directory(deployment).join("commands"));
    let text = text.expect("the file of commands is readable");
    let parsed = text.lines().map(|line| Command::parse(&split_words(line)));
    parsed
        .collect::<std::result::Result<_, _>>()
        .expect("every line is a valid command")
}

fn added_servers(commands: &[Command]) -> Vec<ServerAdd> {
    let added = commands.iter().filter_map(|command| match command {
        Command::Server(server) => match &server.action {
            Some(ServerAction::Add(add)) => Some(add.clone()),
            _ => None,
        },
        _ => None,
    });
    added.collect()
}

#[gtest]
fn settings_of_every_router_and_sidecar_are_valid() {
    for (deployment, routers, sidecars) in [("trust", 3, 15), ("directorate", 4, 14)] {
        let directory = example_directory(deployment);
        let found = files(&directory.join("routers"));
        expect_that!(found.len(), eq(routers));
        let mut zones = BTreeSet::new();
        for file in found {
            let router = read_router(&file).expect("the router settings are valid");
            zones.insert(router.zone);
        }
        expect_that!(zones.len(), eq(routers), "every router has its own zone");
        let found = files(&directory.join("sidecars"));
        expect_that!(found.len(), eq(sidecars));
        for file in found {
            read_sidecar(&file).expect("the sidecar settings are valid");
        }
    }
}

#[gtest]
fn added_servers_match_the_sidecar_settings() {
    for deployment in ["trust", "directorate"] {
        let commands = commands(deployment);
        let servers = added_servers(&commands);
        let pools: BTreeSet<String> = commands
            .iter()
            .filter_map(|command| match command {
                Command::Pool(pool) => match &pool.action {
                    Some(PoolAction::Add(add)) => Some(add.name.clone()),
                    _ => None,
                },
                _ => None,
            })
            .collect();
        let sidecars = files(&example_directory(deployment).join("sidecars"));
        expect_that!(servers.len(), eq(sidecars.len()));
        for file in sidecars {
            let sidecar = read_sidecar(&file).expect("the sidecar settings are valid");
            let server = servers.iter().find(|server| server.name == sidecar.name);
            let server = server.expect("the server is added");
            expect_that!(pools.contains(&server.pool), eq(true));
            expect_that!(server.pool, eq(&sidecar.pool));
            expect_that!(server.zone, eq(&sidecar.zone));
            expect_that!(server.region, eq(&sidecar.region));
            expect_that!(server.control, eq(sidecar.control));
            expect_that!(server.data, eq(sidecar.data));
            expect_that!(server.slots, eq(sidecar.slots));
        }
    }
}

#[gtest]
fn sixteen_customers_are_added_at_least_two_with_large_shares() {
    for deployment in ["trust", "directorate"] {
        let commands = commands(deployment);
        let shares: Vec<u32> = commands
            .iter()
            .filter_map(|command| match command {
                Command::Customer(customer) => match &customer.action {
                    Some(CustomerAction::Add(add)) => Some(add.share),
                    _ => None,
                },
                _ => None,
            })
            .collect();
        expect_that!(shares.len(), eq(16));
        expect_that!(shares.iter().filter(|share| **share >= 8).count(), ge(2));
    }
}
