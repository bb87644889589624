//! A run: gateways, servers, the store, callers, and the faults that are played.

mod step;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::audit::{Audit, audit};
use crate::backend::{Backend, RecordedRequest};
use crate::fault_log::{FaultLog, Scope};
use crate::forms::{ServerState, registration, server_key};
use crate::gateway::Gateway;
use crate::load::{self, Record};
use crate::operator::Operator;
use crate::plan::{self, SPAN};
use crate::proxy::Proxy;
use crate::store::Store;

/// Servers of each pool.
const SERVERS: usize = 4;

/// Time between looks at the readiness of the gateways.
const LOOK: Duration = Duration::from_millis(300);

/// Time within which gateways are ready after their start.
const START: Duration = Duration::from_secs(15);

/// Time after all were killed and started within which requests are served again.
const RECOVER: Duration = Duration::from_secs(5);

/// Part of the requests that are served after that, and for how long it is looked at.
const SERVED: f64 = 0.9;
const SETTLED: Duration = Duration::from_millis(1_500);

/// A server, the proxy before it and its pool.
struct Host {
    backend: Backend,
    proxy: Proxy,
    pool: &'static str,
}

/// A run and what is seen in it.
pub(crate) struct Scene {
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) operator: Operator,
    pub(crate) records: Mutex<Vec<Record>>,
    pub(crate) arrivals: Arc<std::sync::Mutex<Vec<RecordedRequest>>>,
    pub(crate) fault_log: FaultLog,
    store: Store,
    store_proxies: Vec<Proxy>,
    hosts: Vec<Host>,
    /// When servers were told to be leaving.
    left: Mutex<HashMap<String, Instant>>,
    ready: Vec<AtomicU64>,
    is_over: AtomicBool,
    named: AtomicU64,
}

/// What a run gave.
pub(crate) struct Outcome {
    pub(crate) audit: Audit,
    pub(crate) requests: usize,
    pub(crate) served: usize,
    pub(crate) faults: BTreeMap<String, usize>,
    pub(crate) logs: PathBuf,
}

/// Plays a seed with a number of gateways and callers.
pub(crate) async fn play(seed: u64, gateways: usize, callers: usize) -> Outcome {
    let directory = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let scene = Arc::new(Scene::open(&directory, gateways).await);
    let until = Instant::now() + START;
    while !(0..gateways).all(|gateway| scene.is_ready(gateway)) {
        assert!(
            Instant::now() < until,
            "the gateways of seed {seed} become ready"
        );
        scene.look().await;
    }
    let steps = plan::steps(seed, gateways);
    let mut faults = BTreeMap::new();
    for step in &steps {
        *faults.entry(step.fault.word()).or_default() += 1;
    }
    let mut tasks: Vec<_> = (0..callers as u64)
        .map(|caller| tokio::spawn(load::call(Arc::clone(&scene), seed << 16 | caller)))
        .collect();
    let looking = Arc::clone(&scene);
    tasks.push(tokio::spawn(async move {
        while !looking.is_over() {
            looking.look().await;
            sleep(LOOK).await;
        }
    }));
    let begun = Instant::now();
    let played: Vec<_> = steps
        .into_iter()
        .map(|step| tokio::spawn(Arc::clone(&scene).play_step(step, begun)))
        .collect();
    for step in played {
        step.await.expect("a fault is played");
    }
    let served = scene.kill_all(begun).await;
    scene.is_over.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await.expect("a caller ends");
    }
    let mut audit = audit(&scene);
    audit.checked.insert("served after all were killed", 1);
    if served < SERVED {
        audit
            .findings
            .push(format!("served after all were killed: {served:.2}"));
    }
    let records = scene.records.lock();
    Outcome {
        audit,
        requests: records.len(),
        served: records.iter().filter(|record| record.is_served()).count(),
        faults,
        logs: directory,
    }
}

