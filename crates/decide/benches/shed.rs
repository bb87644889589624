//! Cost of one decision on a prompt by number of servers: sent where its part is kept, sent
//! elsewhere because that is too late, refused.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use mulberryyoke_decide::engine::{Candidate, Engine, Load, Prompt};
use mulberryyoke_decide::share::Usage;
use mulberryyoke_decide::shed::{self, Objective};
use mulberryyoke_model::ServerId;

/// Servers of the fleets of today.
const SERVERS: [u32; 3] = [9, 55, 180];

const AIM: Objective = Objective {
    first_token_ms: 1_000.0,
    max_pause_ms: 600.0,
};

/// What happens to the prompt.
#[derive(Clone, Copy, Debug)]
enum End {
    Kept,
    Elsewhere,
    Refused,
}

/// Servers of which the first keeps the prompt's part; `unread` tokens wait there and
/// `others` at each other server.
fn engines(servers: u32, prompt: &Prompt, unread: u32, others: u32) -> Vec<Engine> {
    let mut engines = vec![Engine::new(64, 600_000); servers as usize];
    for engine in &mut engines {
        engine.others = Load {
            prefill_tokens: others,
            queued: 1,
            running: 20,
        };
    }
    engines[0].others.prefill_tokens = unread;
    engines[0].cache.insert(&prompt.shared);
    engines
}

fn decisions(criterion: &mut Criterion) {
    let prompt = Prompt::from_parts("m", [(1, 512), (2, 4_870), (3, 6_610)], 380);
    let standing = Usage {
        of_portion: 0.5,
        of_given: 0.5,
    };
    for (end, unread, others) in [
        (End::Kept, 3_000, 3_000),
        (End::Elsewhere, 60_000, 3_000),
        (End::Refused, 90_000, 90_000),
    ] {
        let mut group = criterion.benchmark_group(format!("shed {end:?}"));
        for servers in SERVERS {
            let engines = engines(servers, &prompt, unread, others);
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
                        AIM,
                        Some(standing),
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
