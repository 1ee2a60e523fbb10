//! Report of a measurement: one row for each quantity, one column for each program.

use std::fmt::{self, Display};

use serde::Serialize;

/// One measured quantity.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    name: String,
    unit: &'static str,
    value: f64,
}

impl Row {
    pub(super) fn new(name: impl Into<String>, unit: &'static str, value: f64) -> Self {
        Self {
            name: name.into(),
            unit,
            value,
        }
    }
}

/// All values of one quantity.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Quantity {
    name: String,
    unit: &'static str,
    /// Values of each program, by round.
    values: Vec<Vec<f64>>,
}

/// Result of a measurement.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CallCostReport {
    programs: Vec<String>,
    quantities: Vec<Quantity>,
}

impl CallCostReport {
    pub(super) fn new(programs: impl Iterator<Item = String>) -> Self {
        Self {
            programs: programs.collect(),
            quantities: Vec::new(),
        }
    }

    /// Adds the rows of one round of the program with this number.
    pub(super) fn add(&mut self, program: usize, rows: Vec<Row>) {
        for row in rows {
            let known = self
                .quantities
                .iter()
                .position(|each| each.name == row.name);
            let position = known.unwrap_or_else(|| {
                self.quantities.push(Quantity {
                    name: row.name,
                    unit: row.unit,
                    values: vec![Vec::new(); self.programs.len()],
                });
                self.quantities.len() - 1
            });
            self.quantities[position].values[program].push(row.value);
        }
    }
}

/// Returns the median, the mean of the middle two of an even number of values.
fn median(values: &[f64]) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let upper = sorted.get(sorted.len() / 2)?;
    let lower = sorted.get(sorted.len().saturating_sub(1) / 2)?;
    Some(f64::midpoint(*lower, *upper))
}

/// Prints the medians of the rounds and, from the second program on, their ratio to the first.
impl Display for CallCostReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:<30} {:<8}", "both sidecars", "")?;
        for (number, program) in self.programs.iter().enumerate() {
            let width = if number == 0 { 12 } else { 20 };
            write!(formatter, " {program:>width$}")?;
        }
        writeln!(formatter)?;
        for quantity in &self.quantities {
            write!(formatter, "{:<30} {:<8}", quantity.name, quantity.unit)?;
            let medians = quantity.values.iter().map(|values| median(values));
            let first = quantity.values.first().and_then(|values| median(values));
            for (number, value) in medians.enumerate() {
                match value {
                    Some(value) => write!(formatter, " {value:>12.2}")?,
                    None => write!(formatter, " {:>12}", "-")?,
                }
                let ratio = value.zip(first).map(|(value, first)| value / first);
                match ratio.filter(|ratio| ratio.is_finite()) {
                    _ if number == 0 => {}
                    Some(ratio) => write!(formatter, " {:>7}", format!("x{ratio:.2}"))?,
                    None => write!(formatter, " {:>7}", "")?,
                }
            }
            writeln!(formatter)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::{CallCostReport, Row, median};

    /// Guards against a median that is an outlier, or that mixes two programs.
    #[test]
    fn each_program_has_the_median_of_its_own_rounds_and_the_ratio_to_the_first() {
        let mut report = CallCostReport::new(["old", "new"].map(str::to_owned).into_iter());
        for (old, new) in [(10.0, 5.0), (90.0, 4.0), (12.0, 6.0)] {
            report.add(0, vec![Row::new("small, processor time", "us/call", old)]);
            report.add(1, vec![Row::new("small, processor time", "us/call", new)]);
        }
        let text = report.to_string();
        let row: Vec<&str> = text.lines().nth(1).unwrap().split_whitespace().collect();
        assert_eq!(row[3..], ["us/call", "12.00", "5.00", "x0.42"]);
    }

    /// Guards against a row that is absent for one program and shifts the columns of the others.
    #[test]
    fn a_missing_value_is_shown_as_missing() {
        let mut report = CallCostReport::new(["old", "new"].map(str::to_owned).into_iter());
        report.add(1, vec![Row::new("at rest", "MiB", 7.0)]);
        let text = report.to_string();
        let row: Vec<&str> = text.lines().nth(1).unwrap().split_whitespace().collect();
        assert_eq!(row, ["at", "rest", "MiB", "-", "7.00"]);
        assert_eq!(median(&[]), None);
    }
}
