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

# Plays fresh seeds of the fault soak: `just soak 1000..1050`.
soak seeds:
    SOAK_SEEDS={{seeds}} cargo test --release -p mulberryyoked --test soak -- --nocapture
