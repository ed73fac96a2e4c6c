//! The `explain` command: prints the timeline of a request from the log lines of several nodes.

use {
    super::Exit,
    serde_json::{Map, Value},
    std::{
        collections::HashSet,
        io::{self, BufRead, Write},
    },
};

/// Fields that are not printed as `name=value`.
const STANDARD_FIELDS: [&str; 5] = ["time", "level", "target", "message", "request"];

struct LogLine {
    /// Text before the JSON, such as a host name that a log collector adds.
    source: String,
    fields: Map<String, Value>,
}

impl LogLine {
    fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields = serde_json::from_str(&text[start..]).ok()?;
        Some(Self { source: text[..start].trim().to_owned(), fields })
    }

    fn string_field(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    fn time(&self) -> f64 {
        self.fields.get("time").and_then(Value::as_f64).unwrap_or(0.0)
    }

    fn print(&self, out: &mut impl Write) -> io::Result<()> {
        let fields =
            self.fields.iter().filter(|(name, _)| !STANDARD_FIELDS.contains(&name.as_str()));
        let fields: Vec<String> = fields
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        let (target, message) = (self.string_field("target"), self.string_field("message"));
        writeln!(out, "{:.6} {} {target}: {message} {}", self.time(), self.source, fields.join(" "))
    }
}

/// Prints the log lines of a request and of its attempts at gates, ordered by time.
///
/// # Errors
/// Fails when the input cannot be read or the output cannot be written.
pub fn explain(request: &str, input: impl BufRead, out: &mut impl Write) -> io::Result<Exit> {
    let mut matching = Vec::new();
    let mut gate_lines = Vec::new();
    for line in input.lines() {
        // Lines that are not JSON logs, such as those of another program, are skipped.
        let Some(line) = LogLine::parse(&line?) else { continue };
        match line.string_field("request") {
            id if id == request => matching.push(line),
            "" if !line.string_field("attempt").is_empty() => gate_lines.push(line),
            _ => {}
        }
    }
    let attempts: HashSet<String> = matching
        .iter()
        .map(|l| l.string_field("attempt").to_owned())
        .filter(|a| !a.is_empty())
        .collect();
    gate_lines.retain(|l| attempts.contains(l.string_field("attempt")));
    matching.extend(gate_lines);
    matching.sort_by(|a, b| a.time().total_cmp(&b.time()));
    for line in &matching {
        line.print(out)?;
    }
    if matching.is_empty() {
        writeln!(out, "no log line mentions request {request}")?;
        return Ok(Exit::Failed);
    }
    Ok(Exit::Done)
}
