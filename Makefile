# `make demo` replays the traces of both deployments through fleets with stand-ins
# for the platform, engines and services; `make test` runs all tests, including
# fault injection.

.PHONY: demo test unit faults build

build:
	cargo build --release --locked --workspace

demo: build
	scripts/demo.sh lagyviz
	scripts/demo.sh senderos

test: unit faults

unit:
	scripts/unit.sh

faults: build
	scripts/faults.sh
