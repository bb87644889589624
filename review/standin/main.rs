//! Runs a case of the review: `standin CASE FOLDER RECORD`. Exits with 1 if the rule was broken, 0 if
//! it held and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod fleet;
mod http;
mod memory;
mod store;
mod stuck;

use std::path::Path;
use std::process::exit;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = words.as_slice() else { exit(2) };
    let record = fleet::Record::create(Path::new(record));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let folder = Path::new(folder);
    let code = match case.as_str() {
        "stuck" => stuck::run(folder, &record, has_trouble),
        "memory" => memory::run(folder, &record, has_trouble),
        _ => 2,
    };
    record.write(&format!("exit     {code}"));
    // All processes have ended.
    let _ = std::fs::remove_file(folder.join("pids"));
    exit(code);
}
