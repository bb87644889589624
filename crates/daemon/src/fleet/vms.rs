//! Polling of the VM list.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use mulberryyoke_event::{Event, log};
use mulberryyoke_platform::vm::{Role, State, Vm, Vms};

use super::Fleet;

/// Polling interval of the list, in milliseconds.
const POLL_MS: u64 = 1_000;

/// The last VM list read.
#[derive(Default)]
pub(super) struct VmList {
    leaving: ArcSwap<HashSet<String>>,
    sidecars: ArcSwap<Vec<SocketAddr>>,
}

impl VmList {
    pub(super) fn is_leaving(&self, name: &str) -> bool {
        self.leaving.load().contains(name)
    }

    /// Control ports of the sidecars in the list.
    pub(super) fn sidecars(&self) -> Arc<Vec<SocketAddr>> {
        self.sidecars.load_full()
    }

    fn replace(&self, list: &[Vm]) {
        let leaving = list.iter().filter(|vm| vm.state == State::Leaving);
        let leaving = leaving.map(|vm| vm.name.clone()).collect();
        let sidecars = list.iter().filter(|vm| vm.role == Role::Sidecar);
        let sidecars = sidecars.map(|vm| vm.control).collect();
        self.leaving.store(Arc::new(leaving));
        self.sidecars.store(Arc::new(sidecars));
    }
}

/// Polls the list until stopped. While it cannot be read, the last one stays in use.
pub(super) async fn follow(fleet: Arc<Fleet>, vms: Arc<dyn Vms>) {
    let mut down = false;
    loop {
        match vms.list().await {
            Ok(list) => {
                fleet.vm_list.replace(&list);
                fleet.peers.set_listed(list);
                down = false;
            }
            Err(error) if !down => {
                log!(fleet.logger, Event::VmsDown, "error" => %error);
                down = true;
            }
            Err(_) => {}
        }
        fleet.first_listing.cancel();
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}