impl Scene {
    async fn open(directory: &std::path::Path, count: usize) -> Self {
        let store = Store::spawn().await;
        let arrivals = Arc::default();
        let mut hosts = Vec::new();
        for index in 0..2 * SERVERS {
            let pool = if index < SERVERS { "desk" } else { "llm" };
            let backend = Backend::spawn(&format!("s-{index}"), Arc::clone(&arrivals)).await;
            let proxy = Proxy::spawn(backend.address).await;
            let value = registration(pool, proxy.address, ServerState::Ready);
            store.put(&server_key(&backend.name()), &value);
            hosts.push(Host {
                backend,
                proxy,
                pool,
            });
        }
        let mut store_proxies = Vec::new();
        let mut gateways = Vec::new();
        let operator = Operator::new(store.clone());
        for index in 0..count {
            let proxy = Proxy::spawn(store.address).await;
            let gateway = Gateway::new(directory, index, proxy.address);
            gateway.start();
            store_proxies.push(proxy);
            gateways.push(gateway);
        }
        Self {
            ready: gateways.iter().map(|_| AtomicU64::new(0)).collect(),
            gateways,
            operator,
            records: Mutex::default(),
            arrivals,
            fault_log: FaultLog::default(),
            store,
            store_proxies,
            hosts,
            left: Mutex::default(),
            is_over: AtomicBool::new(false),
            named: AtomicU64::new(0),
        }
    }

    pub(crate) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Whether the store serves all gateways.
    pub(crate) fn is_serving(&self) -> bool {
        let now = Instant::now();
        self.fault_log.is_undisturbed(Scope::Store, now, now)
    }

    /// The server at an address, as a place of troubles.
    pub(crate) fn host(&self, address: SocketAddr) -> Option<Scope> {
        let mut hosts = self.hosts.iter();
        let index = hosts.position(|host| host.backend.address == address)?;
        Some(Scope::ServerConnection(index))
    }

    /// When a server was told to be leaving.
    pub(crate) fn left(&self, server: &str) -> Option<Instant> {
        self.left.lock().get(server).copied()
    }

    /// A gateway in rotation, or any if none is.
    pub(crate) fn rotation(&self, chance: usize) -> usize {
        let ready: Vec<usize> = (0..self.gateways.len())
            .filter(|gateway| self.is_ready(*gateway))
            .collect();
        match ready.len() {
            0 => chance % self.gateways.len(),
            count => ready[chance % count],
        }
    }

    /// Two questions in a row without a good answer take a gateway out.
    fn is_ready(&self, gateway: usize) -> bool {
        self.ready[gateway].load(Ordering::Relaxed) > 0
    }

    async fn look(&self) {
        let asked = self
            .gateways
            .iter()
            .map(|gateway| timeout(LOOK, is_ready(gateway)));
        let answers = futures::future::join_all(asked).await;
        for (ready, answer) in self.ready.iter().zip(answers) {
            let before = ready.load(Ordering::Relaxed);
            let now = if answer.unwrap_or(false) {
                2
            } else {
                before.saturating_sub(1)
            };
            ready.store(now, Ordering::Relaxed);
        }
    }

    /// Kills every gateway at once, starts them again, and tells the part of the requests
    /// that is served some seconds later.
    async fn kill_all(&self, begun: Instant) -> f64 {
        sleep((begun + SPAN).saturating_duration_since(Instant::now())).await;
        let troubles: Vec<usize> = (0..self.gateways.len())
            .map(|gateway| self.fault_log.begin(Scope::Gateway(gateway)))
            .collect();
        for gateway in &self.gateways {
            gateway.signal(Signal::KILL);
        }
        for (gateway, trouble) in self.gateways.iter().zip(troubles) {
            gateway.wait_for_exit(Duration::from_secs(2)).await;
            gateway.start();
            self.fault_log.end(trouble);
        }
        sleep(RECOVER).await;
        let from = Instant::now();
        sleep(SETTLED).await;
        let records = self.records.lock();
        let asked = records
            .iter()
            .filter(|record| record.sent >= from && !matches!(record.kind, "keyed" | "extra"));
        let (mut count, mut served) = (0.0_f64, 0.0);
        for record in asked {
            count += 1.0;
            served += f64::from(u8::from(record.is_served()));
        }
        served / count.max(1.0)
    }
}

async fn is_ready(gateway: &Gateway) -> bool {
    let Ok(mut stream) = TcpStream::connect(gateway.health).await else {
        return false;
    };
    let request = b"GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    if stream.write_all(request).await.is_err() {
        return false;
    }
    let mut text = String::new();
    // What came before a reset counts.
    let _ = stream.read_to_string(&mut text).await;
    text.starts_with("HTTP/1.1 200")
}
