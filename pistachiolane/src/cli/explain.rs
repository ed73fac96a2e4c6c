//! `explain`: the timeline of one request from the log lines of many nodes.

use {
    super::Exit,
    serde_json::{Map, Value},
    std::{
        collections::HashSet,
        io::{self, BufRead, Write},
    },
};

/// Fields that the timeline prints apart from the others.
const OWN_FIELDS: [&str; 5] = ["time", "level", "target", "message", "request"];

struct Line {
    /// What stands before the JSON, as a host's name that a collector adds.
    source: String,
    fields: Map<String, Value>,
}

impl Line {
    fn read(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields = serde_json::from_str(&text[start..]).ok()?;
        Some(Self { source: text[..start].trim().to_owned(), fields })
    }

    fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    fn time(&self) -> f64 {
        self.fields.get("time").and_then(Value::as_f64).unwrap_or(0.0)
    }

    fn print(&self, out: &mut impl Write) -> io::Result<()> {
        let rest = self.fields.iter().filter(|(name, _)| !OWN_FIELDS.contains(&name.as_str()));
        let rest: Vec<String> = rest
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        let (target, message) = (self.text("target"), self.text("message"));
        writeln!(out, "{:.6} {} {target}: {message} {}", self.time(), self.source, rest.join(" "))
    }
}

/// Prints the lines that concern a request, those of its attempts at gates included, in the order of time.
///
/// # Errors
/// Fails when the input cannot be read or the output not be written.
pub fn explain(request: &str, input: impl BufRead, out: &mut impl Write) -> io::Result<Exit> {
    let mut own = Vec::new();
    let mut others = Vec::new();
    for line in input.lines() {
        // A line that is not the log's, as of another program, tells nothing here.
        let Some(line) = Line::read(&line?) else { continue };
        match line.text("request") {
            id if id == request => own.push(line),
            "" if !line.text("attempt").is_empty() => others.push(line),
            _ => {}
        }
    }
    let attempts: HashSet<String> =
        own.iter().map(|l| l.text("attempt").to_owned()).filter(|a| !a.is_empty()).collect();
    others.retain(|l| attempts.contains(l.text("attempt")));
    own.extend(others);
    own.sort_by(|a, b| a.time().total_cmp(&b.time()));
    for line in &own {
        line.print(out)?;
    }
    if own.is_empty() {
        writeln!(out, "no line names the request {request}")?;
        return Ok(Exit::Failed);
    }
    Ok(Exit::Done)
}
