//! Every command and option stands in the manual page, the completions and the
//! page of commands.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::process::Command as Process;

use googletest::prelude::*;

const COMPLETIONS: [&str; 3] = [
    "completions/mulberryyoke.bash",
    "completions/_mulberryyoke",
    "completions/mulberryyoke.fish",
];

fn read(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    fs::read_to_string(root.join(path)).expect("the page is there")
}

fn help(words: &[&str]) -> String {
    let output = Process::new(env!("CARGO_BIN_EXE_mulberryyoke"))
        .args(words)
        .arg("--help")
        .output()
        .expect("the client runs");
    assert!(output.status.success(), "{words:?} has help");
    String::from_utf8(output.stdout).expect("help is text")
}

/// The first words of the lines under the head that names commands.
fn commands(help: &str) -> Vec<String> {
    let lines = help
        .lines()
        .skip_while(|line| !line.starts_with("Commands"));
    let names = lines
        .skip(1)
        .filter_map(|line| line.split_whitespace().next());
    names.map(str::to_owned).collect()
}

fn options(help: &str) -> BTreeSet<String> {
    let lines = help
        .lines()
        .filter(|line| line.trim_start().starts_with('-'));
    let names = lines.flat_map(|line| line.split([' ', ',']).filter(|word| word.starts_with("--")));
    names.map(str::to_owned).collect()
}

/// Every command with its words, for example `server drain`.
fn all() -> Vec<Vec<String>> {
    let mut all = Vec::new();
    for group in commands(&help(&[])) {
        let actions = commands(&help(&[&group]));
        if actions.is_empty() {
            all.push(vec![group]);
            continue;
        }
        for action in actions {
            all.push(vec![group.clone(), action]);
        }
    }
    all
}

/// The part of a manual page under one head.
fn section<'a>(page: &'a str, words: &str) -> &'a str {
    let start = page.find(&format!(".SS {words}"));
    let part = &page[start.unwrap_or_else(|| panic!("{words} stands in the page"))..];
    let end = part[3..].find("\n.S").map_or(part.len(), |end| end + 3);
    &part[..end]
}

#[gtest]
fn there_are_all_commands() {
    let all = all();
    expect_that!(all.len(), eq(19));
    for words in all {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let help = help(&words);
        let example = format!("Example: mulberryyoke {}", words.join(" "));
        expect_that!(help, contains_substring(example));
    }
}

#[gtest]
fn the_manual_page_has_every_command_and_option() {
    let page = read("man/mulberryyoke.1").replace("\\-", "-");
    for option in options(&help(&[])) {
        expect_that!(page, contains_substring(option));
    }
    for words in all() {
        let section = section(&page, &words.join(" "));
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        for option in options(&help(&words)) {
            expect_that!(section, contains_substring(option), "{words:?}");
        }
        expect_that!(section, contains_substring("Example:"), "{words:?}");
    }
}

#[gtest]
fn the_completions_have_every_command_and_option() {
    for path in COMPLETIONS {
        let page = read(path);
        for words in all() {
            let words: Vec<&str> = words.iter().map(String::as_str).collect();
            for word in &words {
                expect_that!(page, contains_regex(format!(r"\b{word}\b")), "{path}");
            }
            for option in options(&help(&words)) {
                let long = option.trim_start_matches("--");
                let found = page.contains(&option) || page.contains(&format!("-l {long} "));
                expect_that!(found, eq(true), "{path}: {words:?} {option}");
            }
        }
    }
}
