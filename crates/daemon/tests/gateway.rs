//! Tests of the gateway process with stand-ins of the platform: signals, settings
//! and the log events of each request.

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

/// Maximum time to wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of start attempts. Another test or an outgoing connection can take a free
/// port before the gateway binds it.
const MAX_START_ATTEMPTS: u32 = 10;

/// A running gateway and its log.
struct Process {
    child: Child,
    settings_path: PathBuf,
    callers: SocketAddr,
    log: Arc<Mutex<Vec<Value>>>,
    store: Store,
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings_path);
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("listener has an address")
}

fn settings(store: &Store, addresses: [SocketAddr; 3]) -> Value {
    json!({
        "name": "edge-1", "zone": "a", "callers": addresses[0], "health": addresses[1],
        "control": addresses[2], "store": store.address, "keys_fresh_ms": 5_000,
    })
}

impl Process {
    /// Starts a gateway with one server that delays the first event of each response.
    async fn spawn(name: &str, first_event_delay: Duration) -> Self {
        for _ in 0..MAX_START_ATTEMPTS {
            let addresses = [free_address(), free_address(), free_address()];
            if let Some(process) = Self::try_spawn(name, first_event_delay, addresses).await {
                return process;
            }
        }
        panic!("gateway did not start in {MAX_START_ATTEMPTS} attempts");
    }

    /// Starts a gateway on these addresses; `None` if it exits before it has registered its
    /// server.
    async fn try_spawn(
        name: &str,
        first_event_delay: Duration,
        addresses: [SocketAddr; 3],
    ) -> Option<Self> {
        let store = Store::spawn().await;
        let server = server::spawn(first_event_delay).await;
        store.configure(server);
        let path =
            std::env::temp_dir().join(format!("mulberryyoke-{name}-{}.json", std::process::id()));
        fs::write(&path, settings(&store, addresses).to_string())
            .expect("settings file is writable");
        let mut child = Command::new(env!("CARGO_BIN_EXE_mulberryyoked"))
            .args(["gateway", "--settings"])
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("gateway process starts");
        let output = child.stdout.take().expect("standard output is piped");
        let log = Arc::new(Mutex::new(Vec::new()));
        let shared_log = Arc::clone(&log);
        thread::spawn(move || {
            for line in BufReader::new(output)
                .lines()
                .map_while(std::result::Result::ok)
            {
                let line = serde_json::from_str(&line).expect("log line is JSON");
                shared_log.lock().expect("lock is not poisoned").push(line);
            }
        });
        let mut process = Self {
            child,
            settings_path: path,
            callers: addresses[0],
            log,
            store,
        };
        let deadline = Instant::now() + TIMEOUT;
        while process.find(|line| line["event"] == 1016).is_none() {
            if process
                .child
                .try_wait()
                .expect("exit status is available")
                .is_some()
            {
                return None;
            }
            assert!(
                Instant::now() < deadline,
                "gateway did not register its server in time"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Some(process)
    }

    /// First log line that matches.
    fn find(&self, predicate: impl Fn(&Value) -> bool) -> Option<Value> {
        let log = self.log.lock().expect("lock is not poisoned");
        log.iter().find(|line| predicate(line)).cloned()
    }

    /// Waits for a log line that matches.
    async fn wait(&self, predicate: impl Fn(&Value) -> bool) -> Value {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            if let Some(line) = self.find(&predicate) {
                return line;
            }
            assert!(
                Instant::now() < deadline,
                "expected log line did not appear in time"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Event numbers of a request in log order, once event `last` is logged.
    async fn event_numbers(&self, id: &str, last: u64) -> Vec<u64> {
        self.wait(|line| line["request"] == id && line["event"] == last)
            .await;
        let log = self.log.lock().expect("lock is not poisoned");
        let of_request = log.iter().filter(|line| line["request"] == id);
        of_request
            .filter_map(|line| line["event"].as_u64())
            .collect()
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.expect("process ID is valid"), signal).expect("process is running");
    }

    /// Sends a request and reads the response until the connection closes.
    async fn send(&self, id: &str, path: &str, tokens: u32) -> String {
        let mut stream = self.open(id, path, tokens).await;
        let mut response = String::new();
        // A reset connection also ends the response.
        let _ = stream.read_to_string(&mut response).await;
        response
    }

    /// Sends a request and returns its connection.
    async fn open(&self, id: &str, path: &str, tokens: u32) -> TcpStream {
        let mut stream = TcpStream::connect(self.callers)
            .await
            .expect("gateway accepts connections");
        let request = caller::raw_request(id, path, tokens);
        stream
            .write_all(request.as_bytes())
            .await
            .expect("gateway reads the request");
        stream
    }
}

#[gtest]
#[tokio::test]
async fn gateway_exits_if_its_address_is_in_use() {
    let occupied = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = occupied.local_addr().expect("listener has an address");
    let process = Process::try_spawn(
        "taken",
        Duration::ZERO,
        [address, free_address(), free_address()],
    )
    .await;
    expect_that!(process.is_none(), eq(true));
}

#[gtest]
#[tokio::test]
async fn refused_request_logs_the_expected_wait_at_the_server() {
    let process = Process::spawn("refused", Duration::from_secs(2)).await;
    let _running = process.open("long", "any", 60_000).await;
    process
        .wait(|line| line["request"] == "long" && line["event"] == 1001)
        .await;
    let response = process.send("refused", "any", 2_000).await;
    expect_that!(response, starts_with("HTTP/1.1 503"));
    let events = process.event_numbers("refused", 1003).await;
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
    process.send("late", "any", 1_000).await;
    let events = process.event_numbers("late", 1014).await;
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
    let response = process.send("broken", "broken", 1_000).await;
    expect_that!(response, not(contains_substring("\r\n0\r\n")));
    let events = process.event_numbers("broken", 1050).await;
    expect_that!(
        events,
        elements_are![eq(&1001), eq(&1004), eq(&1014), eq(&2007), eq(&1050)]
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
        process.send("after", "any", 10).await,
        starts_with("HTTP/1.1 200")
    );
    fs::write(&process.settings_path, "{").expect("settings file is writable");
    process.wait(|line| line["event"] == 5005).await;
    let moved = settings(
        &process.store,
        [free_address(), free_address(), free_address()],
    );
    fs::write(&process.settings_path, moved.to_string()).expect("settings file is writable");
    process
        .wait(|line| line["event"] == 5004 && line["needs_restart"] == true)
        .await;
    expect_that!(
        process.send("later", "any", 10).await,
        starts_with("HTTP/1.1 200")
    );
}

#[gtest]
#[tokio::test]
async fn sigterm_completes_the_running_request_and_exits_with_success() {
    let mut process = Process::spawn("stop", Duration::from_millis(300)).await;
    let stream = process.open("running", "any", 10).await;
    process
        .wait(|line| line["request"] == "running" && line["event"] == 1001)
        .await;
    process.signal(Signal::TERM);
    process.wait(|line| line["event"] == 5002).await;
    let events = process.event_numbers("running", 1014).await;
    expect_that!(events.last(), some(eq(&1014)));
    drop(stream);
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        if let Some(status) = process.child.try_wait().expect("exit status is available") {
            expect_that!(status.success(), eq(true));
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    add_failure!("process did not exit in time");
}
