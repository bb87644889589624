//! Command that lists queued requests.

use gumdrop::Options;

/// Lists the queued requests of the router, with their position in the customer's
/// queue and the reason why they wait, and the service each customer has received.
///
/// Example: mulberryyoke waiting --customer scouts
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct Waiting {
    /// print this help
    pub help: bool,
    /// only requests of this customer
    #[options(meta = "NAME")]
    pub customer: Option<String>,
    /// only requests that this server may run
    #[options(meta = "NAME")]
    pub server: Option<String>,
    /// only the request with this ID
    #[options(meta = "ID")]
    pub request: Option<String>,
    /// maximum number of requests to list
    #[options(meta = "N", default = "50")]
    pub limit: u32,
    /// print JSON
    pub json: bool,
}

impl Waiting {
    pub(crate) fn check(&self) -> Result<(), String> {
        let Some(request) = &self.request else {
            return Ok(());
        };
        match mulberryyoke_model::Attempt::parse_request_id(request) {
            Some(_) => Ok(()),
            None => Err("--request: expected an ID as in the x-request-id header".to_owned()),
        }
    }
}
