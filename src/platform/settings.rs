use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use rustix::process::{Resource, getrlimit};
use serde_json::Value;

use super::SettingsFault;
use super::reader::SettingsReader;
use crate::control::{Grant, Location, Timing, Tolerance};
use crate::model::EntryName;

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "ROSEMARYGAUGE_CONFIG";

/// Orders to the machine manager in a second, if the settings name no rate.
const DEFAULT_MACHINE_ORDERS_PER_S: f64 = 64.0;
/// Time that a run takes to restore its progress, if the settings have none.
const DEFAULT_RESTORE_MS: u64 = 600;

/// Validated settings of an instance. The platform writes them as JSON from a template with all
/// fields.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the machine, used in logs and as lease holder in orders to machines.
    pub node: String,
    /// IP address of the machine, which is also the instance's name.
    pub ip: IpAddr,
    /// Address that listeners are bound to if it differs from `ip`, because a proxy forwards to
    /// the instance. The platform does not set it.
    pub bind_ip: Option<IpAddr>,
    /// Offset that is added to the wall clock, in milliseconds. The platform does not set it; a
    /// test uses it to shift one instance's clock without changing the machine's.
    pub clock_offset_ms: i64,
    /// Port for links between instances, the first of the port range.
    pub link_port: u16,
    /// Addresses at which control instances accept calls; at most three.
    pub seeds: Vec<SocketAddr>,
    /// Whether the cluster is bootstrapped, that is, starts for the first time.
    pub first_start: bool,
    /// Data folder of a control instance.
    pub data_folder: Option<PathBuf>,
    /// Listener for callers.
    pub front: Option<SocketAddr>,
    /// Listener for the load balancer's readiness checks.
    pub ready: Option<SocketAddr>,
    /// Listener for workers and operators.
    pub control: Option<SocketAddr>,
    /// Where the instance runs.
    pub location: Location,
    /// The losses that the control instances must survive.
    pub tolerance: Tolerance,
    /// Resources that the instance may use.
    pub grant: Grant,
    /// Address of the machine manager, if there is one.
    pub machine_manager: Option<SocketAddr>,
    /// Orders that the machine manager accepts in a second, from all instances together.
    pub machine_orders_per_s: f64,
    /// Address of the placement advisor, if there is one.
    pub advisor: Option<SocketAddr>,
    /// Timeouts and intervals of the deployment.
    pub timing: Timing,
}

impl Settings {
    /// Reads the settings file that [`SETTINGS_VARIABLE`] names.
    ///
    /// # Errors
    /// Returns all faults.
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

    /// Parses settings in JSON.
    ///
    /// # Errors
    /// Returns all faults.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingsFault>> {
        let value: Value = serde_json::from_str(text).map_err(|err| {
            vec![SettingsFault::NotJson {
                cause: err.to_string(),
            }]
        })?;
        let mut rdr = SettingsReader::new(&value);
        let settings = read(&mut rdr);
        match settings {
            Some(settings) if rdr.faults.is_empty() => Ok(settings),
            _ => Err(rdr.faults),
        }
    }

    /// Returns the address that a listener for `address` is bound to.
    pub fn bind_address(&self, address: SocketAddr) -> SocketAddr {
        (self.bind_ip.unwrap_or(address.ip()), address.port()).into()
    }

    /// Returns the name of this instance, which is its IP address.
    pub fn me(&self) -> EntryName {
        EntryName::from(self.ip.to_string())
    }

    /// Returns the names of the control instances in `seeds`.
    pub fn seed_names(&self) -> Vec<EntryName> {
        let names = self.seeds.iter().map(|seed| seed.ip().to_string());
        names.map(EntryName::from).collect()
    }

    /// Returns the address at which the named control instance accepts calls. The port is the
    /// same on all machines.
    pub fn control_address(&self, name: &EntryName) -> Option<SocketAddr> {
        let port = self.control.or_else(|| self.seeds.first().copied())?.port();
        Some((name.as_str().parse::<IpAddr>().ok()?, port).into())
    }
}

