//! Tests that changes of the settings file are detected, also those made before the file is
//! watched, and that a change of the text alone is ignored.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{fs, path::Path};

use daemon::reload::SettingsFile;
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
async fn a_change_between_start_and_first_check_is_detected() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.yaml");
    write(&path, "10.1.0.12:8166");
    let started_with = read(&path);
    write(&path, "10.1.0.13:8166");
    let mut file = SettingsFile::new(path.clone(), started_with);
    let reloaded = file.changed(&CancellationToken::new()).await;
    assert_eq!(reloaded, Some(read(&path)));
}

#[tokio::test]
async fn a_change_that_leaves_the_settings_equal_is_ignored() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.yaml");
    write(&path, "10.1.0.12:8166");
    let mut file = SettingsFile::new(path.clone(), read(&path));
    let text = fs::read_to_string(&path).unwrap();
    fs::write(&path, format!("# A comment.\n{text}")).unwrap();
    let token = CancellationToken::new();
    let soon = tokio::time::sleep(std::time::Duration::from_millis(2_500));
    tokio::select! {
        reloaded = file.changed(&token) => panic!("reloaded: {reloaded:?}"),
        () = soon => {}
    }
    write(&path, "10.1.0.14:8166");
    let reloaded = file.changed(&token).await;
    assert_eq!(reloaded, Some(read(&path)));
}
