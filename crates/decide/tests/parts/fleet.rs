//! A pool of servers and several gateways, simulated in steps.

use std::collections::HashSet;

use mulberryyoke_decide::engine::PartId;
use mulberryyoke_decide::quarantine::Verdict;
use mulberryyoke_decide::quarantine::parts::{Failure, Parts, SETTLING_MS, Subject};
use mulberryyoke_model::{ServerId, VersionId};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP_MS: u64 = 20;

/// Delay after the fifth crash from which requests with a bad part are counted, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Interval between looks at what is convicted, in milliseconds.
const INSPECTION_MS: u64 = 100;

/// What a replay is played with.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) gateways: usize,
    /// Bad parts: place in the prompt and the time from which requests with it come, in ms.
    pub(crate) bad: Vec<(usize, u64)>,
    /// Requests with each bad part per second.
    pub(crate) bad_per_s: f64,
    /// Time in which none come, in milliseconds.
    pub(crate) pause: std::ops::Range<u64>,
    /// Versions of the servers in turn, and which crash.
    pub(crate) versions: Vec<bool>,
    /// Times at which a number of servers is killed.
    pub(crate) kills: Vec<(u64, usize)>,
    pub(crate) duration_ms: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            gateways: 3,
            bad: vec![(1, 2_000)],
            bad_per_s: 2.0,
            pause: 0..0,
            versions: vec![true],
            kills: Vec::new(),
            duration_ms: 30_000,
        }
    }
}

/// What a replay has led to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Result {
    /// Servers that a bad part crashed.
    pub(crate) crashes: usize,
    /// Most requests with one bad part that reached servers later than 3 s after the fifth crash.
    pub(crate) late: usize,
    /// Sound parts that many requests share and that were convicted somewhere at some time.
    pub(crate) convicted: usize,
    /// Sound parts of one session for which that is so.
    pub(crate) convicted_sessions: usize,
    /// Most requests with a bad part that immune servers ran.
    pub(crate) immune_runs: usize,
    /// Sound requests that came later than 6 s after the fifth crash, or the last if fewer.
    pub(crate) sound: usize,
    /// Those of them that were withheld.
    pub(crate) withheld: usize,
    /// Sound requests that were withheld before.
    pub(crate) withheld_before: usize,
}

#[derive(Clone, Debug)]
struct Run {
    gateway: usize,
    parts: Vec<u64>,
    ids: Vec<PartId>,
    begins_at: u64,
    ends_at: u64,
}

#[derive(Debug)]
struct Server {
    id: u32,
    version: usize,
    /// While it restarts, when it is back.
    back_at: u64,
    runs: Vec<Run>,
}

/// The simulated fleet.
pub(crate) struct Fleet {
    scenario: Scenario,
    rng: ChaCha8Rng,
    gateways: Vec<Parts>,
    next_beats: Vec<u64>,
    servers: Vec<Server>,
    next_server: u32,
    next_session: u64,
    retries: Vec<(u64, Vec<u64>)>,
    now: u64,
    crash_times: Vec<Vec<u64>>,
    late: Vec<usize>,
    /// Sound parts that many requests share.
    shared: Vec<PartId>,
    convicted: HashSet<Subject>,
    convicted_sessions: HashSet<Subject>,
    result: Result,
}

const fn bad_id(index: usize) -> u64 {
    1_000_000 + index as u64
}

fn part(id: u64) -> PartId {
    PartId::new("model", id)
}

fn ids(parts: &[u64]) -> Vec<PartId> {
    parts.iter().map(|id| part(*id)).collect()
}

fn version_id(index: usize) -> VersionId {
    VersionId(1 + u32::try_from(index).expect("few versions"))
}

