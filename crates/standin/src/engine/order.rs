//! Orders to an engine, optionally guarded by fencing numbers.

use hyper::StatusCode;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::json;

use crate::http::{self, Response};

/// What to change.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Act {
    Load,
    Unload,
    Role,
}

/// An order as posted.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Order {
    #[serde(rename = "order")]
    act: Act,
    /// Model or role named by the order.
    name: String,
    #[serde(default)]
    fence: u64,
}

/// What orders have made of an engine.
#[derive(Debug)]
pub(crate) struct Orders {
    checked: bool,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    fence: u64,
    models: Vec<String>,
    role: String,
    obeyed: Vec<u64>,
}

impl Orders {
    pub(crate) fn new(models: Vec<String>, checked: bool) -> Self {
        let state = State {
            models,
            ..State::default()
        };
        Self {
            checked,
            state: Mutex::new(state),
        }
    }

    pub(crate) fn models(&self) -> Vec<String> {
        self.state.lock().models.clone()
    }

    /// Obeys an order unless its fencing number is older than one obeyed.
    pub(crate) fn obey(&self, order: Order) -> Response {
        let mut state = self.state.lock();
        if self.checked && order.fence < state.fence {
            return http::error(StatusCode::CONFLICT, "fencing number is old");
        }
        state.fence = state.fence.max(order.fence);
        state.obeyed.push(order.fence);
        match order.act {
            Act::Load if state.models.contains(&order.name) => {}
            Act::Load => state.models.push(order.name),
            Act::Unload => state.models.retain(|model| *model != order.name),
            Act::Role => state.role = order.name,
        }
        let told = json!({"models": state.models, "role": state.role, "obeyed": state.obeyed});
        http::json(StatusCode::OK, &told)
    }
}
