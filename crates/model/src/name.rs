//! Names of VMs, failure domains, services and upstreams.

use std::{fmt, str::FromStr, sync::Arc};

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const MAX_LEN: usize = 63;

/// A valid name: 1 to 63 characters out of `a-z`, `0-9` and `-`, with no `-` at either end.
///
/// Cloning shares the string.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// The reason why a string is not a valid name.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// name is empty: use 1 to 63 characters out of a-z, 0-9 and '-'
    Empty,
    /// name {0:?} is longer than 63 characters: choose a shorter name
    TooLong(String),
    /// name {0:?} has characters other than a-z, 0-9 and inner '-': choose another name
    BadCharacter(String),
}

impl std::error::Error for Error {}

impl Name {
    /// Creates a name from `text`.
    ///
    /// # Errors
    ///
    /// Returns the rule that `text` violates.
    pub fn new(text: impl AsRef<str>) -> Result<Self, Error> {
        let text = text.as_ref();
        if text.is_empty() {
            return Err(Error::Empty);
        }
        if text.len() > MAX_LEN {
            return Err(Error::TooLong(text.to_owned()));
        }
        let legal = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'-';
        if !text.bytes().all(legal) || text.starts_with('-') || text.ends_with('-') {
            return Err(Error::BadCharacter(text.to_owned()));
        }
        Ok(Self(text.into()))
    }

    /// Returns the placeholder name `unknown`.
    #[must_use]
    pub fn unknown() -> Self {
        Self("unknown".into())
    }

    /// Returns the name as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Name {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        Self::new(text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0.as_ref().to_owned()
    }
}

impl FromStr for Name {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        Self::new(text)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
