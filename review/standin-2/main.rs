//! Runs a case of the review: `standin-2 CASE FOLDER RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out. `standin-2 server ...` is a server.

mod bare;
mod fleet;
mod http;
mod lossy;
mod restart;
mod server;
mod store;

use std::path::Path;
use std::process::exit;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[1..] {
        ["server", id, address, log] => server::run(id, address, Path::new(log)),
        [case @ ("bare" | "restart" | "lossy"), folder, record] => {
            let record = fleet::Record::create(Path::new(record));
            let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
            let folder = Path::new(folder);
            let code = match case {
                "bare" => bare::run(folder, &record, has_trouble),
                "lossy" => lossy::run(folder, &record, has_trouble),
                _ => restart::run(folder, &record, has_trouble),
            };
            record.write(&format!("exit     {code}"));
            // All processes have ended.
            let _ = std::fs::remove_file(folder.join("pids"));
            exit(code);
        }
        _ => exit(2),
    }
}
