//! Settings files of the daemons, in YAML. A file is checked completely before its daemon starts.
//!
//! On a fault the daemon exits with one line that names the file, the key, its value and what to
//! do. [`entry::Settings`] and [`control::Settings`] are the settings of an entry VM and a control
//! VM; [`gateway`] has the settings of both kinds of VM on the platform.
//!
//! ```
//! let text = "name: entry-1\ndomain: vejle\ncontrol: [\"127.0.0.1:7100\"]\n";
//! let error = settings::parse::<settings::entry::Settings>("entry.yaml", text).unwrap_err();
//! assert!(error.to_string().starts_with("entry.yaml: key `control`"));
//! ```

use std::{fs, path::Path};

pub mod control;
pub mod entry;
pub mod error;
mod fields;
pub mod gateway;
pub mod log;

pub use error::{Error, Fault};
use fields::Fields;

/// Settings that can be read from a file.
pub trait Load: Sized {
    /// All keys of the file.
    const KEYS: &'static [&'static str];

    /// Decodes the settings from the keys in `fields` and removes these keys.
    ///
    /// # Errors
    ///
    /// Names the key that is missing or invalid.
    #[doc(hidden)]
    fn read(fields: &mut Fields) -> Result<Self, Fault>;

    /// Checks constraints on the decoded values, including constraints between keys.
    ///
    /// # Errors
    ///
    /// Names the key that is invalid.
    fn check(&self) -> Result<(), Fault>;
}

/// Reads and checks the settings file at `path`.
///
/// # Errors
///
/// Names the file, the key, its value and what to do.
pub fn load<T: Load>(path: impl AsRef<Path>) -> Result<T, Error> {
    let path = path.as_ref();
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|e| {
        let reason = e.to_string();
        Error::Unreadable {
            file: file.clone(),
            reason,
        }
    })?;
    parse(&file, &text)
}

/// Reads and checks settings from `text`; errors use `file` as the name of the file.
///
/// # Errors
///
/// Names the file, the key, its value and what to do.
pub fn parse<T: Load>(file: &str, text: &str) -> Result<T, Error> {
    let mut fields = Fields::parse(text).map_err(|reason| Error::Syntax {
        file: file.to_owned(),
        reason,
    })?;
    read(&mut fields).map_err(|fault| Error::Key {
        file: file.to_owned(),
        fault,
    })
}

fn read<T: Load>(fields: &mut Fields) -> Result<T, Fault> {
    // Unknown keys are checked first: a mistyped key also makes the intended key missing, and an
    // error that names the mistyped key is more helpful.
    fields.check_known(T::KEYS)?;
    let settings = T::read(fields)?;
    settings.check()?;
    Ok(settings)
}
