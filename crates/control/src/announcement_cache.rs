//! The announcement cache: the upstreams that this control VM last knew, kept on disk.
//!
//! After all VMs have stopped at once, the cache lets entry VMs forward packets of open flows
//! before each upstream has announced itself again. Correctness does not depend on the cache: an
//! old, truncated or missing file only delays those flows until the next announcements.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
    thread,
};

use model::routing::Announced;
use tokio::sync::watch;

/// Name of the cache file.
const FILE_NAME: &str = "hints";

/// Name of the cache file while it is written.
const TEMPORARY_FILE_NAME: &str = "hints-part";

/// Maximum size of a cache file body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Length of the checksum before the body, in bytes.
const CHECKSUM_LEN: usize = 4;

/// Reads the upstreams that were known before the last stop. Returns no upstreams if the file is
/// missing or unusable.
#[must_use]
pub fn read(folder: &Path) -> Vec<Announced> {
    let bytes = match fs::read(folder.join(FILE_NAME)) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Vec::new(),
        Err(error) => {
            log::warn!(target: "hints", "event=hints outcome=unreadable reason=\"{error}\"");
            return Vec::new();
        }
    };
    match decode(&bytes) {
        Ok(announced) => valid(announced),
        Err(reason) => {
            log::warn!(target: "hints", "event=hints outcome=passed-over reason=\"{reason}\"");
            Vec::new()
        }
    }
}

/// Returns the upstreams with possible values; the build before has stored others too.
fn valid(mut announced: Vec<Announced>) -> Vec<Announced> {
    let before = announced.len();
    announced.retain(|announced| announced.check().is_ok());
    if announced.len() < before {
        log::warn!(
            target: "hints",
            "event=hints outcome=partly-invalid upstreams={before} invalid={}", before - announced.len()
        );
    }
    announced
}

/// Decodes the contents of a cache file.
///
/// # Errors
///
/// Says why the contents can't be used.
pub fn decode(bytes: &[u8]) -> Result<Vec<Announced>, String> {
    let (Some(checksum), Some(body)) = (
        bytes.first_chunk::<CHECKSUM_LEN>(),
        bytes.get(CHECKSUM_LEN..),
    ) else {
        return Err("the file is shorter than its checksum".to_owned());
    };
    if u32::from_le_bytes(*checksum) != crc32fast::hash(body) {
        return Err("the checksum does not match the contents".to_owned());
    }
    wire::frame::decode_body::<_, MAX_BODY_BYTES>(body).map_err(|e| e.to_string())
}

/// Encodes the contents of a cache file.
///
/// # Errors
///
/// Says why the upstreams can't be encoded.
pub fn encode(announced: &[Announced]) -> Result<Vec<u8>, String> {
    let body = wire::frame::encode_body(&announced).map_err(|e| e.to_string())?;
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Starts the thread that writes the announced upstreams to disk whenever they change; the thread
/// ends with the sender. A slow disk only makes it skip versions.
///
/// # Errors
///
/// Fails when the thread can't be started.
pub fn start_writer(
    folder: PathBuf,
    mut announced: watch::Receiver<Vec<Announced>>,
) -> io::Result<()> {
    let runtime = tokio::runtime::Handle::current();
    let write_all = move || {
        let mut was_written = true;
        while runtime.block_on(announced.changed()).is_ok() {
            let latest = announced.borrow_and_update().clone();
            let written = write(&folder, &latest);
            if let Err(reason) = &written
                && was_written
            {
                log::warn!(target: "hints", "event=hints outcome=unwritten reason=\"{reason}\"");
            }
            was_written = written.is_ok();
        }
    };
    thread::Builder::new()
        .name("hints".to_owned())
        .spawn(write_all)
        .map(drop)
}

fn write(folder: &Path, announced: &[Announced]) -> Result<(), String> {
    let bytes = encode(announced)?;
    let write_file = || -> io::Result<()> {
        let mut file = File::create(folder.join(TEMPORARY_FILE_NAME))?;
        file.write_all(&bytes)?;
        file.sync_data()?;
        fs::rename(folder.join(TEMPORARY_FILE_NAME), folder.join(FILE_NAME))?;
        File::open(folder)?.sync_all()
    };
    write_file().map_err(|e| e.to_string())
}
