//! Converts nested JSON settings into the flat map that the admission controller reads.

use pebblevane::settings::{Settings, Value};
use serde_json::Value as Json;

/// Flattens nested settings: `{"A": {"B": [3]}}` becomes `A.B.0 = 3`. Null values are omitted, so they count as
/// missing.
pub fn flatten_settings(json: &Json) -> Settings {
    let mut flat = Settings::default();
    flatten_into(&mut flat, String::new(), json);
    flat
}

fn flatten_into(flat: &mut Settings, path: String, json: &Json) {
    match json {
        Json::Object(members) => {
            for (name, member) in members {
                flatten_into(flat, joined(&path, name), member);
            }
        }
        Json::Array(items) => {
            for (position, item) in items.iter().enumerate() {
                flatten_into(flat, joined(&path, &position.to_string()), item);
            }
        }
        Json::Bool(flag) => {
            flat.0.insert(path, Value::Flag(*flag));
        }
        Json::String(text) => {
            flat.0.insert(path, Value::Text(text.clone()));
        }
        Json::Number(number) => {
            if let Some(number) = number.as_f64() {
                flat.0.insert(path, Value::Number(number));
            }
        }
        Json::Null => {}
    }
}

fn joined(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_string() } else { format!("{path}.{name}") }
}
