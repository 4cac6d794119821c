//! Access to the files of the data folder.

use std::{
    collections::BTreeMap,
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write},
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
};

use crate::Error;

/// Name of the file that is locked while a process uses the folder.
const LOCK_FILE: &str = "lock";

/// The files of one folder. Tests implement this trait with a disk that injects faults.
pub trait Disk {
    /// Returns the names of all files.
    ///
    /// # Errors
    ///
    /// Fails with the error of the file system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the contents of a file; `None` if the file doesn't exist.
    ///
    /// # Errors
    ///
    /// Fails with the error of the file system.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Appends to a file, which is created if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Fails with the error of the file system; part of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Writes at the start of a file, which is created if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Fails with the error of the file system.
    fn overwrite(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to `len` bytes.
    ///
    /// # Errors
    ///
    /// Fails with the error of the file system.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;

    /// Syncs the contents of a file.
    ///
    /// # Errors
    ///
    /// Fails with the error of the file system; data written since the last sync may then be lost.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file and replaces the file `to` if it exists.
    ///
    /// # Errors
    ///
    /// Fails with the error of the file system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Fails with the error of the file system.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Syncs the folder itself, so that created, renamed and removed files survive a crash.
    ///
    /// # Errors
    ///
    /// Fails with the error of the file system.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the file system, locked against use by other processes.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// Open files that were written to, by name.
    files: BTreeMap<String, File>,
    /// Lock file; the lock is released when this handle is dropped.
    _lock: File,
}

impl Folder {
    /// Opens and locks a folder, which is created if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Fails if another process uses the folder, or with the error of the file system.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref().to_owned();
        let displayed_path = path.display().to_string();
        let to_error = |action| {
            let displayed_path = displayed_path.clone();
            move |e: io::Error| Error::io(action, &displayed_path, &e)
        };
        fs::create_dir_all(&path).map_err(to_error("creating the folder"))?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))
            .map_err(to_error("opening the lock file"))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(Error::InUse(displayed_path)),
            Err(TryLockError::Error(e)) => return Err(to_error("locking")(e)),
        }
        Ok(Self {
            path,
            files: BTreeMap::new(),
            _lock: lock,
        })
    }

    fn open_file(&mut self, name: &str) -> io::Result<&mut File> {
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
            if name != LOCK_FILE {
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
        let file = self.open_file(name)?;
        file.seek(SeekFrom::End(0))?;
        file.write_all(bytes)
    }

    fn overwrite(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open_file(name)?.write_all_at(bytes, 0)
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.open_file(name)?.set_len(len)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_file(name)?.sync_data()
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
