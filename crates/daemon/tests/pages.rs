//! Every command and option of the daemon stands in its manual page and in the
//! completions.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::process::Command;

use googletest::prelude::*;

const ROLES: [&str; 4] = ["gateway", "router", "sidecar", "check"];

const PAGES: [&str; 4] = [
    "man/mulberryyoked.8",
    "completions/mulberryyoke.bash",
    "completions/_mulberryyoke",
    "completions/mulberryyoke.fish",
];

fn help(words: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_mulberryyoked"))
        .args(words)
        .arg("--help")
        .output()
        .expect("the daemon runs");
    assert!(output.status.success(), "{words:?} has help");
    String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned()
}

#[gtest]
fn every_role_and_option_is_documented() {
    let top = help(&[]);
    for path in PAGES {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        let page = fs::read_to_string(root.join(path)).expect("the page is there");
        let page = page.replace("\\-", "-");
        for role in ROLES {
            expect_that!(top, contains_substring(role));
            expect_that!(page, contains_substring(role), "{path}");
            let help = help(&[role]);
            let example = format!("Example: mulberryyoked {role}");
            expect_that!(help, contains_substring(example));
            let words = help
                .split_whitespace()
                .filter(|word| word.starts_with("--"));
            for option in words {
                let long = option.trim_start_matches("--");
                let found = page.contains(option) || page.contains(&format!("-l {long} "));
                expect_that!(found, eq(true), "{path}: {role} {option}");
            }
        }
    }
}

/// Metrics that the sources of a package record.
fn recorded(package: &str) -> BTreeSet<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("..")
        .join(package);
    let mut names = BTreeSet::new();
    let mut directories = vec![root.join("src")];
    while let Some(directory) = directories.pop() {
        for entry in fs::read_dir(&directory).expect("the source is there") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                directories.push(path);
                continue;
            }
            let source = fs::read_to_string(&path).expect("source is text");
            for kind in ["counter!(", "gauge!(", "histogram!("] {
                let calls = source.split(kind).skip(1);
                let quoted = calls.filter_map(|call| call.trim_start().strip_prefix('"'));
                names.extend(
                    quoted
                        .filter_map(|call| call.split('"').next())
                        .map(str::to_owned),
                );
            }
        }
    }
    names
}

#[gtest]
fn metrics_page_lists_exactly_the_recorded_metrics() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operating/metrics.md");
    let page = fs::read_to_string(page).expect("the page is there");
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let kinds = ["| counter |", "| gauge |", "| histogram |"];
    let rows = rows.filter(|row| kinds.iter().any(|kind| row.contains(kind)));
    let listed: BTreeSet<String> = rows
        .filter_map(|row| row.split('`').next())
        .map(str::to_owned)
        .collect();
    let mut all = recorded("daemon");
    all.extend(recorded("platform"));
    all.extend(recorded("gateway"));
    expect_that!(listed, eq(&all));
}
