use std::collections::BTreeMap;

use crate::model::{Class, Demand, Row, RowKey, ServiceName, ZoneName};

use super::headroom::LoadMeter;
use super::queue::ClassQueue;
use super::run_time::RunTime;
use super::wait_error::WaitError;
use super::zone_weights::{WEIGHT_DEFAULT, ZoneWeights};

/// One service: its queues, what was learnt of it, and its rows.
#[derive(Debug)]
pub(super) struct ServiceLoad {
    pub name: ServiceName,
    pub pool: Option<usize>,
    pub class: Class,
    pub demand: Demand,
    pub run: RunTime,
    /// Urgent, patient.
    pub queues: [ClassQueue; 2],
    /// Urgent, patient.
    pub in_flight: [u32; 2],
    pub zone_in_flight: Vec<u32>,
    pub weights: ZoneWeights,
    pub wait_error: [WaitError; 2],
    /// Urgent requests that are offered.
    pub urgent: LoadMeter,
    /// Virtual time of its next dispatch in each class, in run time.
    pub tags: [f64; 2],
    /// Since when its next request fits nowhere.
    pub blocked_since_ms: Option<u64>,
    /// Upstream that is kept free for it.
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
            tags: [0.0; 2],
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

    /// Weight its row gives the zone.
    pub(super) fn weight(&self, zone: usize) -> f64 {
        if self.is_closed(zone) {
            return 0.0;
        }
        f64::from(self.row(zone).map_or(WEIGHT_DEFAULT, |r| r.weight))
    }

    /// Longest wait by the row of the zone.
    pub(super) fn queue_ms(&self, zone: usize) -> Option<u64> {
        self.row(zone).map(|r| r.queue_ms)
    }

    /// Whether the row's limit lets one more of ours run in the zone. The limit
    /// holds for all entry instances: ours is what the others leave as far as
    /// known, and always an even part. After a sudden change of who sends, the
    /// sum can pass the limit until the others have heard and their requests
    /// have ended, that is for one exchange and one run time.
    pub(super) fn has_room(&self, zone: usize, foreign: u32, peers: usize) -> bool {
        let Some(row) = self.row(zone) else {
            return true;
        };
        let entries = u32::try_from(peers + 1).unwrap_or(u32::MAX);
        let even = row.limit_in_flight / entries;
        let part = row.limit_in_flight.saturating_sub(foreign).max(even);
        self.running_in(zone) < part
    }

    pub(super) fn running_in(&self, zone: usize) -> u32 {
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

    pub(super) fn saw_wait(&mut self, class: usize, estimated_ms: f64, waited_ms: u64) {
        let run_ms = self.run.mean_ms();
        self.wait_error[class].saw(estimated_ms, waited_ms, run_ms);
    }

    pub(super) fn waiting(&self) -> usize {
        self.queues.iter().map(ClassQueue::len).sum()
    }

    /// Time until `ahead` requests of the class have started: what runs of them
    /// is what can run at once.
    pub(super) fn drain_ms(&self, class: usize, ahead: f64) -> f64 {
        ahead * self.run.mean_ms() / f64::from(self.in_flight[class].max(1))
    }
}
