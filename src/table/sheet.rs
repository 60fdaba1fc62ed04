use std::io::{self, Read, Write};

use crate::model::{Row, RowKey, VersionedRow};
use crate::state::{RowChange, State};

use super::check::{check_keys, check_rows};
use super::{CellError, Column, Fault, MAX_ROWS};

/// Bytes of a sheet. A row has about 50, so this is beyond [`MAX_ROWS`] of
/// them with long names.
pub const MAX_SHEET_BYTES: u64 = 1024 * 1024;

/// Wrong cells reported at once; a sheet with more is not the table at all.
pub const MAX_ERRORS: usize = 1_000;

/// Bytes of a name.
pub const MAX_NAME_BYTES: usize = 64;

/// Characters of a wrong value that are shown.
const SHOWN_CHARS: usize = 40;

/// A row with its number in the sheet.
type Numbered = (u32, RowChange);

/// What a sheet holds.
#[derive(Default)]
struct Parsed {
    rows: Vec<Numbered>,
    errors: Vec<CellError>,
    /// Rows with a wrong cell whose names can be read, so that wrong names are
    /// told in the same list.
    unreadable: Vec<(u32, RowKey)>,
}

impl Parsed {
    fn wrong(errors: Vec<CellError>) -> Self {
        Self {
            errors,
            ..Self::default()
        }
    }
}

/// A row with a wrong cell.
struct Unread {
    key: Option<RowKey>,
    errors: Vec<CellError>,
}

impl From<CellError> for Unread {
    fn from(error: CellError) -> Self {
        Self {
            key: None,
            errors: vec![error],
        }
    }
}

/// Reads the rows of a sheet.
///
/// # Errors
/// Every wrong cell, or a read that failed.
pub fn read(rdr: impl Read) -> Result<Vec<RowChange>, Vec<CellError>> {
    let Parsed { rows, errors, .. } = parse(&slurp(rdr)?);
    if errors.is_empty() {
        Ok(rows.into_iter().map(|(_, row)| row).collect())
    } else {
        Err(errors)
    }
}

/// Reads a sheet and checks it against the state, in one list of errors.
///
/// # Errors
/// Every wrong cell, in the order of the sheet.
pub fn review(
    rdr: impl Read,
    confirm_jump: bool,
    state: &State,
) -> Result<Vec<RowChange>, Vec<CellError>> {
    let Parsed {
        rows,
        mut errors,
        unreadable,
    } = parse(&slurp(rdr)?);
    let numbered: Vec<(u32, &RowChange)> = rows.iter().map(|(n, row)| (*n, row)).collect();
    errors.extend(check_rows(&numbered, confirm_jump, state));
    errors.extend(check_keys(&unreadable, state));
    errors.sort_by_key(|e| (e.row, e.column));
    errors.truncate(MAX_ERRORS);
    if errors.is_empty() {
        Ok(rows.into_iter().map(|(_, row)| row).collect())
    } else {
        Err(errors)
    }
}

/// Writes rows as a sheet that can be edited and sent back.
///
/// # Errors
/// Those of the writer.
pub fn write<'a>(
    wtr: impl Write,
    rows: impl IntoIterator<Item = (&'a RowKey, &'a VersionedRow)>,
) -> io::Result<()> {
    let mut wtr = csv::Writer::from_writer(wtr);
    wtr.write_record(Column::SHEET.map(|column| column.to_string()))?;
    for (key, row) in rows {
        let (kind, name, zone) = match key {
            RowKey::Service { service, zone } => ("service", service.as_str(), zone.as_str()),
            RowKey::Team { team } => ("team", team.as_str(), ""),
        };
        wtr.write_record([
            kind,
            name,
            zone,
            &row.row.weight.to_string(),
            &row.row.limit_in_flight.to_string(),
            &row.row.queue_ms.to_string(),
            &row.version.to_string(),
        ])?;
    }
    wtr.flush()
}

fn slurp(rdr: impl Read) -> Result<Vec<u8>, Vec<CellError>> {
    let mut bytes = Vec::new();
    let read = rdr.take(MAX_SHEET_BYTES + 1).read_to_end(&mut bytes);
    let fault = match read {
        Err(_) => Fault::Malformed,
        Ok(n) if n as u64 > MAX_SHEET_BYTES => Fault::TooLarge {
            limit: MAX_SHEET_BYTES,
            unit: "bytes".into(),
        },
        Ok(_) => return Ok(bytes),
    };
    Err(vec![error(1, Column::Whole, "", fault)])
}

