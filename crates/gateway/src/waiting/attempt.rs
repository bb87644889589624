//! Attempts to send waiting requests.

use mulberryyoke_decide::waiting::{self, Entry, Obstacle};
use mulberryyoke_model::VersionId;

use super::elapsed_ms;
use super::ending::Ending;
use super::waiter::Waiter;
use crate::balance;
use crate::core::Core;
use crate::denial::Denial;
use crate::eligibility::Eligibility;

/// Attempts to send a waiting request.
pub(super) fn run(
    core: &Core,
    entry: &Entry<Waiter>,
    reserved: &[VersionId],
) -> Result<Ending, Obstacle> {
    let call = &entry.payload.call;
    let barred = entry.payload.barred(core);
    let eligible = Eligibility {
        tried: &entry.payload.tried,
        version: entry.version,
        reserved,
        barred: &barred,
    };
    let denial = match balance::assign_waiting(core, call, eligible) {
        Ok(in_flight) => return Ok(Ending::Sent(in_flight)),
        Err(denial) => denial,
    };
    match denial {
        Denial::Refused(_) => Ok(Ending::Refused(denial)),
        Denial::Rejected { rejection, .. }
            if !waiting::is_in_time(&rejection, balance::objective(call), elapsed_ms(call)) =>
        {
            Ok(Ending::Late(denial))
        }
        Denial::Rejected { usage, .. } if usage.is_over_share() => Err(Obstacle::Share),
        Denial::Rejected { .. } => Err(Obstacle::Room),
    }
}

/// Attempts to send a request whose time is up.
pub(super) fn run_last(core: &Core, entry: &Entry<Waiter>) -> Ending {
    let waiter = &entry.payload;
    if waiter.call.remaining_ms() == 0 {
        return Ending::Refused(waiter.denial);
    }
    let barred = waiter.barred(core);
    let eligible = Eligibility {
        tried: &waiter.tried,
        version: entry.version,
        reserved: &[],
        barred: &barred,
    };
    match balance::assign_waiting(core, &waiter.call, eligible) {
        Ok(in_flight) => Ending::Sent(in_flight),
        Err(denial) => Ending::Refused(denial),
    }
}
