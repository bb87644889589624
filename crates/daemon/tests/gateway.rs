//! The gateway as a process before stand-ins of the platform: signals, settings,
//! and the way from a request's id to its cause by the log alone.

#[path = "../../../platform/tests/standin/mod.rs"]
mod standin;

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::standin::store::Store;
use crate::standin::{caller, server};

/// Longest time that a test waits for anything.
const LONGEST: Duration = Duration::from_secs(10);

/// Times that a gateway is started on other addresses: a free one may be taken by another test,
/// or by a connection, between its choice and the start.
const TRIES: u32 = 10;

/// A running gateway and what it has logged.
struct Process {
    child: Child,
    settings: PathBuf,
    callers: SocketAddr,
    lines: Arc<Mutex<Vec<Value>>>,
    store: Store,
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

fn free() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

fn settings(store: &Store, addresses: [SocketAddr; 3]) -> Value {
    json!({
        "name": "edge-1", "zone": "a", "callers": addresses[0], "health": addresses[1],
        "control": addresses[2], "store": store.address, "keys_fresh_ms": 5_000,
    })
}

impl Process {
    /// Starts a gateway before one server that takes `pause` for each first event.
    async fn spawn(name: &str, pause: Duration) -> Self {
        for _ in 0..TRIES {
            let addresses = [free(), free(), free()];
            if let Some(process) = Self::try_spawn(name, pause, addresses).await {
                return process;
            }
        }
        panic!("the gateway finds free addresses");
    }

    /// As [`Process::spawn`] on these addresses; `None` if it ends without being ready.
    async fn try_spawn(name: &str, pause: Duration, addresses: [SocketAddr; 3]) -> Option<Self> {
        let store = Store::spawn().await;
        let server = server::spawn(pause).await;
        store.configure(server);
        let path =
            std::env::temp_dir().join(format!("mulberryyoke-{name}-{}.json", std::process::id()));
        fs::write(&path, settings(&store, addresses).to_string()).expect("a file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_mulberryyoked"))
            .args(["gateway", "--settings"])
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the gateway starts");
        let output = child.stdout.take().expect("its output");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let read = Arc::clone(&lines);
        thread::spawn(move || {
            for line in BufReader::new(output)
                .lines()
                .map_while(std::result::Result::ok)
            {
                let line = serde_json::from_str(&line).expect("a line is JSON");
                read.lock().expect("no panic").push(line);
            }
        });
        let mut process = Self {
            child,
            settings: path,
            callers: addresses[0],
            lines,
            store,
        };
        let until = Instant::now() + LONGEST;
        while process.find(|line| line["event"] == 1016).is_none() {
            if process.child.try_wait().expect("its status").is_some() {
                return None;
            }
            assert!(Instant::now() < until, "the gateway knows its server");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Some(process)
    }

    /// A line of the log, if it is there.
    fn find(&self, is_it: impl Fn(&Value) -> bool) -> Option<Value> {
        let lines = self.lines.lock().expect("no panic");
        lines.iter().find(|line| is_it(line)).cloned()
    }

