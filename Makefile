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

# Runs the scale tests listed in TESTS, or all of them if it is empty. If OUT is set, their rows
# are also written to that file.
TESTS ?=
OUT ?=
scale:
	cargo bench --locked --bench scale -- $(TESTS) $(if $(OUT),--out $(abspath $(OUT)))

# Copies the sites that the bench reads from the folder KIT to deploy/sites, beside the variants
# that are kept there.
KIT ?= ../given/kit/sites
sites:
	install -m 644 $(KIT)/*.json $(KIT)/unlock.txt deploy/sites/
