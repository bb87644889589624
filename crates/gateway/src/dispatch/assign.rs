//! Assignment of a request to a server: what the quarantine allows, selection and waiting.

use std::sync::Arc;

use mulberryyoke_model::VersionId;
use tokio::time::Instant;

use super::Attempts;
use super::trial::Trial;
use crate::backend::InFlight;
use crate::call::Call;
use crate::core::Core;
use crate::denial::Denial;
use crate::eligibility::Eligibility;
use crate::quarantine::{self, Barred};
use crate::refusal::Refusal;
use crate::{balance, waiting};

/// Number of crashes from which a suspect is isolated from other suspects. A single crash
/// implicates up to 64 concurrent requests, too many to isolate.
const ISOLATION_CRASHES: u32 = 2;

impl Attempts {
    /// Selects a server that may run the request, or waits for one.
    pub(super) async fn assign(
        &mut self,
        core: &Arc<Core>,
        call: &Arc<Call>,
    ) -> Result<InFlight, Refusal> {
        loop {
            let in_flight = self.select(core, call).await?;
            // Only a copy that is about to be sent asks for an admission, which excludes other copies.
            let admitted = self.admit(core, call).await;
            let version = in_flight.backend.server.version;
            match admitted {
                Ok(is_isolated) if !self.barred.contains(&version) => {
                    return Ok(if is_isolated {
                        in_flight.isolate()
                    } else {
                        in_flight
                    });
                }
                // A server of another version is selected next, as this one is barred.
                Ok(_) => self.refund(core, call),
                Err(refusal) => {
                    self.refund(core, call);
                    return Err(refusal);
                }
            }
        }
    }

    /// Selects a server by what is known here.
    async fn select(&mut self, core: &Arc<Core>, call: &Arc<Call>) -> Result<InFlight, Refusal> {
        let is_isolated = self.check(core, call)?;
        if self.tried.is_empty() {
            waiting::serve_if_changed(core);
        }
        let may_have_run = self.possible_runs > 0;
        let is_bound = self.version.is_some() || may_have_run;
        let reserved = (!is_bound).then(|| waiting::reserved(core, call));
        let eligible = self.eligible(reserved.as_deref().unwrap_or_default());
        match balance::assign(core, call, eligible, may_have_run, is_isolated) {
            Ok(in_flight) => Ok(in_flight),
            Err(denial) => self.wait(core, call, denial, is_isolated).await,
        }
    }

    /// Returns which servers may run the request.
    fn eligible<'a>(&'a self, reserved: &'a [VersionId]) -> Eligibility<'a> {
        Eligibility {
            tried: &self.tried,
            version: self.version,
            reserved,
            barred: &self.barred,
        }
    }

    /// Refunds the customer, unless the request may have run elsewhere.
    pub(super) fn refund(&self, core: &Core, call: &Call) {
        if self.possible_runs == 0 {
            balance::refund(core, call);
        }
    }

    /// Checks what is known here of the request; `true` if it is to be isolated from other suspects.
    fn check(&mut self, core: &Core, call: &Call) -> Result<bool, Refusal> {
        let verdict = quarantine::check(core, call)?;
        self.is_suspect = verdict.crashes() > 0;
        self.bar(quarantine::barred(core, call));
        Ok(verdict.crashes() >= ISOLATION_CRASHES)
    }

    /// Admits the request to the quarantine's rules; `true` if it is to be isolated from other
    /// suspects.
    async fn admit(&mut self, core: &Arc<Core>, call: &Arc<Call>) -> Result<bool, Refusal> {
        let asked_at = Instant::now();
        let verdict = quarantine::admit(core, call, self.admitted_at.is_some()).await?;
        self.is_suspect = verdict.crashes() > 0;
        let admitted_at = self.admitted_at.unwrap_or(asked_at);
        self.admitted_at = self.is_suspect.then_some(admitted_at);
        let is_trial = self.trial == Trial::Admitted;
        let admission = quarantine::admit_parts(core, call, is_trial).await;
        self.trial = Trial::new(admission.is_trial);
        self.bar(admission.barred);
        Ok(verdict.crashes() >= ISOLATION_CRASHES || admission.is_trial)
    }

    /// Adds versions that may not run the request. None is taken off while it is dispatched.
    fn bar(&mut self, versions: Barred) {
        let new = versions.into_iter();
        let new: Barred = new
            .filter(|version| !self.barred.contains(version))
            .collect();
        self.barred.extend(new);
    }

    /// Waits for a server after a request that has not run was rejected because of load, or returns
    /// the refusal.
    async fn wait(
        &mut self,
        core: &Arc<Core>,
        call: &Arc<Call>,
        denial: Denial,
        is_isolated: bool,
    ) -> Result<InFlight, Refusal> {
        if self.possible_runs > 0 || is_isolated {
            return Err(balance::refuse(core, call, denial));
        }
        waiting::wait(core, call, denial, self.eligible(&[])).await
    }
}
