//! Answers that end with their connection are whole only if their server's instance lives on.

mod fixture;
mod killed;
mod late;
mod plain;
mod proof;
