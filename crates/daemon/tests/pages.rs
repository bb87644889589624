//! Checks that the manual page, the shell completions and the metrics page match
//! the daemon.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::process::Command;

use googletest::prelude::*;

/// Subcommands of the daemon.
const ROLES: [&str; 4] = ["gateway", "router", "sidecar", "check"];

/// Files that document all options, relative to the root of the repository.
const PAGES: [&str; 4] = [
    "man/mulberryyoked.8",
    "completions/mulberryyoke.bash",
    "completions/_mulberryyoke",
    "completions/mulberryyoke.fish",
];

/// Help text of a subcommand.
fn help(args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_mulberryyoked"))
        .args(args)
        .arg("--help")
        .output()
        .expect("daemon starts");
    assert!(output.status.success(), "help of {args:?} failed");
    String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned()
}

#[gtest]
fn every_role_and_option_is_documented() {
    let top_level = help(&[]);
    for path in PAGES {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        let page = fs::read_to_string(root.join(path)).expect("page is readable");
        let page = page.replace("\\-", "-");
        for role in ROLES {
            expect_that!(top_level, contains_substring(role));
            expect_that!(page, contains_substring(role), "{path}");
            let help = help(&[role]);
            let example = format!("Example: mulberryyoked {role}");
            expect_that!(help, contains_substring(example));
            let options = help
                .split_whitespace()
                .filter(|word| word.starts_with("--"));
            for option in options {
                let name = option.trim_start_matches("--");
                let is_listed = page.contains(option) || page.contains(&format!("-l {name} "));
                expect_that!(is_listed, eq(true), "{path}: {role} {option}");
            }
        }
    }
}

/// Names of the metrics that a package records, found in its source.
fn recorded_metrics(package: &str) -> BTreeSet<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("..")
        .join(package);
    let mut names = BTreeSet::new();
    let mut directories = vec![root.join("src")];
    while let Some(directory) = directories.pop() {
        for entry in fs::read_dir(&directory).expect("source directory is readable") {
            let path = entry.expect("directory entry is readable").path();
            if path.is_dir() {
                directories.push(path);
                continue;
            }
            let source = fs::read_to_string(&path).expect("source file is valid UTF-8");
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
    let page = fs::read_to_string(page).expect("page is readable");
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let kinds = ["| counter |", "| gauge |", "| histogram |"];
    let rows = rows.filter(|row| kinds.iter().any(|kind| row.contains(kind)));
    let listed: BTreeSet<String> = rows
        .filter_map(|row| row.split('`').next())
        .map(str::to_owned)
        .collect();
    let mut recorded = recorded_metrics("daemon");
    recorded.extend(recorded_metrics("platform"));
    recorded.extend(recorded_metrics("gateway"));
    expect_that!(listed, eq(&recorded));
}
