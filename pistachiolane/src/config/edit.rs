//! Reading and changing one path of a subtree's document.

use {super::ValidationError, serde_json::Value};

/// The value at a path of a document; `None` where there is none.
pub fn get_path<'a>(document: &'a Value, path: &str) -> Option<&'a Value> {
    segments(path).try_fold(document, |value, segment| match value {
        Value::Object(map) => map.get(segment),
        Value::Array(list) => segment.parse::<usize>().ok().and_then(|at| list.get(at)),
        _ => None,
    })
}

/// A copy of a document with the value at a path replaced; `None` removes it.
///
/// Objects on the way are made; list items are named by their index, and the index one beyond the last
/// appends.
///
/// # Errors
/// Fails when the path leads through a plain value or a list index is out of range.
pub fn set_path(
    document: &Value,
    path: &str,
    value: Option<Value>,
) -> Result<Value, ValidationError> {
    let parts: Vec<&str> = segments(path).collect();
    let mut copy =
        if document.is_null() { Value::Object(serde_json::Map::new()) } else { document.clone() };
    match parts.split_last() {
        None => Ok(value.unwrap_or(Value::Null)),
        Some((last, parents)) => {
            let parent = descend(&mut copy, path, parents)?;
            put(parent, path, last, value)?;
            Ok(copy)
        }
    }
}

fn segments(path: &str) -> impl Iterator<Item = &str> {
    path.split('/').filter(|s| !s.is_empty())
}

fn descend<'a>(
    document: &'a mut Value,
    path: &str,
    parents: &[&str],
) -> Result<&'a mut Value, ValidationError> {
    parents.iter().try_fold(document, |value, segment| match value {
        Value::Object(map) => {
            Ok(map.entry(*segment).or_insert_with(|| Value::Object(serde_json::Map::new())))
        }
        Value::Array(list) => {
            let at = index(path, segment)?;
            list.get_mut(at)
                .ok_or_else(|| ValidationError::new(path, format!("no item {at} in the list")))
        }
        _ => Err(ValidationError::new(path, format!("`{segment}` leads into a plain value"))),
    })
}

fn put(
    parent: &mut Value,
    path: &str,
    last: &str,
    value: Option<Value>,
) -> Result<(), ValidationError> {
    match (parent, value) {
        (Value::Object(map), Some(value)) => {
            map.insert(last.to_owned(), value);
            Ok(())
        }
        (Value::Object(map), None) => {
            map.remove(last);
            Ok(())
        }
        (Value::Array(items), value) => put_item(items, path, index(path, last)?, value),
        _ => Err(ValidationError::new(path, "leads into a plain value")),
    }
}

fn put_item(
    items: &mut Vec<Value>,
    path: &str,
    at: usize,
    value: Option<Value>,
) -> Result<(), ValidationError> {
    match value {
        Some(value) if at == items.len() => items.push(value),
        Some(value) if at < items.len() => items[at] = value,
        None if at < items.len() => {
            items.remove(at);
        }
        _ => return Err(ValidationError::new(path, format!("no item {at} in the list"))),
    }
    Ok(())
}

fn index(path: &str, segment: &str) -> Result<usize, ValidationError> {
    segment
        .parse()
        .map_err(|e| ValidationError::new(path, format!("`{segment}` is no list index: {e}")))
}
