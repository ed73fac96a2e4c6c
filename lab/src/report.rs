//! Report of an experiment: measurements, and checks of measured values against bounds.

use {
    serde::Serialize,
    serde_json::{Map, Value, json},
};

/// Comparison of a measured value with its bound.
#[derive(Clone, Debug, Serialize)]
pub struct Check {
    /// Name of the check.
    pub name: String,
    /// Upper or lower bound, taken from a stated target.
    pub bound: f64,
    /// Measured value.
    #[serde(rename = "figure")]
    pub value: f64,
    /// Whether the value is within its bound.
    #[serde(rename = "held")]
    pub passed: bool,
}

impl Check {
    /// Checks that a value does not exceed its bound.
    pub fn at_most(name: impl Into<String>, bound: f64, value: f64) -> Self {
        Self { name: name.into(), bound, value, passed: value <= bound }
    }

    /// Checks that a value reaches its bound.
    pub fn at_least(name: impl Into<String>, bound: f64, value: f64) -> Self {
        Self { name: name.into(), bound, value, passed: value >= bound }
    }
}

/// Result of one experiment.
#[derive(Clone, Debug)]
pub struct Report {
    name: String,
    seed: u64,
    measurements: Map<String, Value>,
    checks: Vec<Check>,
}

impl Report {
    /// Returns an empty report.
    pub fn new(name: &str, seed: u64) -> Self {
        Self { name: name.to_owned(), seed, measurements: Map::new(), checks: Vec::new() }
    }

    /// Adds a measurement, or replaces an existing one of the same name.
    pub fn add_measurement(&mut self, name: &str, value: Value) {
        self.measurements.insert(name.to_owned(), value);
    }

    /// Adds a check.
    pub fn add_check(&mut self, check: Check) {
        self.checks.push(check);
    }

    /// Whether every check passed.
    pub fn passed(&self) -> bool {
        self.checks.iter().all(|c| c.passed)
    }

    /// Returns the report as one JSON object.
    pub fn json(&self) -> Value {
        json!({
            "experiment": self.name,
            "seed": self.seed,
            "held": self.passed(),
            "figures": self.measurements,
            "checks": self.checks,
        })
    }

    /// Returns the report as a text table.
    pub fn table(&self) -> String {
        let mut lines = vec![format!("{} (seed {})", self.name, self.seed)];
        for (name, value) in &self.measurements {
            lines.push(format!("  {name:<28} {}", format_value(value)));
        }
        for check in &self.checks {
            let verdict = if check.passed { "held  " } else { "MISSED" };
            let Check { name, bound, value, .. } = check;
            lines.push(format!("  {verdict} {name:<42} figure {value:<10.4} bound {bound}"));
        }
        lines.join("\n")
    }
}

fn format_value(value: &Value) -> String {
    match value {
        Value::Object(map) => map
            .iter()
            .map(|(k, v)| format!("{k} {}", format_value(v)))
            .collect::<Vec<_>>()
            .join("  "),
        Value::Number(n) => match n.as_f64() {
            Some(f) if n.is_f64() => format!("{f:.3}"),
            _ => n.to_string(),
        },
        other => other.to_string(),
    }
}
