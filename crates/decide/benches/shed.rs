//! Admission of one prompt, by number of servers: sent to the server with its part cached, sent to
//! another server, or rejected.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use mulberryyoke_decide::engine::{Candidate, Engine, Load, Prompt};
use mulberryyoke_decide::share::Usage;
use mulberryyoke_decide::shed::{self, Objective};
use mulberryyoke_model::ServerId;

const SERVERS: [u32; 3] = [9, 55, 180];

const OBJECTIVE: Objective = Objective {
    first_token_ms: 1_000.0,
    max_pause_ms: 600.0,
};

#[derive(Clone, Copy, Debug)]
enum Outcome {
    Cached,
    Recomputed,
    Rejected,
}

/// Servers of which the first has the prompt's part cached, with a prefill backlog of `first`
/// tokens there and `others` on each other server.
fn engines(servers: u32, prompt: &Prompt, first: u32, others: u32) -> Vec<Engine> {
    let mut engines = vec![Engine::new(64, 600_000); servers as usize];
    for engine in &mut engines {
        engine.others = Load {
            prefill_tokens: others,
            queued: 1,
            running: 20,
        };
    }
    engines[0].others.prefill_tokens = first;
    engines[0].cache.insert(&prompt.shared);
    engines
}

fn decisions(criterion: &mut Criterion) {
    let prompt = Prompt::from_parts("m", [(1, 512), (2, 4_870), (3, 6_610)], 380);
    let usage = Usage {
        of_portion: 0.5,
        of_given: 0.5,
    };
    for (outcome, first, others) in [
        (Outcome::Cached, 3_000, 3_000),
        (Outcome::Recomputed, 60_000, 3_000),
        (Outcome::Rejected, 90_000, 90_000),
    ] {
        let mut group = criterion.benchmark_group(format!("shed {outcome:?}"));
        for servers in SERVERS {
            let engines = engines(servers, &prompt, first, others);
            let candidates = (0..).zip(&engines).map(|(server, engine)| Candidate {
                server: ServerId(server),
                engine,
                penalty_ms: 0.0,
            });
            let id = BenchmarkId::from_parameter(servers);
            group.bench_function(id, |bencher| {
                bencher.iter(|| {
                    shed::admit(
                        black_box(&prompt),
                        candidates.clone(),
                        OBJECTIVE,
                        Some(usage),
                        2,
                    )
                });
            });
        }
        group.finish();
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
