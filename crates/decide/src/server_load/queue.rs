//! Queue of one server by its last report.

use mulberryyoke_model::Millis;

use super::Report;

/// Time for which a reported queue counts, in milliseconds. What gateways tell each other of their
/// requests is about as old, and plain requests take less.
const MAX_AGE_MS: Millis = 300;

/// Queue of one server by its last report, and what this gateway has sent since.
#[derive(Clone, Copy, Debug, Default)]
pub struct Queue {
    /// The last report and the time of its receipt.
    report: Option<(Report, Millis)>,
    /// Requests sent since.
    sent: u32,
}

impl Queue {
    /// Records a report received at `now`.
    pub const fn record_report(&mut self, report: Report, now: Millis) {
        self.report = Some((report, now));
        self.sent = 0;
    }

    /// Records a request sent to the server.
    pub const fn record_send(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }

    /// Requests at the server at `now`; `None` without a recent report.
    #[must_use]
    pub fn requests(&self, now: Millis) -> Option<u32> {
        let (report, received_at) = self.report?;
        let is_recent = now < received_at.saturating_add(MAX_AGE_MS);
        let requests = report.running.saturating_add(report.waiting);
        is_recent.then(|| requests.saturating_add(self.sent))
    }

    /// Maximum number of concurrent requests by the last report, however old.
    #[must_use]
    pub fn slots(&self) -> Option<u32> {
        let (report, _) = self.report?;
        (report.slots > 0).then_some(report.slots)
    }
}
