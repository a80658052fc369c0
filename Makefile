.PHONY: build test lint run check sites

build:
	cargo build --locked --release

test:
	.ci/test

lint:
	cargo fmt --all -- --check
	cargo clippy --locked --all-targets -- -D warnings

run: build
	exec target/release/magpiechute

check: lint build test

# What the bench reads beside the variants in deploy/sites: KIT names the folder of its sites.
KIT ?= ../given/kit/sites
sites:
	install -m 644 $(KIT)/*.json $(KIT)/unlock.txt deploy/sites/
