//! Golden sessions: `tests/golden/*.txt` hold events and, after `>`, exactly what
//! comes of them. `UPDATE_GOLDEN=1 cargo test` writes them anew.

use std::fs;
use std::path::Path;

use googletest::prelude::*;

use crate::session;

#[gtest]
fn sessions_come_out_as_recorded() -> Result<()> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    let mut files = 0;
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        let recorded = fs::read_to_string(&path)?;
        let now = session::run(&recorded);
        if std::env::var_os("UPDATE_GOLDEN").is_some() {
            fs::write(&path, &now)?;
        }
        expect_that!(now, eq(&recorded), "{}", path.display());
        files += 1;
    }
    expect_that!(files, ge(6));
    Ok(())
}
