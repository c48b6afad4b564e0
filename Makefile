# Build, test, lint, run. `make run CONFIG=/path/to/config.json` starts a front.
.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --locked --lib --bins -- -D warnings -D missing_docs -D unreachable_pub
	cargo clippy --locked --tests --examples --benches -- -D warnings \
	  -A clippy::pedantic -A clippy::unwrap_used
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --no-deps

run: build
	LB_CONFIG=$(CONFIG) target/release/lupinrack
