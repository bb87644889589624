//! Every command and option of the daemon stands in its manual page and in the
//! completions.

use std::fs;
use std::path::Path;
use std::process::Command;

use googletest::prelude::*;

const ROLES: [&str; 3] = ["router", "sidecar", "check"];

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
fn every_role_and_option_stands_on_the_pages() {
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