    /// Waits for a line of the log.
    async fn wait(&self, is_it: impl Fn(&Value) -> bool) -> Value {
        let until = Instant::now() + LONGEST;
        loop {
            if let Some(line) = self.find(&is_it) {
                return line;
            }
            assert!(Instant::now() < until, "the line is logged");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Numbers of the events that have a request's id, in their order, once `last` is there.
    async fn events(&self, id: &str, last: u64) -> Vec<u64> {
        self.wait(|line| line["request"] == id && line["event"] == last)
            .await;
        let lines = self.lines.lock().expect("no panic");
        let of_id = lines.iter().filter(|line| line["request"] == id);
        of_id.filter_map(|line| line["event"].as_u64()).collect()
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.expect("a process id"), signal).expect("it runs");
    }

    async fn ask(&self, id: &str, path: &str, tokens: u32) -> String {
        let mut stream = self.send(id, path, tokens).await;
        let mut text = String::new();
        // A connection that is reset ends here as well.
        let _ = stream.read_to_string(&mut text).await;
        text
    }

    async fn send(&self, id: &str, path: &str, tokens: u32) -> TcpStream {
        let mut stream = TcpStream::connect(self.callers).await.expect("it listens");
        let request = caller::raw_request(id, path, tokens);
        stream
            .write_all(request.as_bytes())
            .await
            .expect("it reads");
        stream
    }
}

#[gtest]
#[tokio::test]
async fn gateway_exits_if_its_address_is_in_use() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address");
    let process = Process::try_spawn("taken", Duration::ZERO, [address, free(), free()]).await;
    expect_that!(process.is_none(), eq(true));
}

#[gtest]
#[tokio::test]
async fn refused_request_logs_the_expected_wait_at_the_server() {
    let process = Process::spawn("refused", Duration::from_secs(2)).await;
    let _long = process.send("long", "any", 60_000).await;
    process
        .wait(|line| line["request"] == "long" && line["event"] == 1001)
        .await;
    let reply = process.ask("refused", "any", 2_000).await;
    expect_that!(reply, starts_with("HTTP/1.1 503"));
    let events = process.events("refused", 1003).await;
    expect_that!(events, elements_are![eq(&1019), eq(&1003)]);
    let line = process
        .wait(|line| line["request"] == "refused" && line["event"] == 1019)
        .await;
    expect_that!(line["server"].as_str(), some(eq("i-1")));
    expect_that!(
        line["wait_ms"].as_u64(),
        some(gt(line["allowed_ms"].as_u64().unwrap_or(0)))
    );
}

#[gtest]
#[tokio::test]
async fn late_first_event_logs_the_server_and_the_uncached_tokens() {
    let process = Process::spawn("late", Duration::from_millis(700)).await;
    process.ask("late", "any", 1_000).await;
    let events = process.events("late", 1014).await;
    expect_that!(events, elements_are![eq(&1001), eq(&1004), eq(&1014)]);
    let routed = process
        .wait(|line| line["request"] == "late" && line["event"] == 1001)
        .await;
    expect_that!(routed["server"].as_str(), some(eq("i-1")));
    expect_that!(routed["uncached"].as_u64(), some(eq(1_000)));
    expect_that!(routed["elapsed_ms"].as_u64(), some(lt(200)));
    let answered = process
        .wait(|line| line["request"] == "late" && line["event"] == 1004)
        .await;
    expect_that!(answered["elapsed_ms"].as_u64(), some(ge(700)));
}

#[gtest]
#[tokio::test]
async fn truncated_stream_logs_its_server() {
    let process = Process::spawn("broken", Duration::ZERO).await;
    let reply = process.ask("broken", "broken", 1_000).await;
    expect_that!(reply, not(contains_substring("\r\n0\r\n")));
    let events = process.events("broken", 2007).await;
    expect_that!(
        events,
        elements_are![eq(&1001), eq(&1004), eq(&1014), eq(&2007)]
    );
    let ended = process
        .wait(|line| line["request"] == "broken" && line["event"] == 1014)
        .await;
    expect_that!(
        (ended["end"].as_str(), ended["server"].as_str()),
        eq((Some("broken"), Some("i-1")))
    );
}

#[gtest]
#[tokio::test]
async fn settings_are_reloaded_on_sighup_and_on_file_changes() {
    let process = Process::spawn("reload", Duration::ZERO).await;
    process.signal(Signal::HUP);
    let line = process.wait(|line| line["event"] == 5004).await;
    expect_that!(line["needs_restart"].as_bool(), some(eq(false)));
    expect_that!(
        process.ask("after", "any", 10).await,
        starts_with("HTTP/1.1 200")
    );
    fs::write(&process.settings, "{").expect("a file");
    process.wait(|line| line["event"] == 5005).await;
    let moved = settings(&process.store, [free(), free(), free()]);
    fs::write(&process.settings, moved.to_string()).expect("a file");
    process
        .wait(|line| line["event"] == 5004 && line["needs_restart"] == true)
        .await;
    expect_that!(
        process.ask("later", "any", 10).await,
        starts_with("HTTP/1.1 200")
    );
}

#[gtest]
#[tokio::test]
async fn sigterm_completes_the_running_request_and_exits_with_success() {
    let mut process = Process::spawn("stop", Duration::from_millis(300)).await;
    let stream = process.send("running", "any", 10).await;
    process
        .wait(|line| line["request"] == "running" && line["event"] == 1001)
        .await;
    process.signal(Signal::TERM);
    process.wait(|line| line["event"] == 5002).await;
    let events = process.events("running", 1014).await;
    expect_that!(events.last(), some(eq(&1014)));
    drop(stream);
    let until = Instant::now() + LONGEST;
    while Instant::now() < until {
        if let Some(status) = process.child.try_wait().expect("its status") {
            expect_that!(status.success(), eq(true));
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    add_failure!("the process ends");
}
