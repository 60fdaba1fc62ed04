use std::collections::BTreeMap;

use crate::model::{Class, Demand, Row, RowKey, ServiceName, ZoneName};

use super::headroom::LoadMeter;
use super::queue::ClassQueue;
use super::run_time::RunTime;
use super::wait_error::WaitError;
use super::zone_weights::{DEFAULT_ZONE_WEIGHT, ZoneWeights};

/// Queues, learned values and rows of one service.
#[derive(Debug)]
pub(super) struct ServiceLoad {
    pub name: ServiceName,
    pub pool: Option<usize>,
    pub class: Class,
    pub demand: Demand,
    pub run: RunTime,
    /// Queues of the urgent and the patient class.
    pub queues: [ClassQueue; 2],
    /// Requests in flight of the urgent and the patient class.
    pub in_flight: [u32; 2],
    pub zone_in_flight: Vec<u32>,
    pub weights: ZoneWeights,
    pub wait_error: [WaitError; 2],
    /// Offered load of the urgent class.
    pub urgent: LoadMeter,
    /// Virtual time of the next dispatch in each class, in milliseconds of run time.
    pub virtual_starts: [f64; 2],
    /// Since when its next request has not fitted anywhere.
    pub blocked_since_ms: Option<u64>,
    /// Index of the upstream reserved for it.
    pub reserved: Option<usize>,
    rows: Vec<Option<Row>>,
}

impl ServiceLoad {
    pub(super) fn new(name: ServiceName, class: Class, demand: Demand, now_ms: u64) -> Self {
        Self {
            name,
            pool: None,
            class,
            demand,
            run: RunTime::declared(demand.run_ms),
            queues: [ClassQueue::new(), ClassQueue::new()],
            in_flight: [0; 2],
            zone_in_flight: Vec::new(),
            weights: ZoneWeights::default(),
            wait_error: [WaitError::new(); 2],
            urgent: LoadMeter::new(now_ms),
            virtual_starts: [0.0; 2],
            blocked_since_ms: None,
            reserved: None,
            rows: Vec::new(),
        }
    }

    pub(super) fn set_rows(&mut self, zones: &[ZoneName], rows: &BTreeMap<RowKey, Row>) {
        let row = |zone: &ZoneName| {
            let key = RowKey::Service {
                service: self.name.clone(),
                zone: zone.clone(),
            };
            rows.get(&key).copied()
        };
        self.rows = zones.iter().map(row).collect();
    }

    fn row(&self, zone: usize) -> Option<&Row> {
        self.rows.get(zone).and_then(Option::as_ref)
    }

    pub(super) fn is_closed(&self, zone: usize) -> bool {
        self.row(zone)
            .is_some_and(|r| r.weight == 0 || r.limit_in_flight == 0)
    }

    /// Returns the weight that its row gives the zone.
    pub(super) fn weight(&self, zone: usize) -> f64 {
        if self.is_closed(zone) {
            return 0.0;
        }
        f64::from(self.row(zone).map_or(DEFAULT_ZONE_WEIGHT, |r| r.weight))
    }

    /// Returns the longest wait that the row of the zone allows.
    pub(super) fn queue_ms(&self, zone: usize) -> Option<u64> {
        self.row(zone).map(|r| r.queue_ms)
    }

    /// Returns whether the row's limit allows one more of our requests in the zone. The
    /// limit holds for all entry instances together: our part is what the others leave
    /// free, as far as known, and always an even share. After a sudden change of who
    /// sends, the sum can exceed the limit until the others have heard of it and their
    /// requests have ended, which takes one exchange and one run time.
    pub(super) fn allows_one_more(&self, zone: usize, foreign: u32, peers: usize) -> bool {
        let Some(row) = self.row(zone) else {
            return true;
        };
        let entries = u32::try_from(peers + 1).unwrap_or(u32::MAX);
        let even = row.limit_in_flight / entries;
        let part = row.limit_in_flight.saturating_sub(foreign).max(even);
        self.in_flight_in(zone) < part
    }

    pub(super) fn in_flight_in(&self, zone: usize) -> u32 {
        self.zone_in_flight.get(zone).copied().unwrap_or(0)
    }

    pub(super) fn started(&mut self, zone: usize, class: usize) {
        if self.zone_in_flight.len() <= zone {
            self.zone_in_flight.resize(zone + 1, 0);
        }
        self.zone_in_flight[zone] += 1;
        self.in_flight[class] += 1;
    }

    pub(super) fn ended(&mut self, zone: usize, class: usize) {
        if let Some(n) = self.zone_in_flight.get_mut(zone) {
            *n = n.saturating_sub(1);
        }
        self.in_flight[class] = self.in_flight[class].saturating_sub(1);
    }

    pub(super) fn record_wait(&mut self, class: usize, estimated_ms: f64, waited_ms: u64) {
        let run_ms = self.run.mean_ms();
        self.wait_error[class].record(estimated_ms, waited_ms, run_ms);
    }

    pub(super) fn waiting(&self) -> usize {
        self.queues.iter().map(ClassQueue::len).sum()
    }

    /// Returns the time until `ahead` requests of the class have started. The requests
    /// in flight are taken as the number that can run at once.
    pub(super) fn drain_ms(&self, class: usize, ahead: f64) -> f64 {
        ahead * self.run.mean_ms() / f64::from(self.in_flight[class].max(1))
    }
}