/// Reads what can be read and reports the rest.
///
/// The sheet is split into lines before CSV is read, so that a row's number is
/// the one that the spreadsheet shows, and an open quote spoils one row only.
fn parse(bytes: &[u8]) -> Parsed {
    // Spreadsheets put a byte order mark in front of UTF-8.
    let bytes = bytes.strip_prefix(b"\xef\xbb\xbf").unwrap_or(bytes);
    let mut lines: Vec<&[u8]> = bytes
        .split(|b| *b == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
        .collect();
    while lines.last().is_some_and(|line| line.is_empty()) {
        lines.pop();
    }
    let (Some(header), rest) = (lines.first(), lines.get(1..).unwrap_or(&[])) else {
        return Parsed::wrong(missing(&Column::SHEET));
    };
    let order = match columns(header) {
        Ok(order) => order,
        Err(errors) => return Parsed::wrong(errors),
    };
    if rest.len() > MAX_ROWS {
        let fault = Fault::TooLarge {
            limit: MAX_ROWS as u64,
            unit: "rows".into(),
        };
        return Parsed::wrong(vec![error(1, Column::Whole, "", fault)]);
    }
    let mut parsed = Parsed::default();
    for (number, line) in (2..).zip(rest) {
        match row(number, line, &order) {
            Ok(row) => parsed.rows.push((number, row)),
            Err(unread) => {
                parsed.errors.extend(unread.errors);
                parsed
                    .unreadable
                    .extend(unread.key.map(|key| (number, key)));
            }
        }
    }
    parsed.errors.truncate(MAX_ERRORS);
    parsed
}

fn missing(columns: &[Column]) -> Vec<CellError> {
    columns
        .iter()
        .map(|column| error(1, *column, "", Fault::MissingColumn))
        .collect()
}

/// The columns in the sheet's order, which may differ from ours.
fn columns(header: &[u8]) -> Result<Vec<Column>, Vec<CellError>> {
    let cells = cells(1, header).map_err(|e| vec![e])?;
    let mut order = Vec::new();
    let mut errors = Vec::new();
    for cell in &cells {
        let known = Column::SHEET.iter().find(|c| c.to_string() == *cell);
        match known {
            Some(column) if !order.contains(column) => order.push(*column),
            _ => errors.push(error(1, Column::Whole, cell, Fault::ExtraColumn)),
        }
    }
    let absent: Vec<Column> = Column::SHEET
        .into_iter()
        .filter(|column| !order.contains(column))
        .collect();
    errors.extend(missing(&absent));
    errors.truncate(MAX_ERRORS);
    if errors.is_empty() {
        Ok(order)
    } else {
        Err(errors)
    }
}

/// The trimmed cells of one line.
fn cells(number: u32, line: &[u8]) -> Result<Vec<String>, CellError> {
    let text = std::str::from_utf8(line).map_err(|_| {
        let shown = String::from_utf8_lossy(line);
        error(number, Column::Whole, &shown, Fault::NotUtf8)
    })?;
    let malformed = || error(number, Column::Whole, text, Fault::Malformed);
    if text.matches('"').count() % 2 == 1 {
        return Err(malformed());
    }
    let mut rdr = csv::ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .from_reader(line);
    let record = rdr.records().next().and_then(Result::ok);
    let record = record.ok_or_else(malformed)?;
    Ok(record.iter().map(|cell| cell.trim().to_owned()).collect())
}

fn row(number: u32, line: &[u8], order: &[Column]) -> Result<RowChange, Unread> {
    if line
        .iter()
        .all(|b| matches!(b, b',' | b' ' | b'\t' | b'\r'))
    {
        let fault = Fault::EmptyRow;
        return Err(error(number, Column::Whole, "", fault).into());
    }
    let cells = cells(number, line)?;
    if cells.len() != order.len() {
        let fault = Fault::CellCount {
            cells: u32::try_from(cells.len()).unwrap_or(u32::MAX),
            columns: Column::SHEET.len() as u32,
        };
        let shown = cells.join(",");
        return Err(error(number, Column::Whole, &shown, fault).into());
    }
    let mut line = Line {
        number,
        cells: &cells,
        order,
        errors: Vec::new(),
    };
    let key = line.key();
    let row = line.row();
    let expected_version = line.version();
    match (key, row, expected_version) {
        (Some(key), Some(row), Some(expected_version)) if line.errors.is_empty() => Ok(RowChange {
            key,
            expected_version,
            row,
        }),
        (key, _, _) => Err(Unread {
            key,
            errors: line.errors,
        }),
    }
}

/// One row while it is read.
struct Line<'a> {
    number: u32,
    cells: &'a [String],
    order: &'a [Column],
    errors: Vec<CellError>,
}

