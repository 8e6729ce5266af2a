//! Reading the fields of JSON objects.

use pebblevane::time::TimeDelta;
use serde_json::Value as Json;
use std::fmt;

/// A field that is missing or can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{object}: field {field} is {}, {wanted} is wanted", found_text(.found.as_ref()))]
pub struct FieldError {
    /// The name of the object that has the field.
    pub object: String,
    /// The name of the field.
    pub field: String,
    /// The value of the field; `None` if it is missing.
    pub found: Option<Json>,
    /// The expected value.
    pub wanted: Wanted,
}

fn found_text(found: Option<&Json>) -> String {
    found.map_or_else(|| "missing".to_string(), Json::to_string)
}

/// The expected value of a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// Any string.
    Text,
    /// Any array.
    List,
    /// Any object.
    Object,
    /// Any number.
    Number,
    /// An integer from 0.
    WholeNumber,
    /// An integer from this minimum.
    AtLeast(usize),
    /// `true` or `false`.
    Flag,
    /// A value with this description.
    Described(&'static str),
}

impl fmt::Display for Wanted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Wanted::Text => f.write_str("a string"),
            Wanted::List => f.write_str("an array"),
            Wanted::Object => f.write_str("an object"),
            Wanted::Number => f.write_str("a number"),
            Wanted::WholeNumber => f.write_str("a whole number"),
            Wanted::AtLeast(least) => write!(f, "at least {least}"),
            Wanted::Flag => f.write_str("true or false"),
            Wanted::Described(description) => f.write_str(description),
        }
    }
}

/// A JSON object and its name in errors. A field that is null counts as missing.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    /// The name of the object.
    pub name: &'a str,
    /// The object itself. If it is another JSON value, all fields are missing.
    pub json: &'a Json,
}

impl<'a> Fields<'a> {
    /// The error for a field that does not have the expected value.
    pub fn error(&self, field: &str, wanted: Wanted) -> FieldError {
        FieldError {
            object: self.name.to_string(),
            field: field.to_string(),
            found: self.get(field).cloned(),
            wanted,
        }
    }

    /// The value of a field, if it is present.
    pub fn get(&self, field: &str) -> Option<&'a Json> {
        self.json.get(field).filter(|value| !value.is_null())
    }

    /// The string of a field.
    ///
    /// # Errors
    /// If the field is missing or has another type.
    pub fn text(&self, field: &str) -> Result<&'a str, FieldError> {
        self.get(field).and_then(Json::as_str).ok_or_else(|| self.error(field, Wanted::Text))
    }

    /// The array of a field.
    ///
    /// # Errors
    /// If the field is missing or has another type.
    pub fn list(&self, field: &str) -> Result<&'a [Json], FieldError> {
        let list = self.get(field).and_then(Json::as_array);
        list.map(Vec::as_slice).ok_or_else(|| self.error(field, Wanted::List))
    }

    /// The object of a field; its name in errors is that of the field.
    ///
    /// # Errors
    /// If the field is missing or has another type.
    pub fn object(&self, field: &'a str) -> Result<Fields<'a>, FieldError> {
        let json = self.get(field).filter(|json| json.is_object());
        json.map(|json| Fields { name: field, json }).ok_or_else(|| self.error(field, Wanted::Object))
    }

    /// The number of a field.
    ///
    /// # Errors
    /// If the field is missing or has another type.
    pub fn number(&self, field: &str) -> Result<f64, FieldError> {
        self.get(field).and_then(Json::as_f64).ok_or_else(|| self.error(field, Wanted::Number))
    }

    /// The whole number of a field.
    ///
    /// # Errors
    /// If the field is missing, or has another type or a number below 0.
    pub fn whole(&self, field: &str) -> Result<u64, FieldError> {
        self.get(field).and_then(Json::as_u64).ok_or_else(|| self.error(field, Wanted::WholeNumber))
    }

    /// The number of a field, or `default` if it is missing.
    ///
    /// # Errors
    /// If the field has another type.
    pub fn number_or(&self, field: &str, default: f64) -> Result<f64, FieldError> {
        if self.get(field).is_some() { self.number(field) } else { Ok(default) }
    }

    /// The whole number of a field, or 0 if it is missing.
    ///
    /// # Errors
    /// If the field has another type or a number below 0.
    pub fn whole_or_zero(&self, field: &str) -> Result<u64, FieldError> {
        if self.get(field).is_some() { self.whole(field) } else { Ok(0) }
    }

    /// The flag of a field, or false if it is missing.
    ///
    /// # Errors
    /// If the field has another type.
    pub fn flag(&self, field: &str) -> Result<bool, FieldError> {
        match self.get(field) {
            None => Ok(false),
            Some(Json::Bool(flag)) => Ok(*flag),
            Some(_) => Err(self.error(field, Wanted::Flag)),
        }
    }

    /// The duration of a field that holds milliseconds.
    ///
    /// # Errors
    /// If the field is missing or holds no number.
    pub fn millis(&self, field: &str) -> Result<TimeDelta, FieldError> {
        self.number(field).map(TimeDelta::from_millis_f64)
    }
}
