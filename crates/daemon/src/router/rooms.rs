//! The waiting requests of every pool.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use mulberryyoke_model::PoolId;

use super::room::Room;

/// A room for each pool that was ever asked for.
#[derive(Debug, Default)]
pub(crate) struct Rooms {
    rooms: ArcSwap<HashMap<PoolId, Arc<Room>>>,
}

impl Rooms {
    /// The room of a pool, made if there is none.
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

    /// Every room.
    pub(crate) fn all(&self) -> Vec<Arc<Room>> {
        self.rooms.load().values().cloned().collect()
    }
}
