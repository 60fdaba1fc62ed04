use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::{Client, Settings, advisor, machines, workers};
use crate::control::{
    ELECTION_TIMEOUT_MS, ExternalSystems, LocalFuture, Machine, MachineOrder, MachineOutcome,
    Order, OrderOutcome,
};
use crate::jobs::TaskId;
use crate::model::InstanceName;
use crate::places::Places;

/// Connections to one worker: one for the renewal that waits there, the others for
/// short orders, which take a round trip of some milliseconds each.
const WORKER_CONNECTIONS: usize = 4;
/// Connections to the keeper or the advisor: as many as orders are open at once, as
/// either may take seconds to answer.
const SERVICE_CONNECTIONS: usize = 32;

/// How long the kernel keeps an order to the keeper that is not acknowledged. A process that
/// is suspended cannot throw its open orders away, so its kernel has to, before another
/// leader can be elected: held up for longer, an order would reach a machine after those of
/// the successor, and not every keeper checks fencing tokens.
const ORDER_UNACKNOWLEDGED_MS: u32 = 400;
const _: () = assert!((ORDER_UNACKNOWLEDGED_MS as u64) < ELECTION_TIMEOUT_MS);

/// The users' platform as the control instances see it.
#[derive(Debug)]
pub struct Platform {
    workers: Rc<Client>,
    services: Rc<Client>,
    holder: String,
    keeper: Option<SocketAddr>,
    advisor: Option<SocketAddr>,
}

impl Platform {
    /// The platform that the settings tell of, with places for connections to workers.
    pub fn new(settings: &Settings, worker_places: Places) -> Self {
        Self {
            workers: Rc::new(Client::within(WORKER_CONNECTIONS, worker_places)),
            services: Rc::new(
                Client::new(SERVICE_CONNECTIONS).with_unacknowledged_ms(ORDER_UNACKNOWLEDGED_MS),
            ),
            holder: settings.node.clone(),
            keeper: settings.keeper,
            advisor: settings.advisor,
        }
    }
}

impl ExternalSystems for Platform {
    fn order(&self, order: Order) -> LocalFuture<OrderOutcome> {
        Box::pin(workers::order(&self.workers, order))
    }

    fn order_machine(&self, order: MachineOrder) -> LocalFuture<MachineOutcome> {
        match self.keeper {
            Some(keeper) => {
                let holder = &self.holder;
                Box::pin(machines::order(&self.services, keeper, holder, order))
            }
            None => Box::pin(async { MachineOutcome::Overloaded }),
        }
    }

    fn abort_orders(&self) {
        self.workers.abort();
        self.services.abort();
    }

    fn list_machines(&self) -> LocalFuture<Option<Vec<Machine>>> {
        let client = Rc::clone(&self.services);
        let keeper = self.keeper;
        Box::pin(async move { machines::list(&client, keeper?).await })
    }

    fn advise(
        &self,
        step: TaskId,
        workers: Vec<InstanceName>,
        timeout_ms: u64,
    ) -> LocalFuture<Option<Vec<(InstanceName, String)>>> {
        let client = Rc::clone(&self.services);
        let advisor = self.advisor;
        Box::pin(async move {
            let limit = Duration::from_millis(timeout_ms);
            advisor::ask(&client, advisor?, step, &workers, limit).await
        })
    }
}
