//! Control instances: how they start, end, come back and stand still.

use rand::Rng;
use rosemarygauge::consensus::Recovered;
use rosemarygauge::control::{Node, NodeSettings};
use rosemarygauge::model::EntryName;

use super::{TIMING, World, name};

pub(super) struct Control {
    pub(super) node: Option<Node>,
    pub(super) disk: Recovered,
    pub(super) frozen: bool,
}

impl World {
    pub(super) fn found(&mut self, place: usize) {
        let incarnation = self.rng.random();
        let disk = Recovered {
            incarnation: Some(incarnation),
            ..Recovered::default()
        };
        self.start(&name(place), disk, true);
    }

    /// Starts an instance that is not there at the first start, with an empty folder.
    pub fn join(&mut self, place: usize) {
        let incarnation = self.rng.random();
        let disk = Recovered {
            incarnation: Some(incarnation),
            ..Recovered::default()
        };
        self.start(&name(place), disk, false);
    }

    fn start(&mut self, me: &EntryName, disk: Recovered, first_start: bool) {
        let settings = NodeSettings {
            me: me.clone(),
            seeds: (1..=3).map(name).collect(),
            first_start,
            location: rosemarygauge::control::Location {
                region: None,
                zone: "a".into(),
            },
            tolerance: rosemarygauge::control::Tolerance {
                instances: 1,
                ..Default::default()
            },
            machine_orders_per_s: self.machine_orders_per_s,
            timing: TIMING,
            policy: self.policy.clone(),
            seed: self.rng.random(),
        };
        let unix_ms = 1_700_000_000_000 + self.now_ms;
        let node = Node::new(settings, disk.clone(), unix_ms, self.now_ms)
            .with_job_limit(self.job_limit_bytes);
        *self.starts.entry(me.clone()).or_default() += 1;
        self.renew_processor(me);
        let control = Control {
            node: Some(node),
            disk,
            frozen: false,
        };
        self.controls.insert(me.clone(), control);
    }

    pub fn kill(&mut self, at: &EntryName) {
        self.controls.get_mut(at).unwrap().node = None;
    }

    pub fn restart(&mut self, at: &EntryName) {
        let disk = self.controls[at].disk.clone();
        self.start(at, disk, false);
    }

    /// It comes back with an empty folder.
    pub fn wipe(&mut self, at: &EntryName) {
        let incarnation = self.rng.random();
        let disk = Recovered {
            incarnation: Some(incarnation),
            ..Recovered::default()
        };
        self.start(at, disk, false);
    }

    pub fn freeze(&mut self, at: &EntryName, frozen: bool) {
        self.controls.get_mut(at).unwrap().frozen = frozen;
    }

    /// Whether an instance's process is there.
    pub fn is_up(&self, at: &EntryName) -> bool {
        self.controls[at].node.is_some()
    }
}
