.PHONY: build test lint run sites

build:
	cargo build --release

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	NODE_CONFIG=$${NODE_CONFIG:-examples/config.json} target/release/pebblevane

# Lays beside our own deployments what the bench wants there; GIVEN is where the operators' kit lies. Git ignores it.
GIVEN ?= ../given
sites:
	install -m 644 $(GIVEN)/kit/more/mass/other/real.json $(GIVEN)/kit/more/mass/other/wire.json \
		$(GIVEN)/kit/more/mass/other/unlock.txt deploy/sites/
