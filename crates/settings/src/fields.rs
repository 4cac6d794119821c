//! The keys of a settings file, taken out one by one.
//!
//! Derived decoders name neither the key nor the value of a fault in every case, so each key is
//! decoded by itself.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::de::DeserializeOwned;
use serde_norway::Value;

use crate::{error::Fault, log::Level};

/// Longest value that an error shows whole, in characters.
const SHOWN: usize = 80;

/// The keys of a settings file that are not taken yet.
#[derive(Debug)]
pub struct Fields {
    left: BTreeMap<String, Value>,
}

impl Fields {
    /// Reads a YAML mapping.
    pub(crate) fn parse(text: &str) -> Result<Self, String> {
        let left = serde_norway::from_str(text).map_err(|e| e.to_string())?;
        Ok(Self { left })
    }

    /// Takes `key`, which must be there.
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

    /// Takes `key`, if it is there.
    pub(crate) fn optional<T: DeserializeOwned>(
        &mut self,
        key: &'static str,
        advice: &str,
    ) -> Result<Option<T>, Fault> {
        let Some(value) = self.left.remove(key) else {
            return Ok(None);
        };
        let shown = show(&value);
        let decoded = serde_norway::from_value(value);
        decoded.map(Some).map_err(|e| {
            let reason = e.to_string();
            Fault::new(key, shown, reason, advice)
        })
    }

    /// Takes an address to listen at.
    pub(crate) fn listen(&mut self, key: &'static str) -> Result<SocketAddr, Fault> {
        let advice = "write an IP address of this VM and a port, as 10.0.0.1:7000";
        self.required(key, advice)
    }

    /// Takes the level of the log.
    pub(crate) fn log(&mut self) -> Result<Level, Fault> {
        let advice = "write error, warn, info, debug or trace";
        Ok(self.optional("log", advice)?.unwrap_or_default())
    }

    /// Fails when a key is not among `known`.
    pub(crate) fn check_known(&self, known: &[&str]) -> Result<(), Fault> {
        let unknown = |(key, _): &(&String, &Value)| !known.contains(&key.as_str());
        let Some((key, value)) = self.left.iter().find(unknown) else {
            return Ok(());
        };
        let advice = format!("remove it, or use one of {}", known.join(", "));
        let reason = "the key is unknown";
        Err(Fault::new(key.as_str(), show(value), reason, advice))
    }
}

/// A value on one line, cut after [`SHOWN`] characters.
fn show(value: &Value) -> String {
    let text = match value {
        Value::String(text) => format!("{text:?}"),
        Value::Null => "(empty)".to_owned(),
        _ => serde_norway::to_string(value).unwrap_or_default(),
    };
    let line = text.split_whitespace().collect::<Vec<_>>().join(" ");
    if line.chars().count() <= SHOWN {
        return line;
    }
    let head: String = line.chars().take(SHOWN).collect();
    format!("{head}…")
}

/// Fails when two of `listens` share an address of one transport.
pub(crate) fn check_distinct(listens: &[(&'static str, SocketAddr)]) -> Result<(), Fault> {
    for (index, (key, address)) in listens.iter().enumerate() {
        let overlaps = |(_, other): &&(&'static str, SocketAddr)| {
            let any = address.ip().is_unspecified() || other.ip().is_unspecified();
            address.port() != 0
                && address.port() == other.port()
                && (any || address.ip() == other.ip())
        };
        if let Some((taken_by, _)) = listens[..index].iter().find(overlaps) {
            let reason = format!("the address is taken by `{taken_by}`");
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
