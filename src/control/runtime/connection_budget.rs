//! Divides the file descriptors and the memory of an instance among its kinds of connections.
//!
//! Links, callers and calls to workers share one descriptor table. With independent limits,
//! their sum may exceed the table, and a surge of callers would leave no descriptor for the
//! links, without which no leader can be elected. With fixed shares only, one kind would be
//! refused while the places of another are unused. So each kind has a reserved share and
//! competes for a common rest.

use std::sync::Arc;

use tokio::sync::Semaphore;

use crate::http::REFUSALS_MAX;
use crate::intake::{Intake, ORDINARY_REQUEST_BYTES};
use crate::link::LinkLimits;
use crate::places::Places;

/// Places of the load balancer's health checks, and of those who read the metrics.
const SERVICE_CONNECTIONS: usize = 32;
/// Listeners for callers, health checks and metrics.
const LISTENERS: usize = 3;
/// Descriptors that are reserved for everything else: listeners, the log and snapshots, the
/// runtime, calls to the machine manager and the advisor, and what the system itself
/// reserves.
const RESERVED_FILES: usize = 256 + 2 * SERVICE_CONNECTIONS + LISTENERS * REFUSALS_MAX;
/// Kinds that need few connections get one share in this many.
const SMALL_SHARE_DIVISOR: usize = 16;
/// Memory that a caller's connection takes at most beside its unread bytes: the buffer of its
/// request head, its task, and a request of ordinary size.
const MAX_CALLER_CONNECTION_BYTES: usize = (24 << 10) + ORDINARY_REQUEST_BYTES;
/// Unread bytes of a caller's connection at an entry instance.
const ENTRY_UNREAD_BYTES: usize = 32 << 10;
/// Unread bytes of a connection at a control instance. Reports and configurations are larger
/// than jobs, and have to arrive within a second from any zone.
const CONTROL_UNREAD_BYTES: usize = 64 << 10;
/// Part of the memory that callers' connections may take.
const CONNECTIONS_DIVISOR: usize = 2;
/// Part of the memory that callers' requests may take beside that. The rest belongs to the
/// links, the log and the state.
const REQUESTS_DIVISOR: usize = 4;
/// Part of the memory that the jobs in the replicated state may take.
const JOBS_DIVISOR: usize = 4;
/// Memory for callers' requests if the settings name no limit.
const DEFAULT_REQUEST_BYTES: usize = 64 << 20;

/// The resource limits of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Maximum number of open files.
    pub open_files: usize,
    /// Memory limit in bytes, if there is one.
    pub memory_bytes: Option<usize>,
}

/// Maximum number of concurrent connections of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBudget {
    /// Incoming connections that have not authenticated yet.
    pub unproved: usize,
    /// Outgoing links.
    pub outgoing: usize,
    /// Incoming links.
    pub incoming: usize,
    /// Incoming connections of callers, workers and operators.
    pub callers: usize,
    /// Unread bytes of each of them.
    pub unread_bytes: usize,
    /// Memory for their requests, in bytes, beside what each connection may take.
    pub request_bytes: usize,
    /// Outgoing connections to workers.
    pub workers: usize,
    /// Connections that incoming links, callers and workers may use in addition to their
    /// reserved share.
    pub shared: usize,
}

/// The connection limits and permits of a budget.
#[derive(Clone, Debug)]
pub struct ConnectionPermits {
    /// Limits of unauthenticated connections and outgoing links.
    pub limits: LinkLimits,
    /// Permits for incoming links.
    pub incoming: Places,
    /// Permits for callers.
    pub callers: Places,
    /// Permits for health checks.
    pub health: Places,
    /// Permits for those who read the metrics.
    pub metrics: Places,
    /// Permits for connections to workers.
    pub workers: Places,
    /// The account of what callers make the instance hold.
    pub intake: Arc<Intake>,
}

impl ConnectionBudget {
    /// Returns the budget of a control instance. Half is reserved for calls to workers,
    /// because one connection to each worker is open all the time.
    pub fn control(grant: Grant) -> Self {
        let files = grant.usable_files();
        let small_share = files / SMALL_SHARE_DIVISOR;
        Self {
            unproved: small_share,
            outgoing: small_share,
            incoming: small_share,
            callers: grant.callers(small_share, CONTROL_UNREAD_BYTES),
            unread_bytes: CONTROL_UNREAD_BYTES,
            request_bytes: grant.request_bytes(),
            workers: files / 2,
            shared: files / 2 - 4 * small_share,
        }
    }

    /// Returns the budget of an entry instance, which does not call workers.
    pub fn entry(grant: Grant) -> Self {
        let files = grant.usable_files();
        let small_share = files / SMALL_SHARE_DIVISOR;
        Self {
            unproved: small_share,
            outgoing: small_share,
            incoming: small_share,
            callers: grant.callers(files - 3 * small_share, ENTRY_UNREAD_BYTES),
            unread_bytes: ENTRY_UNREAD_BYTES,
            request_bytes: grant.request_bytes(),
            workers: 0,
            shared: 0,
        }
    }

    /// Creates the permits of this budget.
    pub fn places(&self) -> ConnectionPermits {
        let shared = Arc::new(Semaphore::new(self.shared));
        ConnectionPermits {
            limits: LinkLimits {
                unproved: self.unproved,
                outgoing: self.outgoing,
            },
            incoming: Places::sharing(self.incoming, &shared),
            callers: Places::sharing(self.callers, &shared),
            health: Places::only(SERVICE_CONNECTIONS),
            metrics: Places::only(SERVICE_CONNECTIONS),
            workers: Places::sharing(self.workers, &shared),
            intake: Intake::new(self.request_bytes),
        }
    }
}

impl Grant {
    fn usable_files(self) -> usize {
        let files = self.open_files.saturating_sub(RESERVED_FILES);
        // A process with a lower limit still gets some connections of each kind.
        files.clamp(2 * SMALL_SHARE_DIVISOR, Semaphore::MAX_PERMITS)
    }

    /// Returns `wanted`, or the number of connections that fit into their part of the memory
    /// if that is less.
    fn callers(self, wanted: usize, unread_bytes: usize) -> usize {
        let connection_bytes = MAX_CALLER_CONNECTION_BYTES + unread_bytes;
        let fit = self
            .memory_bytes
            .map(|bytes| bytes / CONNECTIONS_DIVISOR / connection_bytes);
        fit.map_or(wanted, |fit| wanted.min(fit).max(1))
    }

    /// Returns the memory that jobs may take in the replicated state, in bytes.
    pub fn job_bytes(self) -> usize {
        self.memory_bytes
            .map_or(usize::MAX, |bytes| bytes / JOBS_DIVISOR)
    }

    fn request_bytes(self) -> usize {
        self.memory_bytes
            .map_or(DEFAULT_REQUEST_BYTES, |bytes| bytes / REQUESTS_DIVISOR)
    }
}
