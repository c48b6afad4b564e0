# Build, test, lint, run. `make run CONFIG=/path/to/config.json` starts a front.
.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings

run: build
	LB_CONFIG=$(CONFIG) target/release/lupinrack
