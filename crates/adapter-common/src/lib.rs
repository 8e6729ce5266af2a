//! What the adapter and the server share on the way into the module: reading JSON objects with clear
//! complaints, laying settings flat, and numbering engines. Nothing here decides.

use pebblevane::interface::*;
use pebblevane::settings::*;
use pebblevane::time::*;
use serde_json::Value as Json;
use std::collections::HashMap;

pub type FieldResult<T> = Result<T, String>;

/// One JSON object under the name by which complaints call it.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    pub name: &'a str,
    pub json: &'a Json,
}

impl<'a> Fields<'a> {
    pub fn wrong(&self, field: &str, wanted: &str) -> String {
        match self.json.get(field) {
            None | Some(Json::Null) => format!("{}: field {field} is missing, {wanted} is wanted", self.name),
            Some(other) => format!("{}: field {field} is {other}, {wanted} is wanted", self.name),
        }
    }
    pub fn get(&self, field: &str) -> Option<&'a Json> {
        self.json.get(field).filter(|value| !value.is_null())
    }
    pub fn text(&self, field: &str) -> FieldResult<&'a str> {
        self.get(field).and_then(Json::as_str).ok_or_else(|| self.wrong(field, "a string"))
    }
    pub fn list(&self, field: &str) -> FieldResult<&'a Vec<Json>> {
        self.get(field).and_then(Json::as_array).ok_or_else(|| self.wrong(field, "an array"))
    }
    pub fn object(&self, field: &'a str) -> FieldResult<Fields<'a>> {
        let json = self.get(field).filter(|json| json.is_object());
        json.map(|json| Fields { name: field, json }).ok_or_else(|| self.wrong(field, "an object"))
    }
    pub fn number(&self, field: &str) -> FieldResult<f64> {
        self.get(field).and_then(Json::as_f64).ok_or_else(|| self.wrong(field, "a number"))
    }
    pub fn whole(&self, field: &str) -> FieldResult<u64> {
        self.get(field).and_then(Json::as_u64).ok_or_else(|| self.wrong(field, "a whole number"))
    }
    pub fn number_or(&self, field: &str, absent: f64) -> FieldResult<f64> {
        if self.get(field).is_some() { self.number(field) } else { Ok(absent) }
    }
    pub fn whole_or_zero(&self, field: &str) -> FieldResult<u64> {
        if self.get(field).is_some() { self.whole(field) } else { Ok(0) }
    }
    pub fn flag(&self, field: &str) -> FieldResult<bool> {
        match self.get(field) {
            None => Ok(false),
            Some(Json::Bool(flag)) => Ok(*flag),
            Some(_) => Err(self.wrong(field, "true or false")),
        }
    }
    pub fn span(&self, field: &str) -> FieldResult<TimeDelta> {
        self.number(field).map(TimeDelta::from_millis_f64)
    }
}

/// Engines by name, numbered in the order in which they were first named.
#[derive(Default)]
pub struct EngineIds {
    names: HashMap<EngineId, String>,
    numbers: HashMap<String, EngineId>,
    next: u32,
}

impl EngineIds {
    pub fn assign(&mut self, name: &str) -> EngineId {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = EngineId(self.next);
        self.next += 1;
        self.names.insert(number, name.to_string());
        self.numbers.insert(name.to_string(), number);
        number
    }
    pub fn id(&self, name: &str) -> Option<EngineId> {
        self.numbers.get(name).copied()
    }
    pub fn name(&self, engine: EngineId) -> &str {
        &self.names[&engine]
    }
    /// Its number is never given again; an engine of the same name is another one.
    pub fn remove(&mut self, engine: EngineId) {
        self.names.remove(&engine).and_then(|name| self.numbers.remove(&name));
    }
}

/// Lays nested settings flat: `{"A": {"B": [3]}}` becomes `A.B.0 = 3`.
pub fn settings(json: &Json) -> Settings {
    fn lay(name: String, json: &Json, flat: &mut Settings) {
        let under = |part: &str| {
            if name.is_empty() { part.to_string() } else { format!("{name}.{part}") }
        };
        match json {
            Json::Object(parts) => parts.iter().for_each(|(part, json)| lay(under(part), json, flat)),
            Json::Array(parts) => {
                parts.iter().enumerate().for_each(|(i, json)| lay(under(&i.to_string()), json, flat))
            }
            Json::Bool(flag) => drop(flat.0.insert(name, Value::Flag(*flag))),
            Json::String(text) => drop(flat.0.insert(name, Value::Text(text.clone()))),
            Json::Number(number) => {
                if let Some(number) = number.as_f64() {
                    flat.0.insert(name, Value::Number(number));
                }
            }
            Json::Null => {}
        }
    }
    let mut flat = Settings::default();
    lay(String::new(), json, &mut flat);
    flat
}
