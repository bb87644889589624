//! Measures the latency that the fleet adds to a direct call at low load.

use std::net::SocketAddr;

use hyper::Uri;
use hyper::header::AUTHORIZATION;

use super::call::{self, CallOutcome};
use super::operation::{self, OperationKind};
use super::setup::Fleet;
use super::stats::quantile;

/// Number of measured pairs of a direct and a routed call.
const PAIRS: usize = 60;
/// Number of pairs before the measurement, which open the connections.
const WARMUP_PAIRS: usize = 10;
/// Length of the responses, in tokens.
const TOKENS: u32 = 2;

/// Returns the median and the 95th percentile of the added latency, in milliseconds.
pub(crate) async fn measure(fleet: &Fleet) -> [f64; 2] {
    let mut added = Vec::new();
    for pair in 0..WARMUP_PAIRS + PAIRS {
        let engine = fleet.engines[pair % fleet.engines.len()].address();
        let entry = fleet.caller_addresses[pair % fleet.caller_addresses.len()];
        let direct = latency_ms(fleet, engine, &format!("direct/{pair}")).await;
        let routed = latency_ms(fleet, entry, &format!("routed/{pair}")).await;
        if let (Some(direct), Some(routed)) = (direct, routed)
            && pair >= WARMUP_PAIRS
        {
            added.push(routed - direct);
        }
    }
    [quantile(&mut added, 0.5), quantile(&mut added, 0.95)]
}

/// Measures the latency of a call; returns `None` without a complete response.
async fn latency_ms(fleet: &Fleet, address: SocketAddr, op: &str) -> Option<f64> {
    let body = operation::chat_body(fleet.plan.model_pool, 0, op, TOKENS, true);
    let mut request = operation::post_json("/v1/chat/completions", &body);
    let uri = format!("http://{address}{}", request.uri());
    *request.uri_mut() = Uri::try_from(uri).ok()?;
    let key = format!("Bearer {}", fleet.plan.customers[0].key);
    request
        .headers_mut()
        .insert(AUTHORIZATION, key.parse().ok()?);
    let kind = OperationKind::Chat {
        tokens: TOKENS,
        streamed: true,
    };
    let call = call::send(&fleet.client, request, op.to_owned(), kind).await;
    (call.outcome == CallOutcome::Complete).then_some(call.duration.as_secs_f64() * 1000.0)
}
