//! The start settings as a flat map of names to values.

use std::collections::BTreeMap;

/// One value of the settings.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Any JSON number.
    Number(f64),
    /// `true` or `false`.
    Flag(bool),
    /// Any JSON string.
    Text(String),
}

/// The settings as a flat map: parts of a name are joined by dots and list positions are numbers, as in
/// `Classes.0.Aim`.
#[derive(Clone, Debug, Default)]
pub struct Settings(pub BTreeMap<String, Value>);

impl Settings {
    /// The number of this name; none if it is absent or of another type.
    pub fn number(&self, name: &str) -> Option<f64> {
        match self.0.get(name) {
            Some(Value::Number(number)) => Some(*number),
            _ => None,
        }
    }

    /// Whether the flag of this name is set; an absent one is not.
    pub fn flag(&self, name: &str) -> bool {
        matches!(self.0.get(name), Some(Value::Flag(true)))
    }

    /// The text of this name; empty if it is absent or of another type.
    pub fn text(&self, name: &str) -> &str {
        match self.0.get(name) {
            Some(Value::Text(text)) => text,
            _ => "",
        }
    }

    /// The numbers of a list of plain values; none if the list is absent.
    pub fn numbers(&self, name: &str) -> Option<Vec<f64>> {
        let list: Vec<f64> = (0..).map_while(|i| self.number(&format!("{name}.{i}"))).collect();
        (!list.is_empty()).then_some(list)
    }

    /// How many entries a list has whose every entry holds `field`.
    pub fn entry_count(&self, name: &str, field: &str) -> usize {
        let is_absent = |i: &usize| !self.0.contains_key(&format!("{name}.{i}.{field}"));
        (0..=self.0.len()).find(is_absent).unwrap_or(0)
    }
}
