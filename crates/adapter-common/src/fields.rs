//! Reads typed fields of JSON objects, with errors that say which field was expected to be what.

use pebblevane::time::TimeDelta;
use serde_json::Value as Json;
use std::fmt;

/// The error for a field that is missing or does not have the expected value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{object}: field {field} is {}, {wanted} is wanted", found_text(.found.as_ref()))]
pub struct FieldError {
    /// The name of the object that contains the field, or should contain it.
    pub object: String,
    /// The name of the field.
    pub field: String,
    /// The actual value; `None` if the field is missing.
    pub found: Option<Json>,
    /// What the field was expected to contain.
    pub wanted: Wanted,
}

fn found_text(found: Option<&Json>) -> String {
    found.map_or_else(|| "missing".to_string(), Json::to_string)
}

/// What a field was expected to contain. Its text is part of the error message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// A string. For strings of a certain form, use [`Wanted::Described`].
    Text,
    /// An array, whose elements are checked separately.
    List,
    /// An object, whose fields are checked separately.
    Object,
    /// A number without limits, which may have a fraction.
    Number,
    /// An integer that is at least 0, such as a count or a position.
    WholeNumber,
    /// An integer that is at least this minimum.
    AtLeast(usize),
    /// A boolean.
    Flag,
    /// A value of a more specific form, described by this text.
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

/// Reads the fields of one JSON object. A field that is null counts as missing.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    /// The name of the object in errors.
    pub name: &'a str,
    /// The object to read. If it is another kind of JSON value, all fields count as missing.
    pub json: &'a Json,
}

impl<'a> Fields<'a> {
    /// Creates the error for a field that does not have the expected value.
    pub fn error(&self, field: &str, wanted: Wanted) -> FieldError {
        FieldError {
            object: self.name.to_string(),
            field: field.to_string(),
            found: self.get(field).cloned(),
            wanted,
        }
    }

    /// Returns the value of a field, or `None` if it is missing.
    pub fn get(&self, field: &str) -> Option<&'a Json> {
        self.json.get(field).filter(|value| !value.is_null())
    }

    /// Reads a string.
    ///
    /// # Errors
    /// If the field is missing or has another type.
    pub fn text(&self, field: &str) -> Result<&'a str, FieldError> {
        self.get(field).and_then(Json::as_str).ok_or_else(|| self.error(field, Wanted::Text))
    }

    /// Reads an array.
    ///
    /// # Errors
    /// If the field is missing or has another type.
    pub fn list(&self, field: &str) -> Result<&'a [Json], FieldError> {
        let list = self.get(field).and_then(Json::as_array);
        list.map(Vec::as_slice).ok_or_else(|| self.error(field, Wanted::List))
    }

    /// Reads a nested object. Errors about its fields use the name of this field as the name of the object.
    ///
    /// # Errors
    /// If the field is missing or has another type.
    pub fn object(&self, field: &'a str) -> Result<Fields<'a>, FieldError> {
        let json = self.get(field).filter(|json| json.is_object());
        json.map(|json| Fields { name: field, json }).ok_or_else(|| self.error(field, Wanted::Object))
    }

    /// Reads a number.
    ///
    /// # Errors
    /// If the field is missing or has another type.
    pub fn number(&self, field: &str) -> Result<f64, FieldError> {
        self.get(field).and_then(Json::as_f64).ok_or_else(|| self.error(field, Wanted::Number))
    }

    /// Reads an integer that is at least 0.
    ///
    /// # Errors
    /// If the field is missing or is not an integer that is at least 0.
    pub fn whole(&self, field: &str) -> Result<u64, FieldError> {
        self.get(field).and_then(Json::as_u64).ok_or_else(|| self.error(field, Wanted::WholeNumber))
    }

    /// Reads a number, or returns `default` if the field is missing.
    ///
    /// # Errors
    /// If the field is present and has another type.
    pub fn number_or(&self, field: &str, default: f64) -> Result<f64, FieldError> {
        if self.get(field).is_some() { self.number(field) } else { Ok(default) }
    }

    /// Reads an integer that is at least 0, or returns 0 if the field is missing.
    ///
    /// # Errors
    /// If the field is present and is not an integer that is at least 0.
    pub fn whole_or_zero(&self, field: &str) -> Result<u64, FieldError> {
        if self.get(field).is_some() { self.whole(field) } else { Ok(0) }
    }

    /// Reads a boolean, or returns `false` if the field is missing.
    ///
    /// # Errors
    /// If the field is present and has another type.
    pub fn flag(&self, field: &str) -> Result<bool, FieldError> {
        match self.get(field) {
            None => Ok(false),
            Some(Json::Bool(flag)) => Ok(*flag),
            Some(_) => Err(self.error(field, Wanted::Flag)),
        }
    }

    /// Reads a duration that is given as a number of milliseconds.
    ///
    /// # Errors
    /// If the field is missing or is not a number.
    pub fn millis(&self, field: &str) -> Result<TimeDelta, FieldError> {
        self.number(field).map(TimeDelta::from_millis_f64)
    }
}
