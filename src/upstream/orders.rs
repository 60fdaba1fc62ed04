use std::collections::BTreeMap;

use super::{AnnounceReply, Order};
use crate::model::PoolName;

/// Orders heard from several entry instances, joined into one.
///
/// The entry instances learn of changes at different times, and one that is
/// cut off goes on giving old orders. Taking each order as it comes makes the
/// instance flap between draining and serving, and a flap in the wrong moment
/// starts work during a move. So the highest pool epoch wins, and under the
/// same epoch the strictest order that is still fresh.
///
/// After a restart an entry instance that has not heard of it repeats the order
/// to reboot. Obeying would reboot the instance for ever, so such an order
/// counts only after the same entry instance has ordered something else.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    heard: BTreeMap<String, Heard>,
    restarted: bool,
}

#[derive(Clone, Debug)]
struct Heard {
    until_ms: u64,
    reply: AnnounceReply,
    /// Ordered something else than a reboot since the restart.
    armed: bool,
}

impl Orders {
    /// What an instance starts with after a restart: orders to reboot are old.
    pub fn after_restart() -> Self {
        Self {
            heard: BTreeMap::new(),
            restarted: true,
        }
    }

    /// Notes what the entry instance at `entry` answered.
    pub fn hear(&mut self, now_ms: u64, entry: &str, reply: &AnnounceReply) {
        let armed = !self.restarted
            || !reply.order.is_restart()
            || self.heard.get(entry).is_some_and(|heard| heard.armed);
        let heard = Heard {
            until_ms: now_ms.saturating_add(reply.lease_ms),
            reply: reply.clone(),
            armed,
        };
        self.heard.insert(entry.to_owned(), heard);
    }

    /// The pool, its epoch and the order in force, none if nothing fresh was heard.
    pub fn current(&self, now_ms: u64) -> Option<(&PoolName, u64, Order)> {
        self.heard
            .values()
            .filter(|heard| heard.until_ms > now_ms)
            .map(|heard| (&heard.reply.pool, heard.reply.pool_epoch, heard.order()))
            .max_by_key(|(_, epoch, order)| (*epoch, *order))
    }
}

impl Heard {
    fn order(&self) -> Order {
        match self.reply.order {
            Order::Reboot | Order::Replace if !self.armed => Order::Serve,
            order => order,
        }
    }
}
