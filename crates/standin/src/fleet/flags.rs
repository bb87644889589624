//! The launcher's flags.

use std::path::PathBuf;
use std::str::FromStr;

use gumdrop::Options;

use super::fault::Fault;

/// Flags of the launcher.
#[derive(Clone, Debug, Options)]
pub struct Flags {
    /// Whether only help is asked for.
    #[options(help = "show this help")]
    pub help: bool,
    /// Whose zones, servers and names.
    #[options(help = "trust or directorate", default = "trust")]
    pub deployment: Deployment,
    /// Router processes.
    #[options(help = "routers", default = "4")]
    pub routers: usize,
    /// Model servers; the deployment's own number when absent.
    #[options(help = "model servers (12 for trust, 10 for directorate)")]
    pub servers: Option<usize>,
    /// Customers.
    #[options(help = "customers", default = "16")]
    pub customers: usize,
    /// Time of the load, in seconds.
    #[options(help = "seconds of load", default = "20")]
    pub seconds: u64,
    /// Seed of the load.
    #[options(help = "seed of the load", default = "1")]
    pub seed: u64,
    /// Policy of routers and sidecars.
    #[options(help = "fair or baseline", default = "fair")]
    pub policy: Policy,
    /// Faults, all brought about in the middle of the load.
    #[options(help = "fault in the middle of the load, repeatable", no_short)]
    pub fault: Vec<Fault>,
    /// Outstanding model requests over slots.
    #[options(
        help = "outstanding model requests over slots",
        default = "2.5",
        no_short
    )]
    pub load: f64,
    /// Requests that an engine runs at once.
    #[options(help = "slots of a model server", default = "8", no_short)]
    pub slots: usize,
    /// Time of a token, in milliseconds.
    #[options(help = "time of a token in milliseconds", default = "10", no_short)]
    pub token_ms: u64,
    /// Time between usage exchanges, in milliseconds.
    #[options(
        help = "time between usage exchanges in milliseconds",
        default = "1000",
        no_short
    )]
    pub exchange_ms: u64,
    /// Servers of one pool that a router stays connected to.
    #[options(
        help = "servers of a pool that a router connects to",
        default = "20",
        no_short
    )]
    pub subset: u32,
    /// The daemon; built beside the launcher when absent.
    #[options(
        help = "path of a mulberryyoked to use instead of building one",
        no_short
    )]
    pub daemon: Option<PathBuf>,
    /// Whether settings and logs stay.
    #[options(help = "keep settings and logs", no_short)]
    pub keep: bool,
}

/// Whose deployment is imitated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Three zones, 12 model and 3 booking servers.
    Trust,
    /// Four zones, 10 model and 4 portal servers.
    Directorate,
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(word: &str) -> Result<Self, String> {
        match word {
            "trust" => Ok(Self::Trust),
            "directorate" => Ok(Self::Directorate),
            _ => Err("allowed are trust and directorate".to_owned()),
        }
    }
}

/// Policy of routers and sidecars.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Fair order, late binding.
    Fair,
    /// Least-loaded of two, queues inside the engines.
    Baseline,
}

impl Policy {
    /// The word used in settings.
    pub(crate) const fn word(self) -> &'static str {
        match self {
            Self::Fair => "fair",
            Self::Baseline => "baseline",
        }
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(word: &str) -> Result<Self, String> {
        match word {
            "fair" => Ok(Self::Fair),
            "baseline" => Ok(Self::Baseline),
            _ => Err("allowed are fair and baseline".to_owned()),
        }
    }
}
