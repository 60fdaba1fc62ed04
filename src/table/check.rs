use std::collections::BTreeMap;

use crate::model::{Class, Demand, Pool, Row, RowKey, ServiceName, ZoneName};
use crate::state::{RowChange, State};

use super::sheet::{MAX_ERRORS, error, is_name};
use super::sites::{Carry, Sites};
use super::{CellError, Column, Fault};

/// Largest weight.
pub const MAX_WEIGHT: u32 = 100;

/// Longest wait of an urgent request, in milliseconds: nobody looks at a page
/// that loads for more than a minute.
pub const MAX_URGENT_WAIT_MS: u64 = 60_000;

/// Longest wait of anything else, in milliseconds: a week, the period of the
/// slowest work there is.
pub const MAX_WAIT_MS: u64 = 7 * 24 * 60 * 60 * 1_000;

/// A change by this factor either way needs confirmation. A digit too many or
/// too few changes a number by about 10; what seasons ask for is up to 3.
pub const JUMP_FACTOR: u64 = 5;

/// Rows that the table may hold and a change may set: 100 services in 20 zones.
pub const MAX_ROWS: usize = 2_000;

/// Checks wanted rows against the state; the rows are taken to stand in a
/// sheet from row 2 on.
pub fn check(rows: &[RowChange], confirm_jump: bool, state: &State) -> Vec<CellError> {
    let numbered: Vec<(u32, &RowChange)> = (2..).zip(rows).collect();
    let mut errors = check_rows(&numbered, confirm_jump, state);
    errors.sort_by_key(|e| (e.row, e.column));
    errors
}

/// As [`check`], with the rows' own numbers.
pub(super) fn check_rows(
    rows: &[(u32, &RowChange)],
    confirm_jump: bool,
    state: &State,
) -> Vec<CellError> {
    let new = rows.iter().filter(|(_, r)| state.row_version(&r.key) == 0);
    if rows.len() > MAX_ROWS || state.rows().len() + new.count() > MAX_ROWS {
        let fault = Fault::TooLarge {
            limit: MAX_ROWS as u64,
            unit: "rows".into(),
        };
        return vec![error(1, Column::Whole, "", fault)];
    }
    let mut check = Check::new(rows, confirm_jump, state);
    for (number, change) in rows {
        check.one(*number, change);
    }
    check.pools(rows);
    check.errors.truncate(MAX_ERRORS);
    check.errors
}

/// Checks the names of rows that have a wrong cell elsewhere.
pub(super) fn check_keys(keys: &[(u32, RowKey)], state: &State) -> Vec<CellError> {
    let mut check = Check::new(&[], false, state);
    for (number, key) in keys {
        check.key(*number, key);
    }
    check.errors
}

/// A check under way.
struct Check<'a> {
    state: &'a State,
    confirm_jump: bool,
    sites: Sites<'a>,
    /// The rows as they would be.
    after: BTreeMap<&'a RowKey, Row>,
    first: BTreeMap<&'a RowKey, u32>,
    errors: Vec<CellError>,
}

