.PHONY: build test lint run check

build:
	cargo build --locked --release

test:
	cargo test --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --locked --all-targets -- -D warnings

run: build
	exec target/release/magpiechute

check: lint build test
