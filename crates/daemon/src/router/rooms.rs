//! The request queues of all pools.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use mulberryyoke_model::PoolId;

use super::room::Room;

/// Request queues by pool, created on first use.
#[derive(Debug, Default)]
pub(crate) struct Rooms {
    rooms: ArcSwap<HashMap<PoolId, Arc<Room>>>,
}

impl Rooms {
    /// Returns the queue of a pool, creating it if necessary.
    pub(crate) fn get(&self, pool: PoolId) -> Arc<Room> {
        if let Some(room) = self.rooms.load().get(&pool) {
            return Arc::clone(room);
        }
        let new = Room::new(pool);
        self.rooms.rcu(|rooms| {
            let mut rooms = HashMap::clone(rooms);
            rooms.entry(pool).or_insert_with(|| Arc::clone(&new));
            rooms
        });
        Arc::clone(&self.rooms.load()[&pool])
    }

    pub(crate) fn all(&self) -> Vec<Arc<Room>> {
        self.rooms.load().values().cloned().collect()
    }
}
