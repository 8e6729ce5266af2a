//! The settings as a flat map of names to values.

use std::collections::BTreeMap;

/// The value of one setting.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A JSON number, whole or fractional.
    Number(f64),
    /// A JSON Boolean.
    Flag(bool),
    /// A JSON string.
    Text(String),
}

/// The settings as a flat map. The parts of a name are joined by dots, and list positions are numbers, as in
/// `Classes.0.Aim`.
#[derive(Clone, Debug, Default)]
pub struct Settings(pub BTreeMap<String, Value>);

impl Settings {
    /// The number with this name; `None` if it is absent or of another type.
    pub fn number(&self, name: &str) -> Option<f64> {
        match self.0.get(name) {
            Some(Value::Number(number)) => Some(*number),
            _ => None,
        }
    }

    /// Whether the Boolean with this name is true; it counts as false if it is absent or of another type.
    pub fn flag(&self, name: &str) -> bool {
        matches!(self.0.get(name), Some(Value::Flag(true)))
    }

    /// The string with this name; empty if it is absent or of another type.
    pub fn text(&self, name: &str) -> &str {
        match self.0.get(name) {
            Some(Value::Text(text)) => text,
            _ => "",
        }
    }

    /// The numbers of a list, up to the first entry that is absent or of another type; `None` if there are none.
    pub fn numbers(&self, name: &str) -> Option<Vec<f64>> {
        let list: Vec<f64> = (0..).map_while(|i| self.number(&format!("{name}.{i}"))).collect();
        (!list.is_empty()).then_some(list)
    }

    /// Number of entries of a list, up to the first one without the field `field`.
    pub fn entry_count(&self, name: &str, field: &str) -> usize {
        let is_absent = |i: &usize| !self.0.contains_key(&format!("{name}.{i}.{field}"));
        (0..=self.0.len()).find(is_absent).unwrap_or(0)
    }
}
