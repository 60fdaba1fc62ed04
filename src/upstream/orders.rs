use std::collections::BTreeMap;

use crate::model::PoolName;
use crate::upstream_api::{AnnounceReply, Order};

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
            || !is_restart(reply.order)
            || self.heard.get(entry).is_some_and(|heard| heard.armed);
        let heard = Heard {
            until_ms: now_ms.saturating_add(reply.lease_ms),
            reply: reply.clone(),
            armed,
        };
        self.heard.insert(entry.to_owned(), heard);
    }

    /// The pool, its epoch and the order in force, none if nothing fresh was heard.
    pub fn current(&self, now_ms: u64) -> Option<(Option<&PoolName>, u64, Order)> {
        self.heard
            .values()
            .filter(|heard| heard.until_ms > now_ms)
            .max_by_key(|heard| (heard.reply.pool_epoch, strictness(heard.order())))
            .map(|heard| {
                (
                    heard.reply.pool.as_ref(),
                    heard.reply.pool_epoch,
                    heard.order(),
                )
            })
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

/// Whether the instance is to come back with a new incarnation.
pub fn is_restart(order: Order) -> bool {
    matches!(order, Order::Reboot | Order::Replace)
}

fn strictness(order: Order) -> u8 {
    match order {
        Order::Serve => 0,
        Order::Drain => 1,
        Order::Reboot => 2,
        Order::Replace => 3,
        Order::Stop => 4,
    }
}