impl<'a> Check<'a> {
    fn new(rows: &[(u32, &'a RowChange)], confirm_jump: bool, state: &'a State) -> Self {
        let mut after: BTreeMap<&RowKey, Row> = state
            .rows()
            .iter()
            .map(|(key, versioned)| (key, versioned.row))
            .collect();
        for (_, change) in rows {
            match change.row {
                Some(row) => after.insert(&change.key, row),
                None => after.remove(&change.key),
            };
        }
        Self {
            state,
            confirm_jump,
            sites: Sites::new(state),
            after,
            first: BTreeMap::new(),
            errors: Vec::new(),
        }
    }

    fn wrong(&mut self, number: u32, column: Column, value: impl ToString, fault: Fault) {
        self.errors
            .push(error(number, column, &value.to_string(), fault));
    }

    fn one(&mut self, number: u32, change: &'a RowChange) {
        self.key(number, &change.key);
        self.twice(number, &change.key);
        self.version(number, change);
        let before = self.state.rows().get(&change.key).map(|row| row.row);
        match change.row {
            // A row that stays as it is was checked when it came; the sheet
            // that is sent back whole must not fail on what has shrunk since.
            Some(row) if Some(row) == before => {}
            Some(row) => {
                self.values(number, &change.key, row);
                self.capacity(number, &change.key, row);
                self.jumps(number, row, before);
            }
            None if before.is_none() => {
                self.wrong(number, Column::Whole, "", Fault::NothingToRemove);
            }
            None if !self.confirm_jump => {
                self.wrong(number, Column::Whole, "", Fault::Removal);
            }
            None => {}
        }
    }

    /// Names again, because rows also arrive without a sheet.
    fn key(&mut self, number: u32, key: &RowKey) {
        match key {
            RowKey::Service { service, zone } => {
                if self.name(number, Column::Name, service.as_str())
                    && self.state.fleet().carrier(service).is_none()
                {
                    self.wrong(number, Column::Name, service, Fault::UnknownService);
                }
                if self.name(number, Column::Zone, zone.as_str()) && !self.sites.has_zone(zone) {
                    self.wrong(number, Column::Zone, zone, Fault::UnknownZone);
                }
            }
            RowKey::Team { team } => {
                self.name(number, Column::Name, team.as_str());
            }
        }
    }

    fn name(&mut self, number: u32, column: Column, name: &str) -> bool {
        let fault = match column {
            _ if is_name(name) => return true,
            Column::Zone if name.is_empty() => Fault::EmptyZone,
            _ if name.is_empty() => Fault::EmptyName,
            _ => Fault::BadName,
        };
        self.wrong(number, column, name, fault);
        false
    }

    fn twice(&mut self, number: u32, key: &'a RowKey) {
        let first = *self.first.entry(key).or_insert(number);
        if first != number {
            self.wrong(number, Column::Name, name(key), Fault::Duplicate { first });
        }
    }

    fn version(&mut self, number: u32, change: &RowChange) {
        let version = self.state.row_version(&change.key);
        if change.expected_version != version {
            let row = self.state.rows().get(&change.key).cloned().map(Box::new);
            self.wrong(
                number,
                Column::Version,
                change.expected_version,
                Fault::Version { version, row },
            );
        }
    }

    fn values(&mut self, number: u32, key: &RowKey, row: Row) {
        if row.weight > MAX_WEIGHT {
            let fault = Fault::WeightTooLarge { max: MAX_WEIGHT };
            self.wrong(number, Column::Weight, row.weight, fault);
        }
        if row.limit_in_flight == 0 {
            self.wrong(number, Column::Limit, 0, Fault::ZeroLimit);
        }
        let max_ms = self.max_wait_ms(key);
        if row.queue_ms > max_ms {
            let fault = Fault::QueueTooLong { max_ms };
            self.wrong(number, Column::Queue, row.queue_ms, fault);
        }
    }

    fn max_wait_ms(&self, key: &RowKey) -> u64 {
        let RowKey::Service { service, .. } = key else {
            return MAX_WAIT_MS;
        };
        match self.carried(service) {
            Some((_, Class::Urgent, _)) => MAX_URGENT_WAIT_MS,
            _ => MAX_WAIT_MS,
        }
    }

    /// The pool of a service, its class and the need of one request.
    fn carried(&self, service: &ServiceName) -> Option<(&'a Pool, Class, Demand)> {
        let state = self.state;
        let pool = state.fleet().carrier(service)?;
        let found = pool.services.iter().find(|s| s.name == *service)?;
        Some((pool, found.class, found.demand))
    }

    /// A limit beyond what the instances carry protects nothing: the typing
    /// slip 80 for 8 would take effect as "no limit".
    fn capacity(&mut self, number: u32, key: &RowKey, row: Row) {
        let Carry {
            capacity,
            instances,
        } = match key {
            RowKey::Service { service, zone } => match self.carried(service) {
                Some((pool, _, demand)) => self.sites.carry(pool, zone, demand),
                None => return,
            },
            RowKey::Team { .. } => self.sites.all(),
        };
        // Before the first upstream of the pool has said what it carries there
        // is nothing to compare with.
        if capacity > 0 && u64::from(row.limit_in_flight) > capacity {
            let fault = Fault::LimitAboveCapacity {
                capacity,
                instances,
            };
            self.wrong(number, Column::Limit, row.limit_in_flight, fault);
        }
    }

    fn jumps(&mut self, number: u32, row: Row, before: Option<Row>) {
        let Some(before) = before.filter(|_| !self.confirm_jump) else {
            return;
        };
        let cells = [
            (Column::Weight, before.weight.into(), row.weight.into()),
            (
                Column::Limit,
                before.limit_in_flight.into(),
                row.limit_in_flight.into(),
            ),
            (Column::Queue, before.queue_ms, row.queue_ms),
        ];
        for (column, from, to) in cells {
            // A limit of 0 has its own message.
            if is_jump(from, to) && !(column == Column::Limit && to == 0) {
                self.wrong(number, column, to, Fault::Jump { from, to });
            }
        }
    }

    /// Checks what the change does to services and pools as a whole.
    fn pools(&mut self, rows: &[(u32, &'a RowChange)]) {
        for (number, change) in rows {
            let (RowKey::Service { service, .. }, Some(row)) = (&change.key, change.row) else {
                continue;
            };
            let before = self.state.rows().get(&change.key).map(|row| row.row);
            let Some((pool, ..)) = self.carried(service).filter(|_| before != Some(row)) else {
                continue;
            };
            let zones = self.sites.zones_of(pool);
            if row.weight == 0 && self.is_closed(service, &zones) {
                self.wrong(*number, Column::Weight, 0, Fault::LastOpenZone);
            }
            let min_available = pool.budget.min_available;
            match self.total_limit(pool, &zones) {
                Some(total) if total < u64::from(min_available) && row.limit_in_flight > 0 => {
                    let fault = Fault::LimitBelowBudget {
                        total,
                        min_available,
                    };
                    self.wrong(*number, Column::Limit, row.limit_in_flight, fault);
                }
                _ => {}
            }
        }
    }

    fn row_after(&self, service: &ServiceName, zone: &ZoneName) -> Option<Row> {
        let key = RowKey::Service {
            service: service.clone(),
            zone: zone.clone(),
        };
        self.after.get(&key).copied()
    }

    /// Whether the service would have weight 0 in every zone. A zone without a
    /// row is open.
    fn is_closed(&self, service: &ServiceName, zones: &[&ZoneName]) -> bool {
        zones.iter().all(|zone| {
            self.row_after(service, zone)
                .is_some_and(|row| row.weight == 0)
        })
    }

    /// The sum of the pool's limits, none if some zone has no limit.
    fn total_limit(&self, pool: &Pool, zones: &[&ZoneName]) -> Option<u64> {
        let mut total = 0;
        for service in &pool.services {
            for zone in zones {
                let row = self.row_after(&service.name, zone)?;
                total += u64::from(row.limit_in_flight);
            }
        }
        Some(total)
    }
}

fn is_jump(from: u64, to: u64) -> bool {
    if from == 0 || from == to {
        return false;
    }
    to == 0 || to >= from.saturating_mul(JUMP_FACTOR) || from >= to.saturating_mul(JUMP_FACTOR)
}

fn name(key: &RowKey) -> &str {
    match key {
        RowKey::Service { service, .. } => service.as_str(),
        RowKey::Team { team } => team.as_str(),
    }
}
