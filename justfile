# Formats the workspace.
fmt:
    cargo fmt --all

# Lints the workspace; a warning is an error.
lint:
    cargo fmt --all --check
    cargo clippy --workspace --all-targets --locked -- -D warnings

# Runs the tests.
test:
    cargo test --workspace --locked
