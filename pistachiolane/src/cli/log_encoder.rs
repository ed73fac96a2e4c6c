//! One line of the log as JSON.

use {
    super::log_entry::{LogEntry, RetentionClass},
    log::{
        Level, Record,
        kv::{Error, Key, Value, VisitSource, VisitValue},
    },
    serde::ser::{SerializeMap, Serializer},
    std::{
        hash::{DefaultHasher, Hasher},
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Room for a line; most are shorter.
const LINE_BYTES: usize = 448;

/// How lines are counted whose message is made up of parts.
const OTHER_KINDS: &str = "others";

/// Encodes a record: the fields `time` (Unix seconds), `level`, `target`, `message`, and those of its own.
///
/// # Errors
/// Fails when a field cannot be written as JSON.
pub(super) fn encode(record: &Record<'_>) -> serde_json::Result<LogEntry> {
    let mut text = Vec::with_capacity(LINE_BYTES);
    let mut serializer = serde_json::Serializer::new(&mut text);
    let mut map = serializer.serialize_map(None)?;
    // A clock before 1970 shows as 1970; the time of day decides nothing.
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    map.serialize_entry("time", &(time.as_micros() as f64 / 1e6))?;
    map.serialize_entry("level", record.level().as_str())?;
    map.serialize_entry("target", record.target())?;
    match record.args().as_str() {
        Some(message) => map.serialize_entry("message", message)?,
        None => map.serialize_entry("message", record.args())?,
    }
    let is_failure = record.level() <= Level::Warn;
    let mut fields = Fields { map: &mut map, failed: None, subject_hash: 0, is_failure };
    // A visit fails only when the map does, and that is kept.
    let _visited = record.key_values().visit(&mut fields);
    let Fields { failed, subject_hash, is_failure, .. } = fields;
    if let Some(e) = failed {
        return Err(e);
    }
    map.end()?;
    text.push(b'\n');
    let class = match (subject_hash, is_failure) {
        (0, _) => RetentionClass::State,
        (_, true) => RetentionClass::Failure,
        (_, false) => RetentionClass::Ordinary,
    };
    let kind = record.args().as_str().unwrap_or(OTHER_KINDS);
    Ok(LogEntry { text, kind, subject_hash, class })
}

/// Writes fields, and finds out what the line is about and whether it tells of a failure.
struct Fields<'m, M: SerializeMap> {
    map: &'m mut M,
    failed: Option<M::Error>,
    subject_hash: u64,
    is_failure: bool,
}

impl<M: SerializeMap> Fields<'_, M> {
    fn classify(&mut self, key: &str, text: &str) {
        match key {
            // An entry's lines name both, and belong together by the request.
            "request" => self.subject_hash = hash(text),
            "attempt" if self.subject_hash == 0 => self.subject_hash = hash(text),
            "reason" | "why" => self.is_failure |= !text.is_empty(),
            "outcome" => self.is_failure |= text != "answer",
            "end" => self.is_failure |= text != "answered",
            _ => {}
        }
    }

    fn keep<T>(&mut self, written: Result<T, M::Error>) -> Result<(), Error> {
        written.map(|_| ()).map_err(|e| {
            self.failed = Some(e);
            Error::msg("the line could not be written")
        })
    }
}

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for Fields<'_, M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        value.visit(Field { key: key.as_str(), fields: self })
    }
}

struct Field<'f, 'm, M: SerializeMap> {
    key: &'f str,
    fields: &'f mut Fields<'m, M>,
}

impl<'v, M: SerializeMap> VisitValue<'v> for Field<'_, '_, M> {
    fn visit_any(&mut self, value: Value<'_>) -> Result<(), Error> {
        let written = self.fields.map.serialize_entry(self.key, &format_args!("{value}"));
        self.fields.keep(written)
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), Error> {
        self.fields.is_failure |= self.key == "status" && value >= 500;
        let written = self.fields.map.serialize_entry(self.key, &value);
        self.fields.keep(written)
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), Error> {
        let written = self.fields.map.serialize_entry(self.key, &value);
        self.fields.keep(written)
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), Error> {
        let written = self.fields.map.serialize_entry(self.key, &value);
        self.fields.keep(written)
    }

    fn visit_str(&mut self, value: &str) -> Result<(), Error> {
        self.fields.classify(self.key, value);
        let written = self.fields.map.serialize_entry(self.key, value);
        self.fields.keep(written)
    }

    fn visit_borrowed_str(&mut self, value: &'v str) -> Result<(), Error> {
        self.visit_str(value)
    }
}

fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(text.as_bytes());
    // Zero stands for no request.
    hasher.finish().max(1)
}
