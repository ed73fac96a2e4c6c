//! Access to the value at one path of a subtree's document.

use {super::ValidationError, serde_json::Value};

/// Returns the value at a path of a document, if there is one.
pub fn get_path<'a>(document: &'a Value, path: &str) -> Option<&'a Value> {
    segments(path).try_fold(document, |value, segment| match value {
        Value::Object(map) => map.get(segment),
        Value::Array(list) => segment.parse::<usize>().ok().and_then(|index| list.get(index)),
        _ => None,
    })
}

/// Returns a copy of a document with the value at a path replaced, or removed if `value` is `None`.
///
/// Missing objects on the path are created. List items are addressed by their index; the index
/// after the last item appends.
///
/// # Errors
/// Fails if the path continues below a value that is neither an object nor a list, or if a list
/// index is not a number or is out of range.
pub fn set_path(
    document: &Value,
    path: &str,
    value: Option<Value>,
) -> Result<Value, ValidationError> {
    let path_segments: Vec<&str> = segments(path).collect();
    let mut copy =
        if document.is_null() { Value::Object(serde_json::Map::new()) } else { document.clone() };
    match path_segments.split_last() {
        None => Ok(value.unwrap_or(Value::Null)),
        Some((last, parents)) => {
            let parent = descend(&mut copy, path, parents)?;
            set_child(parent, path, last, value)?;
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
            let index = parse_index(path, segment)?;
            list.get_mut(index)
                .ok_or_else(|| ValidationError::new(path, format!("no item {index} in the list")))
        }
        _ => Err(ValidationError::new(
            path,
            format!("`{segment}` is below a value that is neither an object nor a list"),
        )),
    })
}

fn set_child(
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
        (Value::Array(items), value) => set_item(items, path, parse_index(path, last)?, value),
        _ => Err(ValidationError::new(
            path,
            format!("`{last}` is below a value that is neither an object nor a list"),
        )),
    }
}

fn set_item(
    items: &mut Vec<Value>,
    path: &str,
    index: usize,
    value: Option<Value>,
) -> Result<(), ValidationError> {
    match value {
        Some(value) if index == items.len() => items.push(value),
        Some(value) if index < items.len() => items[index] = value,
        None if index < items.len() => {
            items.remove(index);
        }
        _ => return Err(ValidationError::new(path, format!("no item {index} in the list"))),
    }
    Ok(())
}

fn parse_index(path: &str, segment: &str) -> Result<usize, ValidationError> {
    segment
        .parse()
        .map_err(|e| ValidationError::new(path, format!("`{segment}` is not a list index: {e}")))
}