impl<'a> Line<'a> {
    fn cell(&self, column: Column) -> &'a str {
        let at = self.order.iter().position(|c| *c == column);
        at.and_then(|at| self.cells.get(at))
            .map_or("", String::as_str)
    }

    fn wrong(&mut self, column: Column, fault: Fault) {
        let value = self.cell(column);
        self.errors.push(error(self.number, column, value, fault));
    }

    fn key(&mut self) -> Option<RowKey> {
        let name = self.name(Column::Name, Fault::EmptyName);
        match self.cell(Column::Kind) {
            "service" => {
                let zone = self.name(Column::Zone, Fault::EmptyZone);
                Some(RowKey::Service {
                    service: name?.into(),
                    zone: zone?.into(),
                })
            }
            "team" => {
                if !self.cell(Column::Zone).is_empty() {
                    self.wrong(Column::Zone, Fault::ZoneForTeam);
                }
                Some(RowKey::Team { team: name?.into() })
            }
            _ => {
                self.wrong(Column::Kind, Fault::UnknownKind);
                None
            }
        }
    }

    fn name(&mut self, column: Column, empty: Fault) -> Option<&'a str> {
        let name = self.cell(column);
        let fault = if name.is_empty() {
            empty
        } else if !is_name(name) {
            Fault::BadName
        } else {
            return Some(name);
        };
        self.wrong(column, fault);
        None
    }

    /// The row wanted, `Some(None)` where all of its cells are empty.
    fn row(&mut self) -> Option<Option<Row>> {
        let columns = [Column::Weight, Column::Limit, Column::Queue];
        if columns.iter().all(|c| self.cell(*c).is_empty()) {
            return Some(None);
        }
        let weight = self.number(Column::Weight, u64::from(u32::MAX));
        let limit = self.number(Column::Limit, u64::from(u32::MAX));
        let queue_ms = self.number(Column::Queue, u64::MAX);
        Some(Some(Row {
            weight: u32::try_from(weight?).ok()?,
            limit_in_flight: u32::try_from(limit?).ok()?,
            queue_ms: queue_ms?,
        }))
    }

    fn version(&mut self) -> Option<u64> {
        if self.cell(Column::Version).is_empty() {
            return Some(0);
        }
        self.number(Column::Version, u64::MAX)
    }

    fn number(&mut self, column: Column, max: u64) -> Option<u64> {
        let cell = self.cell(column);
        // `parse` would take "+8", which a spreadsheet does not write.
        let digits = !cell.is_empty() && cell.bytes().all(|b| b.is_ascii_digit());
        let number = cell.parse().ok().filter(|n| digits && *n <= max);
        if number.is_none() {
            self.wrong(column, Fault::NotANumber { max });
        }
        number
    }
}

/// Whether a text can name something in the table.
///
/// Letters, digits and `. _ -` only, starting with a letter or digit: a cell
/// that starts with `=` or `+` is a formula to the spreadsheet that opens the
/// table next.
pub(super) fn is_name(text: &str) -> bool {
    text.len() <= MAX_NAME_BYTES
        && text.starts_with(|c: char| c.is_alphanumeric())
        && text
            .chars()
            .all(|c| c.is_alphanumeric() || matches!(c, '.' | '_' | '-'))
}

pub(super) fn error(row: u32, column: Column, value: &str, fault: Fault) -> CellError {
    let value = value
        .chars()
        .map(|c| if c.is_control() { '?' } else { c })
        .take(SHOWN_CHARS)
        .collect();
    CellError {
        row,
        column,
        value,
        fault,
    }
}
