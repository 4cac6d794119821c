//! The files of one folder, as the store needs them.

use std::{
    collections::BTreeMap,
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write},
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
};

use crate::Error;

/// Name of the file that is locked while a process uses the folder.
const LOCK: &str = "lock";

/// The files of one folder. Tests put a faulty one in its place.
pub trait Disk {
    /// Names of all files.
    ///
    /// # Errors
    ///
    /// As the file system says.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Whole contents of a file; `None` where there is none.
    ///
    /// # Errors
    ///
    /// As the file system says.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Writes at the end of a file, which is created where there is none.
    ///
    /// # Errors
    ///
    /// As the file system says; part of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Writes at the start of a file, which is created where there is none.
    ///
    /// # Errors
    ///
    /// As the file system says.
    fn overwrite(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file to `len` bytes.
    ///
    /// # Errors
    ///
    /// As the file system says.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;

    /// Syncs the contents of a file.
    ///
    /// # Errors
    ///
    /// As the file system says; what was written since the last sync may then be lost.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file over another.
    ///
    /// # Errors
    ///
    /// As the file system says.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// As the file system says.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Syncs which files there are.
    ///
    /// # Errors
    ///
    /// As the file system says.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the file system, which no other process uses meanwhile.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// Files that were written to, kept open.
    files: BTreeMap<String, File>,
    /// Holds the lock until it is dropped.
    _lock: File,
}

impl Folder {
    /// Opens a folder, and creates it where there is none.
    ///
    /// # Errors
    ///
    /// Fails when another process uses it, or as the file system says.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref().to_owned();
        let shown = path.display().to_string();
        let failed = |step| {
            let shown = shown.clone();
            move |e: io::Error| Error::io(step, &shown, &e)
        };
        fs::create_dir_all(&path).map_err(failed("creating the folder"))?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK))
            .map_err(failed("opening the lock file"))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(Error::InUse(shown)),
            Err(TryLockError::Error(e)) => return Err(failed("locking")(e)),
        }
        Ok(Self {
            path,
            files: BTreeMap::new(),
            _lock: lock,
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.files.contains_key(name) {
            let file = OpenOptions::new()
                .create(true)
                .truncate(false)
                .read(true)
                .write(true)
                .open(self.path.join(name))?;
            self.files.insert(name.to_owned(), file);
        }
        let missing = || io::Error::from(io::ErrorKind::NotFound);
        self.files.get_mut(name).ok_or_else(missing)
    }
}

impl Disk for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for file in fs::read_dir(&self.path)? {
            let name = file?.file_name().to_string_lossy().into_owned();
            if name != LOCK {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        use std::io::{Seek, SeekFrom};
        let file = self.file(name)?;
        file.seek(SeekFrom::End(0))?;
        file.write_all(bytes)
    }

    fn overwrite(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all_at(bytes, 0)
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.file(name)?.set_len(len)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))?;
        self.files.remove(to);
        if let Some(file) = self.files.remove(from) {
            self.files.insert(to.to_owned(), file);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
