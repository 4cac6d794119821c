//! Decodes the keys of a settings file one by one.
//!
//! The errors of a derived decoder don't always name the key and its value, so each key is decoded
//! separately.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::de::DeserializeOwned;
use serde_norway::Value;

use crate::{error::Fault, log::Level};

/// Maximum length of a value in an error, in characters; longer values are truncated.
const MAX_SHOWN_CHARS: usize = 80;

/// Keys of a settings file that are not decoded yet, with their values.
#[derive(Debug)]
pub struct Fields {
    remaining: BTreeMap<String, Value>,
}

impl Fields {
    /// Parses a YAML mapping.
    pub(crate) fn parse(text: &str) -> Result<Self, String> {
        let remaining = serde_norway::from_str(text).map_err(|e| e.to_string())?;
        Ok(Self { remaining })
    }

    /// Removes and decodes `key`; fails if the key is missing.
    pub(crate) fn required<T: DeserializeOwned>(
        &mut self,
        key: &'static str,
        advice: &str,
    ) -> Result<T, Fault> {
        match self.optional(key, advice)? {
            Some(value) => Ok(value),
            None => Err(Fault::new(key, "(none)", "the key is missing", advice)),
        }
    }

    /// Removes and decodes `key`, if it is present.
    pub(crate) fn optional<T: DeserializeOwned>(
        &mut self,
        key: &'static str,
        advice: &str,
    ) -> Result<Option<T>, Fault> {
        let Some(value) = self.remaining.remove(key) else {
            return Ok(None);
        };
        let shown = format_value(&value);
        let decoded = serde_norway::from_value(value);
        decoded.map(Some).map_err(|e| {
            let reason = e.to_string();
            Fault::new(key, shown, reason, advice)
        })
    }

    /// Removes and decodes `key`, which holds a listen address.
    pub(crate) fn listen(&mut self, key: &'static str) -> Result<SocketAddr, Fault> {
        let advice = "write an IP address of this VM and a port, as 10.0.0.1:7000";
        self.required(key, advice)
    }

    /// Removes and decodes the log level.
    pub(crate) fn log(&mut self) -> Result<Level, Fault> {
        let advice = "write error, warn, info, debug or trace";
        Ok(self.optional("log", advice)?.unwrap_or_default())
    }

    /// Fails when a key is not among `known`.
    pub(crate) fn check_known(&self, known: &[&str]) -> Result<(), Fault> {
        let unknown = |(key, _): &(&String, &Value)| !known.contains(&key.as_str());
        let Some((key, value)) = self.remaining.iter().find(unknown) else {
            return Ok(());
        };
        let advice = format!("remove it, or use one of {}", known.join(", "));
        let reason = "the key is unknown";
        Err(Fault::new(
            key.as_str(),
            format_value(value),
            reason,
            advice,
        ))
    }
}

/// Formats a value on one line, truncated after [`MAX_SHOWN_CHARS`] characters.
fn format_value(value: &Value) -> String {
    let text = match value {
        Value::String(text) => format!("{text:?}"),
        Value::Null => "(empty)".to_owned(),
        _ => serde_norway::to_string(value).unwrap_or_default(),
    };
    let line = text.split_whitespace().collect::<Vec<_>>().join(" ");
    if line.chars().count() <= MAX_SHOWN_CHARS {
        return line;
    }
    let head: String = line.chars().take(MAX_SHOWN_CHARS).collect();
    format!("{head}…")
}

/// Fails when two of `listens`, which use the same transport, overlap in address and port.
pub(crate) fn check_distinct(listens: &[(&'static str, SocketAddr)]) -> Result<(), Fault> {
    for (index, (key, address)) in listens.iter().enumerate() {
        let overlaps = |(_, other): &&(&'static str, SocketAddr)| {
            let is_any_unspecified = address.ip().is_unspecified() || other.ip().is_unspecified();
            address.port() != 0
                && address.port() == other.port()
                && (is_any_unspecified || address.ip() == other.ip())
        };
        if let Some((used_by, _)) = listens[..index].iter().find(overlaps) {
            let reason = format!("the address is already used by `{used_by}`");
            return Err(Fault::new(
                *key,
                address.to_string(),
                reason,
                "choose another port",
            ));
        }
    }
    Ok(())
}
