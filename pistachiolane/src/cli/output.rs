//! Human-readable output.

use {serde_json::Value, std::fmt::Write};

/// Formats a document as indented JSON; a string is returned as it is.
pub fn pretty(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        _ => serde_json::to_string_pretty(value).unwrap_or_default(),
    }
}

/// Formats the differences between two documents by path: `-` is the current value, `+` the wanted one.
pub fn diff(current: &Value, wanted: &Value) -> String {
    let mut text = String::new();
    diff_at("", current, wanted, &mut text);
    text
}

fn diff_at(path: &str, current: &Value, wanted: &Value, text: &mut String) {
    match (current, wanted) {
        (a, b) if a == b => {}
        (Value::Object(a), Value::Object(b)) => {
            for (key, value) in a {
                diff_at(&format!("{path}/{key}"), value, b.get(key).unwrap_or(&Value::Null), text);
            }
            for (key, value) in b.iter().filter(|(key, _)| !a.contains_key(*key)) {
                diff_at(&format!("{path}/{key}"), &Value::Null, value, text);
            }
        }
        (a, b) => {
            write_diff_line('-', path, a, text);
            write_diff_line('+', path, b, text);
        }
    }
}

fn write_diff_line(sign: char, path: &str, value: &Value, text: &mut String) {
    if !value.is_null() {
        // Writing to a `String` cannot fail.
        let _infallible = writeln!(text, "{sign} {path} = {value}");
    }
}

/// Formats the status of the fleet as a short table.
pub fn status(value: &Value) -> String {
    let mut text = String::new();
    let field = |name: &str| pretty(&value[name]);
    let _infallible = writeln!(
        text,
        "node {}  region {}  zone {}  ready {}  draining {}",
        field("node"),
        field("region"),
        field("zone"),
        field("ready"),
        field("draining")
    );
    write_section(&mut text, "members", &value["members"]);
    write_section(&mut text, "services", &value["services"]);
    write_section(&mut text, "settings versions", &value["settings"]);
    write_section(&mut text, "evacuations", &value["evacuations"]);
    write_section(&mut text, "gate", &value["gate"]);
    let violations = &value["invariant_violations"];
    let _infallible = writeln!(text, "invariant violations {violations}");
    text
}

fn write_section(text: &mut String, title: &str, value: &Value) {
    let _infallible = writeln!(text, "{title}");
    for (name, item) in value.as_object().into_iter().flatten() {
        let columns = match item {
            Value::Object(map) => {
                map.iter().map(|(k, v)| format!("{k} {v}")).collect::<Vec<_>>().join("  ")
            }
            other => other.to_string(),
        };
        let _infallible = writeln!(text, "  {name:<20} {columns}");
    }
}
