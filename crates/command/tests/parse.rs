//! Parsing and redaction of commands.

use googletest::prelude::*;
use mulberryyoke_command::{Command, CustomerAction, ParseError, redact};
use mulberryyoke_model::Class;

const KEY: &str = "a-key-of-sixteen";

fn split(line: &str) -> Vec<&str> {
    line.split(' ').collect()
}

#[gtest]
fn valid_commands_are_parsed() {
    let lines = [
        "customer add scouts",
        "customer add scouts --share 4 --class urgent --queue 12 --wait --json",
        "customer set scouts --drop-key 09af --at 12",
        "customer remove scouts",
        "customer show scouts",
        "customer list --json",
        "pool add falcon-7b --kind model",
        "pool add org/falcon:7b --kind model",
        "pool remove falcon-7b --wait",
        "pool list",
        "server add m-3 --pool falcon-7b --zone a --control 10.0.1.3:71 --data 10.0.1.3:72 --slots 8",
        "server drain m-3 --wait",
        "server resume m-3",
        "server remove m-3 --at 9",
        "server list --pool falcon-7b --all",
        "status --behind 12",
        "waiting --customer scouts --server m-3 --limit 5",
        "waiting --request 00000000000000ff-1c",
        "config history --key customer/",
        "config show --json",
    ];
    for line in lines {
        expect_that!(Command::parse(&split(line)), ok(anything()), "{line}");
    }
}

#[gtest]
fn routes_are_parsed() {
    let route = "POST /bookings once 40";
    let words = [
        "pool", "add", "booking", "--kind", "service", "--route", route,
    ];
    expect_that!(Command::parse(&words), ok(anything()));
}

#[gtest]
fn invalid_commands_are_rejected() {
    let lines = [
        ("", "unrecognized command"),
        ("customer", "missing required command"),
        ("customer add", "missing required free argument"),
        (
            "customer add scouts --share 0",
            "expected an integer from 1 to 4294967295",
        ),
        (
            "customer add scouts --class late",
            "expected urgent, normal or deferrable",
        ),
        ("customer add scouts --key short", "at least 16 visible"),
        ("customer add ../scouts", "starts with a letter or digit"),
        ("customer add sco%uts", "consists of letters"),
        ("customer set scouts", "nothing to change"),
        ("customer burn scouts", "unrecognized command `burn`"),
        ("pool add p --kind engine", "expected model or service"),
        ("pool add p", "missing required option `--kind`"),
        ("pool add p --kind service", "needs at least one"),
        (
            "pool add p --kind model --route x",
            "expected \"METHOD /PREFIX repeatable|once COST\"",
        ),
        (
            "server add m --pool p --zone a --control 1.1.1.1:1 --data 1.1.1.1:1 --slots 1",
            "addresses must differ",
        ),
        (
            "server add m --pool p --zone a --control 1.1.1.1:0 --data 1.1.1.1:1 --slots 1",
            "1 to 65535",
        ),
        (
            "server add m --pool p --zone a --control host:1 --data 1.1.1.1:1 --slots 1",
            "--control",
        ),
        ("server drain m --slots 1", "unrecognized option `--slots`"),
        ("waiting --request 17", "x-request-id"),
        ("status all", "unexpected free argument"),
    ];
    for (line, reason) in lines {
        expect_that!(
            Command::parse(&split(line)),
            err(matches_pattern!(ParseError::Usage(contains_substring(
                reason
            )))),
            "{line}"
        );
    }
}

#[gtest]
fn help_contains_an_example() {
    for line in [
        "customer add --help",
        "server drain --help",
        "config history --help",
    ] {
        let result = Command::parse(&split(line));
        let command = line.trim_end_matches("--help");
        let example = format!("Example: mulberryyoke {command}");
        expect_that!(
            result,
            err(matches_pattern!(ParseError::Help(contains_substring(
                example
            )))),
            "{line}"
        );
    }
}

#[gtest]
fn option_values_are_parsed() {
    let line = format!("customer add scouts --share 4 --class deferrable --key {KEY}");
    let Ok(Command::Customer(customer)) = Command::parse(&split(&line)) else {
        panic!("not a customer command");
    };
    let Some(CustomerAction::Add(add)) = customer.action else {
        panic!("not an add command");
    };
    expect_that!(add.share, eq(4));
    expect_that!(add.class, eq(Class::Deferrable));
    expect_that!(add.key, elements_are![eq(KEY)]);
}

#[gtest]
fn bearer_keys_and_client_options_are_redacted() {
    let lines = [
        (
            format!("customer add a --key {KEY} --json"),
            "customer add a --key ***",
        ),
        (
            format!("customer add a --key={KEY} --wait"),
            "customer add a --key ***",
        ),
        (
            "config history --key server/".to_owned(),
            "config history --key server/",
        ),
    ];
    for (line, redacted) in lines {
        expect_that!(redact(&split(&line)), eq(redacted));
    }
}
