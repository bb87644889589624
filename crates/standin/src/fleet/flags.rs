//! Command line of the launcher.

use std::path::PathBuf;
use std::str::FromStr;

use gumdrop::Options;

use super::fault::Fault;

/// Command line flags.
#[derive(Clone, Debug, Options)]
pub struct Flags {
    /// Print the help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Deployment whose zones, servers and names are used.
    #[options(help = "trust or directorate", default = "trust")]
    pub deployment: Deployment,
    /// Number of routers.
    #[options(help = "routers", default = "4")]
    pub routers: usize,
    /// Number of model servers; defaults to that of the deployment.
    #[options(help = "model servers (12 for trust, 10 for directorate)")]
    pub servers: Option<usize>,
    /// Number of customers.
    #[options(help = "customers", default = "16")]
    pub customers: usize,
    /// Duration of the load, in seconds.
    #[options(help = "seconds of load", default = "20")]
    pub seconds: u64,
    /// Seed of the random number generators of the load.
    #[options(help = "seed of the load", default = "1")]
    pub seed: u64,
    /// Scheduling policy of routers and sidecars.
    #[options(help = "fair or baseline", default = "fair")]
    pub policy: Policy,
    /// Faults to inject in the middle of the load, all at the same time.
    #[options(help = "fault in the middle of the load, repeatable", no_short)]
    pub fault: Vec<Fault>,
    /// Ratio of outstanding model requests to slots.
    #[options(
        help = "outstanding model requests over slots",
        default = "2.5",
        no_short
    )]
    pub load: f64,
    /// Number of requests that an engine runs concurrently.
    #[options(help = "slots of a model server", default = "8", no_short)]
    pub slots: usize,
    /// Time per token, in milliseconds.
    #[options(help = "time of a token in milliseconds", default = "10", no_short)]
    pub token_ms: u64,
    /// Interval of usage exchanges between routers, in milliseconds.
    #[options(
        help = "time between usage exchanges in milliseconds",
        default = "1000",
        no_short
    )]
    pub exchange_ms: u64,
    /// Number of servers of a pool that a router connects to.
    #[options(
        help = "servers of a pool that a router connects to",
        default = "20",
        no_short
    )]
    pub subset: u32,
    /// Path of the daemon; built if absent.
    #[options(
        help = "path of a mulberryyoked to use instead of building one",
        no_short
    )]
    pub daemon: Option<PathBuf>,
    /// Keep settings and logs.
    #[options(help = "keep settings and logs", no_short)]
    pub keep: bool,
}

/// Deployment to simulate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Three zones, 12 model servers and 3 booking servers.
    Trust,
    /// Four zones, 10 model servers and 4 portal servers.
    Directorate,
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "trust" => Ok(Self::Trust),
            "directorate" => Ok(Self::Directorate),
            _ => Err("expected trust or directorate".to_owned()),
        }
    }
}

/// Scheduling policy of routers and sidecars.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Fair queueing with late binding of requests to servers.
    Fair,
    /// Less loaded of two random servers, with queues in the engines.
    Baseline,
}

impl Policy {
    /// Name in the settings.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Fair => "fair",
            Self::Baseline => "baseline",
        }
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "fair" => Ok(Self::Fair),
            "baseline" => Ok(Self::Baseline),
            _ => Err("expected fair or baseline".to_owned()),
        }
    }
}
