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

/// Maximum number of connections to one worker: one for the long poll of the lease renewal, the
/// others for short orders, each of which takes a round trip of some milliseconds.
const MAX_WORKER_CONNECTIONS: usize = 4;
/// Maximum number of connections to the machine manager or the advisor, one for each request
/// in flight, because either may take seconds to answer.
const MAX_SERVICE_CONNECTIONS: usize = 32;

/// TCP user timeout for orders to the machine manager. A suspended process cannot discard its
/// orders in flight, so the kernel has to do so before another leader can be elected.
/// Otherwise a delayed order could reach a machine after the orders of the next leader, and
/// not every machine manager checks fencing tokens.
const ORDER_TCP_USER_TIMEOUT_MS: u32 = 400;
const _: () = assert!((ORDER_TCP_USER_TIMEOUT_MS as u64) < ELECTION_TIMEOUT_MS);

/// Access of a control instance to the platform: workers, machine manager and advisor.
#[derive(Debug)]
pub struct Platform {
    workers: Rc<Client>,
    services: Rc<Client>,
    lease_holder: String,
    machine_manager: Option<SocketAddr>,
    advisor: Option<SocketAddr>,
}

impl Platform {
    /// Returns the platform described by the settings. Connections to workers take slots of
    /// `worker_places`.
    pub fn new(settings: &Settings, worker_places: Places) -> Self {
        Self {
            workers: Rc::new(Client::with_places(MAX_WORKER_CONNECTIONS, worker_places)),
            services: Rc::new(
                Client::new(MAX_SERVICE_CONNECTIONS)
                    .with_tcp_user_timeout_ms(ORDER_TCP_USER_TIMEOUT_MS),
            ),
            lease_holder: settings.node.clone(),
            machine_manager: settings.machine_manager,
            advisor: settings.advisor,
        }
    }
}

impl ExternalSystems for Platform {
    fn order(&self, order: Order) -> LocalFuture<OrderOutcome> {
        Box::pin(workers::order(&self.workers, order))
    }

    fn order_machine(&self, order: MachineOrder) -> LocalFuture<MachineOutcome> {
        match self.machine_manager {
            Some(machine_manager) => {
                let holder = &self.lease_holder;
                Box::pin(machines::order(
                    &self.services,
                    machine_manager,
                    holder,
                    order,
                ))
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
        let machine_manager = self.machine_manager;
        Box::pin(async move { machines::list(&client, machine_manager?).await })
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
            let timeout = Duration::from_millis(timeout_ms);
            advisor::request_advice(&client, advisor?, step, &workers, timeout).await
        })
    }
}