fn read(rdr: &mut SettingsReader) -> Option<Settings> {
    let text = |v: &Value| v.as_str().map(str::to_owned);
    let address = |v: &Value| v.as_str()?.parse::<SocketAddr>().ok();
    let ip = rdr.required("ip", "an IP address", |v| {
        v.as_str()?.parse::<IpAddr>().ok()
    });
    let link_port = rdr.required("port_range", "a list of two ports", |v| {
        u16::try_from(v.get(0)?.as_u64()?).ok()
    });
    let seeds = rdr.required("seeds", "a list of addresses IP:PORT", |v| {
        v.as_array()?
            .iter()
            .map(address)
            .collect::<Option<Vec<_>>>()
    });
    let node = rdr.required("node", "the machine's name", text);
    let bind_ip = rdr.optional("bind_ip", "an IP address", |v| v.as_str()?.parse().ok());
    let offset = rdr.optional("clock_offset_ms", "a whole number", Value::as_i64);
    let first_start = rdr.optional("bootstrap", "true or false", Value::as_bool);
    let data_folder = rdr
        .optional("data_dir", "a folder", text)
        .map(PathBuf::from);
    let front = rdr.optional("listen.front", "an address IP:PORT", address);
    let ready = rdr.optional("listen.ready", "an address IP:PORT", address);
    let control = rdr.optional("listen.control", "an address IP:PORT", address);
    let region = rdr.optional("region", "the name of a region", text);
    let machines = rdr.optional("fault_tolerance.machines", "a whole number", Value::as_u64);
    let zones = rdr.optional("fault_tolerance.zones", "a whole number", Value::as_u64);
    // Instances that are not told their zone count as one zone, whose loss is not survived.
    let zone = rdr.optional("zone", "the name of an availability zone", text);
    let regions = rdr.optional(
        "fault_tolerance.region_count",
        "a whole number",
        Value::as_u64,
    );
    let machine_manager = rdr.optional("cloud.address", "an address IP:PORT", address);
    let orders = rdr.optional("cloud.duty_per_s", "a number above 0", |v| {
        v.as_f64().filter(|per_s| *per_s > 0.0)
    });
    let advisor = rdr.optional("advice", "an address IP:PORT", address);
    let open_files = rdr.optional("limits.max_fds", "a whole number", Value::as_u64);
    let memory_mb = rdr.optional("limits.memory_mb", "a whole number", Value::as_u64);
    let timing = read_timing(rdr);
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
        location: Location {
            region: region.filter(|name| !name.is_empty()).map(Into::into),
            zone: zone.unwrap_or_default().into(),
        },
        tolerance: Tolerance {
            instances: saturating_usize(machines.unwrap_or(1)),
            zones: saturating_usize(zones.unwrap_or(0)),
            regions: saturating_usize(regions.unwrap_or(0)),
        },
        grant: Grant {
            open_files: open_files.map_or_else(open_files_limit, saturating_usize),
            memory_bytes: memory_mb.map(|mb| saturating_usize(mb).saturating_mul(1 << 20)),
        },
        machine_manager,
        machine_orders_per_s: orders.unwrap_or(DEFAULT_MACHINE_ORDERS_PER_S),
        advisor,
        timing: timing?,
    })
}

/// Returns the process's limit on open files, used if the settings have none.
fn open_files_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, saturating_usize)
}

fn saturating_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

fn read_timing(rdr: &mut SettingsReader) -> Option<Timing> {
    let report_interval_ms = rdr.required_ms("heartbeat_ms");
    let lease_max_ms = rdr.required_ms("bounds.max_hold_ms");
    let stop_timeout_ms = rdr.required_ms("bounds.stop_timeout_ms");
    let restore_ms = rdr.optional(
        "bounds.restore_ms",
        "a whole number of milliseconds",
        Value::as_u64,
    );
    let remember_ms = rdr.required_s_as_ms("bounds.status_s");
    let upkeep_ms = rdr.required_s_as_ms("bounds.maintenance_s");
    let grace_ms = rdr.required_s_as_ms("bounds.grace_s");
    let early_ms = rdr.required_ms("bounds.early_ms");
    let notice_ms = rdr.required_ms("bounds.notice_ms");
    Some(Timing {
        report_interval_ms: report_interval_ms?,
        lease_max_ms: lease_max_ms?,
        stop_timeout_ms: stop_timeout_ms?,
        restore_ms: restore_ms.unwrap_or(DEFAULT_RESTORE_MS),
        remember_ms: remember_ms?,
        upkeep_ms: upkeep_ms?,
        grace_ms: grace_ms?,
        early_ms: early_ms?,
        notice_ms: notice_ms?,
    })
}
