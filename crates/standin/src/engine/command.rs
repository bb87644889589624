//! Commands that change the configuration of an engine, optionally protected by fencing tokens.

use hyper::StatusCode;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::json;

use crate::http::{self, Response};

/// Change to make.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Action {
    Load,
    Unload,
    Role,
}

/// Body of a command.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Command {
    #[serde(rename = "order")]
    action: Action,
    /// Name of the model or role.
    name: String,
    #[serde(default, rename = "fence")]
    fencing_token: u64,
}

/// Configuration of an engine.
#[derive(Debug)]
pub(crate) struct Config {
    /// Whether commands with a stale fencing token are rejected.
    fencing: bool,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Highest fencing token applied.
    fencing_token: u64,
    models: Vec<String>,
    role: String,
    /// Fencing tokens of the commands applied.
    applied: Vec<u64>,
}

impl Config {
    pub(crate) fn new(models: Vec<String>, fencing: bool) -> Self {
        let state = State {
            models,
            ..State::default()
        };
        Self {
            fencing,
            state: Mutex::new(state),
        }
    }

    pub(crate) fn models(&self) -> Vec<String> {
        self.state.lock().models.clone()
    }

    /// Applies a command unless its fencing token is older than one already applied.
    pub(crate) fn apply(&self, command: Command) -> Response {
        let mut state = self.state.lock();
        if self.fencing && command.fencing_token < state.fencing_token {
            return http::error(StatusCode::CONFLICT, "fencing number is old");
        }
        state.fencing_token = state.fencing_token.max(command.fencing_token);
        state.applied.push(command.fencing_token);
        match command.action {
            Action::Load if state.models.contains(&command.name) => {}
            Action::Load => state.models.push(command.name),
            Action::Unload => state.models.retain(|model| *model != command.name),
            Action::Role => state.role = command.name,
        }
        let body = json!({"models": state.models, "role": state.role, "obeyed": state.applied});
        http::json(StatusCode::OK, &body)
    }
}
