//! The command on waiting requests.

use gumdrop::Options;

/// Shows who is waiting at the asked router, and why: the position among the
/// customer's requests, what the request waits for, and the customer's counter
/// beside the others'.
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
    /// only the request with this id
    #[options(meta = "ID")]
    pub request: Option<String>,
    /// most requests to list
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
            None => Err("--request: an id as in the header x-request-id is needed".to_owned()),
        }
    }
}
