//! Golden sessions: `tests/golden/*.txt` hold events and, after `>`, their exact
//! results. `UPDATE_GOLDEN=1 cargo test` rewrites them.

use std::fs;
use std::path::Path;

use googletest::prelude::*;

use crate::session;

#[gtest]
fn sessions_match_golden_files() -> Result<()> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    let mut files = 0;
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        let expected = fs::read_to_string(&path)?;
        let actual = session::run(&expected);
        if std::env::var_os("UPDATE_GOLDEN").is_some() {
            fs::write(&path, &actual)?;
        }
        expect_that!(actual, eq(&expected), "{}", path.display());
        files += 1;
    }
    expect_that!(files, ge(6));
    Ok(())
}
