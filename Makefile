.PHONY: build test lint run

build:
	cargo build --release

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	NODE_CONFIG=$${NODE_CONFIG:-examples/config.json} target/release/pebblevane