impl Fleet {
    pub(crate) fn new(scenario: Scenario, seed: u64) -> Self {
        let versions = scenario.versions.len();
        let servers = (0..12).map(|index| Server {
            id: index,
            version: index as usize % versions,
            back_at: 0,
            runs: Vec::new(),
        });
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            gateways: vec![Parts::default(); scenario.gateways],
            next_beats: vec![0; scenario.gateways],
            servers: servers.collect(),
            next_server: 12,
            next_session: 10_000,
            retries: Vec::new(),
            now: 0,
            crash_times: vec![Vec::new(); scenario.bad.len()],
            late: vec![0; scenario.bad.len()],
            shared: (1..40).map(part).collect(),
            convicted: HashSet::new(),
            convicted_sessions: HashSet::new(),
            result: Result::default(),
            scenario,
        }
    }

    pub(crate) fn run(mut self) -> Result {
        while self.now < self.scenario.duration_ms {
            self.now += STEP_MS;
            self.arrive();
            self.kill();
            self.advance();
            self.exchange();
            self.inspect();
        }
        self.result.late = self.late.iter().copied().max().unwrap_or(0);
        self.result.convicted = self.convicted.len();
        self.result.convicted_sessions = self.convicted_sessions.len();
        self.result
    }

    fn happens(&mut self, per_s: f64) -> bool {
        let step_s = 0.02;
        self.rng.random_bool((per_s * step_s).min(1.0))
    }

    /// A prompt of the tree: one first part for all, thirty second ones and a third one that a
    /// session keeps.
    fn prompt(&mut self) -> Vec<u64> {
        let second = 2 + self.rng.random_range(0..30);
        if self.rng.random_bool(0.3) {
            self.next_session += 1;
        }
        let age = self.rng.random_range(0..20);
        vec![1, second, self.next_session.saturating_sub(age)]
    }

    fn arrive(&mut self) {
        let due = self.retries.extract_if(.., |(at, _)| *at <= self.now);
        let due: Vec<(u64, Vec<u64>)> = due.collect();
        for (_, parts) in due {
            self.send(parts);
        }
        for _ in 0..2 {
            if self.happens(40.0) {
                let parts = self.prompt();
                self.result.sound += usize::from(self.is_settled());
                self.send(parts);
            }
        }
        for index in 0..self.scenario.bad.len() {
            let (place, from) = self.scenario.bad[index];
            let is_due = self.now >= from && !self.scenario.pause.contains(&self.now);
            if is_due && self.happens(self.scenario.bad_per_s) {
                let mut parts = self.prompt();
                parts[place] = bad_id(index);
                self.send(parts);
            }
        }
    }

    /// Whether sound requests must be served again.
    fn is_settled(&self) -> bool {
        let times = self.crash_times.iter().filter_map(|times| {
            let last = times.get(4).or_else(|| times.last())?;
            Some(last + 2 * CONTACT_MS)
        });
        times.max().is_some_and(|since| self.now > since)
    }

    fn bad_of(&self, parts: &[u64]) -> Option<usize> {
        (0..self.scenario.bad.len()).find(|index| parts.contains(&bad_id(*index)))
    }

    /// Sends a request to a server that its parts permit, if there is one.
    fn send(&mut self, parts: Vec<u64>) {
        let gateway = self.rng.random_range(0..self.scenario.gateways);
        let verdicts = self.gateways[gateway].verdicts(&ids(&parts), self.now);
        let mut barred = HashSet::new();
        for (subject, verdict) in &verdicts {
            if matches!(verdict, Verdict::Convicted { .. }) {
                barred.insert(subject.version);
            }
        }
        for (subject, verdict) in verdicts {
            let is_due = matches!(verdict, Verdict::Suspect { .. });
            if is_due && !barred.contains(&subject.version) && !self.try_part(gateway, subject) {
                barred.insert(subject.version);
            }
        }
        let usable = |server: &&usize| {
            let server = &self.servers[**server];
            server.back_at <= self.now && !barred.contains(&version_id(server.version))
        };
        let open: Vec<usize> = (0..self.servers.len()).collect();
        let open: Vec<usize> = open.iter().filter(usable).copied().collect();
        let bad = self.bad_of(&parts);
        let Some(&chosen) = open.choose(&mut self.rng) else {
            if bad.is_none() && !barred.is_empty() {
                if self.is_settled() {
                    self.result.withheld += 1;
                } else {
                    self.result.withheld_before += 1;
                }
            }
            return;
        };
        if let Some(bad) = bad {
            let is_late = self.crash_times[bad]
                .get(4)
                .is_some_and(|fifth| self.now > fifth + CONTACT_MS);
            let is_crashing = self.scenario.versions[self.servers[chosen].version];
            self.late[bad] += usize::from(is_late && is_crashing);
            self.result.immune_runs += usize::from(!is_crashing);
        }
        let begins_at = self.now + self.rng.random_range(30..600);
        let ends_at = begins_at + self.rng.random_range(300..5_000);
        self.servers[chosen].runs.push(Run {
            gateway,
            ids: ids(&parts),
            parts,
            begins_at,
            ends_at,
        });
    }

    /// Asks the first gateway for a trial, as any one may decide about a part.
    fn try_part(&mut self, gateway: usize, subject: Subject) -> bool {
        let report = self.gateways[gateway].report(subject, self.now);
        self.gateways[0].merge(&report, self.now);
        let is_admitted = self.gateways[0].admit(subject, self.now);
        let answer = self.gateways[0].report(subject, self.now);
        self.gateways[gateway].merge(&answer, self.now);
        is_admitted
    }

    fn kill(&mut self) {
        let kills = self.scenario.kills.clone();
        for (at, count) in kills {
            if (self.now..self.now + STEP_MS).contains(&at) {
                for index in 0..count {
                    self.crash(index);
                }
            }
        }
    }

    /// Crashes a server; its gateways see that within some milliseconds.
    fn crash(&mut self, index: usize) {
        if self.servers[index].back_at > self.now {
            return;
        }
        let runs = std::mem::take(&mut self.servers[index].runs);
        let id = ServerId(self.servers[index].id);
        let version = version_id(self.servers[index].version);
        for run in runs {
            let failure = Failure {
                parts: ids(&run.parts).into_iter().collect(),
                at: self.now + self.rng.random_range(0..10),
                began_at: (run.begins_at <= self.now).then_some(run.begins_at),
                is_silence: false,
            };
            self.gateways[run.gateway].record_failure(id, failure);
            let retry_at = self.now + self.rng.random_range(20..400);
            if self.bad_of(&run.parts).is_none() {
                self.retries.push((retry_at, run.parts));
            }
        }
        for gateway in &mut self.gateways {
            gateway.record_crash((id, version), self.now, self.now + 10);
        }
        let restart_ms = self.rng.random_range(2_000..5_000);
        self.next_server += 1;
        let server = &mut self.servers[index];
        server.back_at = self.now + restart_ms;
        server.id = self.next_server;
    }

    fn advance(&mut self) {
        for index in 0..self.servers.len() {
            let version = self.servers[index].version;
            let now = self.now;
            let culprit = self.servers[index].runs.iter().find_map(|run| {
                let bad = self.bad_of(&run.parts)?;
                let has_begun = run.begins_at <= now && self.scenario.versions[version];
                has_begun.then_some(bad)
            });
            if let Some(bad) = culprit {
                self.crash_times[bad].push(now);
                self.result.crashes += 1;
                self.crash(index);
                continue;
            }
            let runs = &mut self.servers[index].runs;
            for run in runs.iter() {
                let has_settled = now >= run.begins_at + SETTLING_MS;
                let gateway = &mut self.gateways[run.gateway];
                if !gateway.is_empty() && (has_settled || run.ends_at <= now) {
                    gateway.record_run(&run.ids, version_id(version), now, now);
                }
            }
            runs.retain(|run| run.ends_at > now);
        }
    }

    /// Each gateway tells all others what has changed, several times a second.
    fn exchange(&mut self) {
        for index in 0..self.gateways.len() {
            if self.next_beats[index] > self.now {
                continue;
            }
            self.next_beats[index] = self.now + self.rng.random_range(300..1_000);
            let updates = self.gateways[index].updates(self.now);
            for (other, gateway) in self.gateways.iter_mut().enumerate() {
                if other != index && !self.rng.random_bool(0.1) {
                    for report in &updates {
                        gateway.merge(report, self.now);
                    }
                }
            }
        }
    }

    /// Notes sound parts that are held anywhere.
    fn inspect(&mut self) {
        if !self.now.is_multiple_of(INSPECTION_MS) {
            return;
        }
        let sessions = self.next_session.saturating_sub(60)..=self.next_session;
        let sessions: Vec<PartId> = sessions.map(part).collect();
        for gateway in &self.gateways {
            let verdicts = gateway.verdicts(&self.shared, self.now);
            self.convicted
                .extend(verdicts.into_iter().map(|(subject, _)| subject));
            let verdicts = gateway.verdicts(&sessions, self.now);
            self.convicted_sessions
                .extend(verdicts.into_iter().map(|(subject, _)| subject));
        }
    }
}
