//! Time that the fleet adds over a direct call, at low load.

use hyper::Uri;
use hyper::header::AUTHORIZATION;

use super::call::{self, CallOutcome};
use super::op::{self, OperationKind};
use super::setup::Fleet;
use super::stats::quantile;

/// Pairs of a direct call and one through the fleet.
const PAIRS: usize = 60;
/// Pairs that come first and do not count: connections are opened by them.
const WARM: usize = 10;
/// Length of the answers, in tokens.
const TOKENS: u32 = 2;

/// Added time, in milliseconds, at the median and the 95th percentile.
pub(crate) async fn measure(fleet: &Fleet) -> [f64; 2] {
    let mut added = Vec::new();
    for pair in 0..WARM + PAIRS {
        let engine = fleet.engines[pair % fleet.engines.len()].address();
        let entry = fleet.callers[pair % fleet.callers.len()];
        let direct = took(fleet, engine, &format!("direct/{pair}")).await;
        let routed = took(fleet, entry, &format!("routed/{pair}")).await;
        if let (Some(direct), Some(routed)) = (direct, routed)
            && pair >= WARM
        {
            added.push(routed - direct);
        }
    }
    [quantile(&mut added, 0.5), quantile(&mut added, 0.95)]
}

/// Time of a call, in milliseconds; `None` when it had no whole answer.
async fn took(fleet: &Fleet, address: std::net::SocketAddr, op: &str) -> Option<f64> {
    let body = op::body(fleet.plan.model, 0, op, TOKENS, true);
    let mut request = op::post("/v1/chat/completions", &body);
    let target = format!("http://{address}{}", request.uri());
    *request.uri_mut() = Uri::try_from(target).ok()?;
    let key = format!("Bearer {}", fleet.plan.customers[0].key);
    request
        .headers_mut()
        .insert(AUTHORIZATION, key.parse().ok()?);
    let work = OperationKind::Chat {
        tokens: TOKENS,
        streamed: true,
    };
    let call = call::call(&fleet.client, request, op.to_owned(), work).await;
    (call.end == CallOutcome::Complete).then_some(call.took.as_secs_f64() * 1000.0)
}
