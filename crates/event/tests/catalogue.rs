//! Checks that the events, the fields they are logged with and `docs/EVENTS.md` agree.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

use googletest::prelude::*;
use mulberryyoke_event::{Event, Level};

/// A row of the table in `docs/EVENTS.md`.
struct Row {
    number: u16,
    name: String,
    level: String,
    text: String,
    meaning: String,
    fields: BTreeSet<String>,
    action: String,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn rows() -> Vec<Row> {
    let page =
        fs::read_to_string(root().join("docs/EVENTS.md")).expect("docs/EVENTS.md is readable");
    page.lines().filter_map(parse_row).collect()
}

fn parse_row(line: &str) -> Option<Row> {
    let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
    let [number, name, level, text, meaning, fields, action] = cells[..] else {
        return None;
    };
    let fields = fields
        .split(',')
        .map(|field| field.trim().trim_matches('`'));
    Some(Row {
        number: number.parse().ok()?,
        name: name.to_owned(),
        level: level.to_owned(),
        text: text.to_owned(),
        meaning: meaning.to_owned(),
        fields: fields
            .filter(|field| *field != "-")
            .map(str::to_owned)
            .collect(),
        action: action.to_owned(),
    })
}

const fn level(event: Event) -> &'static str {
    match event.level() {
        Level::Info => "info",
        Level::Warning => "warning",
        Level::Error => "error",
    }
}

/// Fields with which the sources log each event.
fn logged_fields() -> BTreeMap<String, BTreeSet<String>> {
    let mut events = BTreeMap::new();
    let sources = ["crates/daemon/src", "crates/gateway/src"];
    let mut directories: Vec<PathBuf> = sources.map(|source| root().join(source)).into();
    while let Some(directory) = directories.pop() {
        for entry in fs::read_dir(&directory).expect("source directory is readable") {
            let path = entry.expect("directory entry is readable").path();
            if path.is_dir() {
                directories.push(path);
                continue;
            }
            let source = fs::read_to_string(&path).expect("source is UTF-8");
            for call in source.split("log!(").skip(1) {
                add_fields(&mut events, arguments(call));
            }
        }
    }
    events
}

/// Arguments of a call, up to the closing parenthesis.
fn arguments(call: &str) -> &str {
    let mut depth = 1;
    for (index, character) in call.char_indices() {
        match character {
            '(' => depth += 1,
            ')' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return &call[..index];
        }
    }
    call
}

fn add_fields(events: &mut BTreeMap<String, BTreeSet<String>>, arguments: &str) {
    let fields = arguments.rsplit("=>").skip(1).filter_map(|part| {
        let quoted = part.trim_end().strip_suffix('"')?;
        quoted.rsplit_once('"').map(|(_, field)| field.to_owned())
    });
    let fields: BTreeSet<String> = fields.collect();
    for part in arguments.split("Event::").skip(1) {
        let end = part.find(|c: char| !c.is_ascii_alphanumeric());
        let name = &part[..end.unwrap_or(part.len())];
        events
            .entry(name.to_owned())
            .or_default()
            .extend(fields.iter().cloned());
    }
}

#[gtest]
fn every_event_is_documented() {
    let rows = rows();
    let numbers: Vec<u16> = rows.iter().map(|row| row.number).collect();
    let events: Vec<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    expect_that!(numbers, container_eq(events));
    for (row, event) in rows.iter().zip(Event::ALL) {
        expect_that!(row.name, eq(&format!("{event:?}")));
        expect_that!(row.level, eq(level(*event)), "{event:?}");
        expect_that!(row.text, eq(event.text()), "{event:?}");
        expect_that!(row.meaning.len(), ge(10), "{event:?}");
        expect_that!(row.action.len(), ge(5), "{event:?}");
    }
}

#[gtest]
fn every_field_is_documented() {
    let logged = logged_fields();
    for row in rows() {
        let fields = logged.get(&row.name).cloned().unwrap_or_default();
        expect_that!(row.fields, eq(&fields), "{} in docs/EVENTS.md", row.name);
    }
}

#[gtest]
fn numbers_are_unique_and_ascending() {
    let numbers: Vec<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    expect_that!(numbers.is_sorted_by(|one, next| one < next), eq(true));
}
