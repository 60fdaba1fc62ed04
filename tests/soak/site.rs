//! The processes with their links: each instance is known by one address, on which the
//! proxy listens, and takes connections at another, to which the proxy passes them on.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use rosemarygauge::proxy::{Hub, Link, LinkFaults};
use serde_json::json;

use crate::own_loopback::OwnLoopback;
use crate::play::Size;
use crate::process::Process;

const LINK_PORT: u16 = 7_000;
const CONTROL_PORT: u16 = 7_001;
const FRONT_PORT: u16 = 7_003;
const READY_PORT: u16 = 7_004;
const KEEPER_PORT: u16 = 7_005;
/// The last byte of the address at which the keeper of machines is known.
const KEEPER: u8 = 240;
/// Added to the last byte of an address that is known, gives the one that is bound.
const BOUND: u8 = 100;

/// One instance and the ways to it.
pub struct Instance {
    pub process: Process,
    links: Vec<Link>,
}

impl Instance {
    pub fn set_links(&self, faults: &LinkFaults) {
        self.links.iter().for_each(|link| link.set(faults.clone()));
    }

    pub fn reset_links(&self) {
        self.links.iter().for_each(Link::reset_open);
    }

    pub fn silence_links(&self) {
        self.links.iter().for_each(Link::silence_open);
    }
}

/// Name of a zone.
pub fn zone_name(zone: usize) -> String {
    char::from(b'a' + zone as u8).to_string()
}

pub struct Site {
    pub controls: Vec<Instance>,
    pub entries: Vec<Instance>,
    losses_borne: usize,
    zones: usize,
    block: OwnLoopback,
}

impl Site {
    pub fn new(hub: &Hub, folder: &Path, size: Size) -> Self {
        let Size {
            controls, entries, ..
        } = size;
        let mut site = Self {
            controls: Vec::new(),
            entries: Vec::new(),
            // A majority of the voters is left.
            zones: size.zones,
            losses_borne: controls.saturating_sub(1) / 2,
            block: OwnLoopback::take(),
        };
        for place in 0..controls {
            let instance = site.instance(hub, folder, "control", place as u8);
            site.controls.push(instance);
        }
        for place in 0..entries {
            let instance = site.instance(hub, folder, "entry", 30 + place as u8);
            site.entries.push(instance);
        }
        site
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        (0..self.controls.len())
            .map(|at| self.known(at as u8, CONTROL_PORT))
            .collect()
    }

    /// Where the keeper of machines is known.
    pub fn keeper_address(&self) -> SocketAddr {
        self.block.address(KEEPER, KEEPER_PORT)
    }

    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        let places = 0..self.entries.len();
        places
            .map(|at| self.known(30 + at as u8, FRONT_PORT))
            .collect()
    }

    pub fn all(&mut self) -> impl Iterator<Item = &mut Instance> {
        self.controls.iter_mut().chain(&mut self.entries)
    }

    fn known(&self, place: u8, port: u16) -> SocketAddr {
        self.address(1 + place, port)
    }

    fn address(&self, last: u8, port: u16) -> SocketAddr {
        self.block.address(last, port)
    }

    fn instance(&self, hub: &Hub, folder: &Path, role: &'static str, place: u8) -> Instance {
        let name = format!("{role}-{place}");
        let known = |port| self.known(place, port);
        let bound = |port| self.address(1 + place + BOUND, port);
        let data: Option<PathBuf> =
            (role == "control").then(|| folder.join(format!("data-{place}")));
        if let Some(data) = &data {
            std::fs::create_dir(data).unwrap();
        }
        let seeds: Vec<String> = (0..3)
            .map(|at| self.known(at, CONTROL_PORT).to_string())
            .collect();
        let ports: &[u16] = match role {
            "control" => &[LINK_PORT, CONTROL_PORT],
            _ => &[LINK_PORT, FRONT_PORT, READY_PORT],
        };
        let link = |port: &u16| hub.link(known(*port), bound(*port)).unwrap();
        let settings = json!({
            "node": name, "ip": known(0).ip(), "bind_ip": bound(0).ip(),
            "port_range": [LINK_PORT, LINK_PORT], "seeds": seeds, "bootstrap": true,
            "data_dir": data,
            "listen": {
                "control": (role == "control").then(|| known(CONTROL_PORT)),
                "front": (role == "entry").then(|| known(FRONT_PORT)),
                "ready": (role == "entry").then(|| known(READY_PORT)),
            },
            "zone": zone_name(usize::from(place) % 30 % self.zones), "region": "r",
            "fault_tolerance": {
                "machines": self.losses_borne, "zones": usize::from(self.zones > 1),
            }, "heartbeat_ms": 500,
            "bounds": {
                "max_hold_ms": 10_000, "stop_timeout_ms": 400, "status_s": 120,
                "maintenance_s": 0.7, "grace_s": 6, "early_ms": 250, "notice_ms": 4_500,
            },
            "cloud": {"address": self.keeper_address()}, "advice": null,
        });
        Instance {
            process: Process::new(role, &name, folder, settings),
            links: ports.iter().map(link).collect(),
        }
    }
}
