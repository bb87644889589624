//! Every command and option is in the manual page and the shell completions.

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
    fs::read_to_string(root.join(path)).expect("the file is readable")
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

/// Names of the commands that a help text lists.
fn listed_commands(help: &str) -> Vec<String> {
    let lines = help
        .lines()
        .skip_while(|line| !line.starts_with("Commands"));
    let names = lines
        .skip(1)
        .filter_map(|line| line.split_whitespace().next());
    names.map(str::to_owned).collect()
}

/// Long options that a help text lists.
fn long_options(help: &str) -> BTreeSet<String> {
    let lines = help
        .lines()
        .filter(|line| line.trim_start().starts_with('-'));
    let names = lines.flat_map(|line| line.split([' ', ',']).filter(|word| word.starts_with("--")));
    names.map(str::to_owned).collect()
}

/// Words of every command, for example `server drain`.
fn all_commands() -> Vec<Vec<String>> {
    let mut commands = Vec::new();
    for group in listed_commands(&help(&[])) {
        let subcommands = listed_commands(&help(&[&group]));
        if subcommands.is_empty() {
            commands.push(vec![group]);
            continue;
        }
        for subcommand in subcommands {
            commands.push(vec![group.clone(), subcommand]);
        }
    }
    commands
}

/// Section of the manual page about a command.
fn section<'a>(page: &'a str, command: &str) -> &'a str {
    let start = page.find(&format!(".SS {command}"));
    let part = &page[start.unwrap_or_else(|| panic!("{command} is not in the manual page"))..];
    let end = part[3..].find("\n.S").map_or(part.len(), |end| end + 3);
    &part[..end]
}

#[gtest]
fn help_of_every_command_has_an_example() {
    let commands = all_commands();
    expect_that!(commands.len(), eq(19));
    for words in commands {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let help = help(&words);
        let example = format!("Example: mulberryyoke {}", words.join(" "));
        expect_that!(help, contains_substring(example));
    }
}

#[gtest]
fn manual_page_covers_every_command_and_option() {
    let page = read("man/mulberryyoke.1").replace("\\-", "-");
    for option in long_options(&help(&[])) {
        expect_that!(page, contains_substring(option));
    }
    for words in all_commands() {
        let section = section(&page, &words.join(" "));
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        for option in long_options(&help(&words)) {
            expect_that!(section, contains_substring(option), "{words:?}");
        }
        expect_that!(section, contains_substring("Example:"), "{words:?}");
    }
}

#[gtest]
fn completions_cover_every_command_and_option() {
    for path in COMPLETIONS {
        let completions = read(path);
        for words in all_commands() {
            let words: Vec<&str> = words.iter().map(String::as_str).collect();
            for word in &words {
                expect_that!(
                    completions,
                    contains_regex(format!(r"\b{word}\b")),
                    "{path}"
                );
            }
            for option in long_options(&help(&words)) {
                let long = option.trim_start_matches("--");
                let found =
                    completions.contains(&option) || completions.contains(&format!("-l {long} "));
                expect_that!(found, eq(true), "{path}: {words:?} {option}");
            }
        }
    }
}
