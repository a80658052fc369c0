.PHONY: build test lint run check scale sites

build:
	cargo build --locked --release

test:
	.ci/test

lint:
	cargo fmt --all -- --check
	cargo clippy --locked --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --no-deps --document-private-items

run: build
	exec target/release/workload-manager

check: lint build test

# The scale tests, all or those that TESTS names; OUT names a file for their rows.
TESTS ?=
OUT ?=
scale:
	cargo bench --locked --bench scale -- $(TESTS) $(if $(OUT),--out $(abspath $(OUT)))

# What the bench reads beside the variants in deploy/sites: KIT names the folder of its sites.
KIT ?= ../given/kit/sites
sites:
	install -m 644 $(KIT)/*.json $(KIT)/unlock.txt deploy/sites/
