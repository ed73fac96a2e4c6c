//! Encoding of log records as JSON lines.

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

/// Initial buffer size of a line; most lines are shorter.
const LINE_CAPACITY_BYTES: usize = 448;

/// Kind under which lines are counted whose message is formatted from arguments.
const FORMATTED_KIND: &str = "others";

/// Encodes a record with `time` (Unix seconds), `level`, `target`, `message` and the record's key-value fields.
///
/// # Errors
/// Fails when a field cannot be encoded as JSON.
pub(super) fn encode(record: &Record<'_>) -> serde_json::Result<LogEntry> {
    let mut text = Vec::with_capacity(LINE_CAPACITY_BYTES);
    let mut serializer = serde_json::Serializer::new(&mut text);
    let mut map = serializer.serialize_map(None)?;
    // A clock before 1970 is logged as 1970; no decision depends on the wall clock.
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    map.serialize_entry("time", &(time.as_micros() as f64 / 1e6))?;
    map.serialize_entry("level", record.level().as_str())?;
    map.serialize_entry("target", record.target())?;
    match record.args().as_str() {
        Some(message) => map.serialize_entry("message", message)?,
        None => map.serialize_entry("message", record.args())?,
    }
    let is_failure = record.level() <= Level::Warn;
    let mut fields = FieldEncoder { map: &mut map, error: None, subject_hash: 0, is_failure };
    // A visit fails only when writing to the map fails, and `error` keeps that failure.
    let _visited = record.key_values().visit(&mut fields);
    let FieldEncoder { error, subject_hash, is_failure, .. } = fields;
    if let Some(e) = error {
        return Err(e);
    }
    map.end()?;
    text.push(b'\n');
    let class = match (subject_hash, is_failure) {
        (0, _) => RetentionClass::State,
        (_, true) => RetentionClass::Failure,
        (_, false) => RetentionClass::Ordinary,
    };
    let kind = record.args().as_str().unwrap_or(FORMATTED_KIND);
    Ok(LogEntry { text, kind, subject_hash, class })
}

/// Encodes fields, and determines which request the line belongs to and whether it reports a failure.
struct FieldEncoder<'m, M: SerializeMap> {
    map: &'m mut M,
    error: Option<M::Error>,
    subject_hash: u64,
    is_failure: bool,
}

impl<M: SerializeMap> FieldEncoder<'_, M> {
    fn classify(&mut self, key: &str, text: &str) {
        match key {
            // Lines of an entry contain both and are grouped by the request.
            "request" => self.subject_hash = hash(text),
            "attempt" if self.subject_hash == 0 => self.subject_hash = hash(text),
            "reason" | "why" => self.is_failure |= !text.is_empty(),
            "outcome" => self.is_failure |= text != "answer",
            "end" => self.is_failure |= text != "answered",
            _ => {}
        }
    }

    fn check_written<T>(&mut self, written: Result<T, M::Error>) -> Result<(), Error> {
        written.map(|_| ()).map_err(|e| {
            self.error = Some(e);
            Error::msg("log line could not be encoded")
        })
    }
}

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for FieldEncoder<'_, M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        value.visit(FieldVisitor { key: key.as_str(), fields: self })
    }
}

struct FieldVisitor<'f, 'm, M: SerializeMap> {
    key: &'f str,
    fields: &'f mut FieldEncoder<'m, M>,
}

impl<'v, M: SerializeMap> VisitValue<'v> for FieldVisitor<'_, '_, M> {
    fn visit_any(&mut self, value: Value<'_>) -> Result<(), Error> {
        let written = self.fields.map.serialize_entry(self.key, &format_args!("{value}"));
        self.fields.check_written(written)
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), Error> {
        self.fields.is_failure |= self.key == "status" && value >= 500;
        let written = self.fields.map.serialize_entry(self.key, &value);
        self.fields.check_written(written)
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), Error> {
        let written = self.fields.map.serialize_entry(self.key, &value);
        self.fields.check_written(written)
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), Error> {
        let written = self.fields.map.serialize_entry(self.key, &value);
        self.fields.check_written(written)
    }

    fn visit_str(&mut self, value: &str) -> Result<(), Error> {
        self.fields.classify(self.key, value);
        let written = self.fields.map.serialize_entry(self.key, value);
        self.fields.check_written(written)
    }

    fn visit_borrowed_str(&mut self, value: &'v str) -> Result<(), Error> {
        self.visit_str(value)
    }
}

fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(text.as_bytes());
    // Zero is reserved for lines without a request.
    hasher.finish().max(1)
}
