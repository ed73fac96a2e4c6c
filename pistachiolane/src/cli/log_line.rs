//! One line of the log as JSON.

use {
    super::log_entry::LineClass,
    log::{
        Level, Record,
        kv::{Error, Key, Value, VisitSource},
    },
    serde::{Serialize, Serializer, ser::SerializeMap},
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// A record with the fields `time` (Unix seconds), `level`, `target`, `message`, and those of its own.
pub(super) struct LogLine<'a> {
    record: &'a Record<'a>,
}

impl<'a> LogLine<'a> {
    /// The line of a record.
    pub fn new(record: &'a Record<'a>) -> Self {
        Self { record }
    }
}

impl Serialize for LogLine<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        // A clock before 1970 shows as 1970; the time of day decides nothing.
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        map.serialize_entry("time", &(time.as_micros() as f64 / 1e6))?;
        map.serialize_entry("level", self.record.level().as_str())?;
        map.serialize_entry("target", self.record.target())?;
        map.serialize_entry("message", &format_args!("{}", self.record.args()))?;
        let mut fields = Fields { map: &mut map, failed: None };
        // Fields are in memory; a visit fails only when the map does, and that is kept.
        let _visited = self.record.key_values().visit(&mut fields);
        match fields.failed {
            Some(e) => Err(e),
            None => map.end(),
        }
    }
}

struct Fields<'m, M: SerializeMap> {
    map: &'m mut M,
    failed: Option<M::Error>,
}

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for Fields<'_, M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let written = match (value.to_u64(), value.to_i64(), value.to_bool()) {
            (Some(n), ..) => self.map.serialize_entry(key.as_str(), &n),
            (_, Some(n), _) => self.map.serialize_entry(key.as_str(), &n),
            (.., Some(b)) => self.map.serialize_entry(key.as_str(), &b),
            _ => self.map.serialize_entry(key.as_str(), &format_args!("{value}")),
        };
        written.map_err(|e| {
            self.failed = Some(e);
            Error::msg("the line could not be written")
        })
    }
}

/// What a record is about, as a hash, and whether it tells of a failure.
pub(super) fn classify(record: &Record<'_>) -> (u64, LineClass) {
    let mut found = Classified { about: 0, is_failure: record.level() <= Level::Warn };
    // The visitor below fails nowhere.
    let _visited = record.key_values().visit(&mut found);
    let class = match (found.about, found.is_failure) {
        (0, _) => LineClass::State,
        (_, true) => LineClass::Failure,
        (_, false) => LineClass::Ordinary,
    };
    (found.about, class)
}

struct Classified {
    about: u64,
    is_failure: bool,
}

impl<'kvs> VisitSource<'kvs> for Classified {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_borrowed_str().unwrap_or("");
        match key.as_str() {
            // An entry's lines name both, and belong together by the request.
            "request" => self.about = hash(text),
            "attempt" if self.about == 0 => self.about = hash(text),
            "reason" | "why" => self.is_failure |= !text.is_empty(),
            "outcome" => self.is_failure |= text != "answer",
            "end" => self.is_failure |= text != "answered",
            "status" => self.is_failure |= value.to_u64().is_some_and(|status| status >= 500),
            _ => {}
        }
        Ok(())
    }
}

fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    // Zero stands for no request.
    hasher.finish().max(1)
}
