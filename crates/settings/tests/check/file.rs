//! Temporary settings files.

use std::path::PathBuf;
use std::{env, fs, process};

use mulberryyoke_settings::check;
use serde_json::Value;

/// Settings file that is deleted when dropped.
pub(crate) struct File(pub(crate) PathBuf);

impl File {
    pub(crate) fn new(name: &str, text: &str) -> Self {
        let name = format!("mulberryyoke-{}-{name}.json", process::id());
        let path = env::temp_dir().join(name);
        fs::write(&path, text).expect("the temporary directory is writable");
        Self(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// Checks settings with one value replaced and returns the outcome as text.
pub(crate) fn check_with(name: &str, mut settings: Value, pointer: &str, value: Value) -> String {
    let (parent, field) = pointer.rsplit_once('/').expect("a pointer has a slash");
    let parent = settings.pointer_mut(parent).expect("the parent exists");
    parent[field] = value;
    let file = File::new(name, &settings.to_string());
    match check(&file.0, None) {
        Ok(role) => format!("accepted as {role}"),
        Err(error) => {
            let text = error.to_string();
            assert!(
                text.contains(&file.0.display().to_string()),
                "{text} names the file"
            );
            text
        }
    }
}
