//! A settings file that changes.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{fs, path::Path};

use daemon::reload::File;
use settings::gateway::Entry;
use tokio_util::sync::CancellationToken;

fn write(path: &Path, seed: &str) {
    let text = format!(
        "name: entry-1\ndomain: vejle\nfabric_listen: \"127.0.0.1:8172\"\n\
         health_listen: \"127.0.0.1:8167\"\nfirst_port: 7720\nseeds: [\"{seed}\"]\n"
    );
    fs::write(path, text).unwrap();
}

fn read(path: &Path) -> Entry {
    settings::load(path).unwrap()
}

#[tokio::test]
async fn a_file_that_changed_between_start_and_watch_is_taken() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.yaml");
    write(&path, "10.1.0.12:8166");
    let started_with = read(&path);
    write(&path, "10.1.0.13:8166");
    let mut file = File::new(path.clone(), started_with);
    let taken = file.changed(&CancellationToken::new()).await;
    assert_eq!(taken, Some(read(&path)));
}

#[tokio::test]
async fn a_file_that_says_the_same_in_other_words_is_not_taken() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.yaml");
    write(&path, "10.1.0.12:8166");
    let mut file = File::new(path.clone(), read(&path));
    let text = fs::read_to_string(&path).unwrap();
    fs::write(&path, format!("# A comment.\n{text}")).unwrap();
    let token = CancellationToken::new();
    let soon = tokio::time::sleep(std::time::Duration::from_millis(2_500));
    tokio::select! {
        taken = file.changed(&token) => panic!("taken: {taken:?}"),
        () = soon => {}
    }
    write(&path, "10.1.0.14:8166");
    let taken = file.changed(&token).await;
    assert_eq!(taken, Some(read(&path)));
}
