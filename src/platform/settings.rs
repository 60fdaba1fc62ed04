use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use rustix::process::{Resource, getrlimit};
use serde_json::Value;

use super::SettingsFault;
use super::reader::Reader;
use crate::control::{Grant, Timing};
use crate::model::EntryName;

/// The variable of the environment that names the settings file.
pub const SETTINGS_VARIABLE: &str = "ROSEMARYGAUGE_CONFIG";

/// What the platform tells a process, checked. It is handed over as JSON, by a
/// template that asks for all fields.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The machine's name, for logs and as holder of the machines' leases.
    pub node: String,
    /// The machine's address, which is the instance's name.
    pub ip: IpAddr,
    /// The address that listeners are bound to, if it is another: a forwarder stands
    /// before the instance. The platform does not tell one.
    pub bind_ip: Option<IpAddr>,
    /// Added to the time of day, in milliseconds; the platform does not tell it. With it
    /// a trial sets one instance's clock without touching the machine's.
    pub clock_offset_ms: i64,
    /// The first port for links between instances.
    pub link_port: u16,
    /// Where control instances take calls; at most three.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// The data folder of a control instance.
    pub data_folder: Option<PathBuf>,
    /// Where callers come in.
    pub front: Option<SocketAddr>,
    /// Where the balancer asks.
    pub ready: Option<SocketAddr>,
    /// Where workers and operators come in.
    pub control: Option<SocketAddr>,
    /// How many control instances may be lost at once.
    pub losses_borne: usize,
    /// What the instance may use.
    pub grant: Grant,
    /// Who keeps the machines, if anyone does.
    pub keeper: Option<SocketAddr>,
    /// Who advises on placements, if anyone does.
    pub advisor: Option<SocketAddr>,
    /// Times of the deployment.
    pub timing: Timing,
}

impl Settings {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    /// Everything that is wrong.
    pub fn load() -> Result<Self, Vec<SettingsFault>> {
        let path = std::env::var(SETTINGS_VARIABLE).map_err(|_| {
            vec![SettingsFault::Missing {
                field: SETTINGS_VARIABLE.to_owned(),
                wanted: "the path of the settings file in the environment",
            }]
        })?;
        let text = std::fs::read_to_string(&path).map_err(|err| {
            vec![SettingsFault::Unreadable {
                path,
                cause: err.to_string(),
            }]
        })?;
        Self::parse(&text)
    }

    /// Reads settings.
    ///
    /// # Errors
    /// Everything that is wrong.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingsFault>> {
        let value: Value = serde_json::from_str(text).map_err(|err| {
            vec![SettingsFault::NotJson {
                cause: err.to_string(),
            }]
        })?;
        let mut rdr = Reader::new(&value);
        let settings = read(&mut rdr);
        match settings {
            Some(settings) if rdr.faults.is_empty() => Ok(settings),
            _ => Err(rdr.faults),
        }
    }

    /// Where a listener with this address is bound.
    pub fn bound(&self, address: SocketAddr) -> SocketAddr {
        (self.bind_ip.unwrap_or(address.ip()), address.port()).into()
    }

    /// This instance's name among all: its address.
    pub fn me(&self) -> EntryName {
        EntryName::from(self.ip.to_string())
    }

    /// The names of the control instances that are told.
    pub fn seed_names(&self) -> Vec<EntryName> {
        let names = self.seeds.iter().map(|seed| seed.ip().to_string());
        names.map(EntryName::from).collect()
    }

    /// Where the control instance with this name takes calls: ports are the same on
    /// all machines.
    pub fn control_address(&self, name: &EntryName) -> Option<SocketAddr> {
        let port = self.control.or_else(|| self.seeds.first().copied())?.port();
        Some((name.as_str().parse::<IpAddr>().ok()?, port).into())
    }
}

fn read(rdr: &mut Reader) -> Option<Settings> {
    let text = |v: &Value| v.as_str().map(str::to_owned);
    let address = |v: &Value| v.as_str()?.parse::<SocketAddr>().ok();
    let ip = rdr.need("ip", "an IP address", |v| {
        v.as_str()?.parse::<IpAddr>().ok()
    });
    let link_port = rdr.need("port_range", "a list of two ports", |v| {
        u16::try_from(v.get(0)?.as_u64()?).ok()
    });
    let seeds = rdr.need("seeds", "a list of addresses IP:PORT", |v| {
        v.as_array()?
            .iter()
            .map(address)
            .collect::<Option<Vec<_>>>()
    });
    let node = rdr.need("node", "the machine's name", text);
    let bind_ip = rdr.maybe("bind_ip", "an IP address", |v| v.as_str()?.parse().ok());
    let offset = rdr.maybe("clock_offset_ms", "a whole number", Value::as_i64);
    let first_start = rdr.maybe("bootstrap", "true or false", Value::as_bool);
    let data_folder = rdr.maybe("data_dir", "a folder", text).map(PathBuf::from);
    let front = rdr.maybe("listen.front", "an address IP:PORT", address);
    let ready = rdr.maybe("listen.ready", "an address IP:PORT", address);
    let control = rdr.maybe("listen.control", "an address IP:PORT", address);
    let losses = rdr.maybe("fault_tolerance.machines", "a whole number", Value::as_u64);
    let keeper = rdr.maybe("cloud.address", "an address IP:PORT", address);
    let advisor = rdr.maybe("advice", "an address IP:PORT", address);
    let open_files = rdr.maybe("limits.max_fds", "a whole number", Value::as_u64);
    let memory_mb = rdr.maybe("limits.memory_mb", "a whole number", Value::as_u64);
    let timing = timing(rdr);
    Some(Settings {
        node: node?,
        ip: ip?,
        bind_ip,
        clock_offset_ms: offset.unwrap_or(0),
        link_port: link_port?,
        seeds: seeds?,
        first_start: first_start.unwrap_or(false),
        data_folder,
        front,
        ready,
        control,
        losses_borne: usize::try_from(losses.unwrap_or(1)).ok()?,
        grant: Grant {
            open_files: open_files.map_or_else(open_files_limit, as_size),
            memory_bytes: memory_mb.map(|mb| as_size(mb).saturating_mul(1 << 20)),
        },
        keeper,
        advisor,
        timing: timing?,
    })
}

/// The process's own limit, if the platform tells none.
fn open_files_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, as_size)
}

fn as_size(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

fn timing(rdr: &mut Reader) -> Option<Timing> {
    let report_interval_ms = rdr.ms("heartbeat_ms");
    let lease_max_ms = rdr.ms("bounds.max_hold_ms");
    let stop_timeout_ms = rdr.ms("bounds.stop_timeout_ms");
    let remember_ms = rdr.s_as_ms("bounds.status_s");
    let upkeep_ms = rdr.s_as_ms("bounds.maintenance_s");
    let grace_ms = rdr.s_as_ms("bounds.grace_s");
    let early_ms = rdr.ms("bounds.early_ms");
    let notice_ms = rdr.ms("bounds.notice_ms");
    Some(Timing {
        report_interval_ms: report_interval_ms?,
        lease_max_ms: lease_max_ms?,
        stop_timeout_ms: stop_timeout_ms?,
        remember_ms: remember_ms?,
        upkeep_ms: upkeep_ms?,
        grace_ms: grace_ms?,
        early_ms: early_ms?,
        notice_ms: notice_ms?,
    })
}
