# `make run` shows the system on this machine; `make test` is what CI runs.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: bench run test deps build format tidy unit sanitize integration capacity

run: deps build
	@scripts/run-demonstration $(BUILD)

test: deps check-format build tidy unit sanitize integration
	@scripts/report-known-failures

deps:
	@scripts/install-dependencies

build:
	@echo "== build"
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null
	@ninja -C $(BUILD) -j $(JOBS)

check-format:
	@echo "== format"
	@scripts/format --check
	@scripts/check-platform-names

format:
	@scripts/format

tidy: build
	@echo "== lint"
	@scripts/lint $(BUILD)

unit: build
	@echo "== unit tests"
	@ctest --test-dir $(BUILD) -L unit --output-on-failure -j $(JOBS)

sanitize:
	@echo "== unit tests under address and undefined-behaviour sanitizers"
	@cmake -S . -B $(BUILD)-sanitize -G Ninja -DTOUCANSTAND_SANITIZE=ON > /dev/null
	@ninja -C $(BUILD)-sanitize -j $(JOBS) unit_tests
	@ctest --test-dir $(BUILD)-sanitize -L unit --output-on-failure -j $(JOBS)

integration: build
	@echo "== integration tests"
	@ctest --test-dir $(BUILD) -L integration --output-on-failure -j 4

# The figures of docs/CAPACITY.md. One program after the other: they measure time.
capacity: build
	@echo "== footprint of real processes"
	@$(BUILD)/bin/benchmark-footprint
	@echo "== membership and configuration"
	@$(BUILD)/bin/benchmark-membership
	@echo "== routing and admission"
	@$(BUILD)/bin/benchmark-decisions cost
	@echo "== group plans"
	@$(BUILD)/bin/benchmark-groups
	@echo "== claims"
	@$(BUILD)/bin/benchmark-claims
	@echo "== delivery"
	@$(BUILD)/bin/benchmark-delivery

bench: build
	@echo "== whole system: overhead, short behind long work, overload (about six minutes)"
	@$(BUILD)/bin/benchmark-system overhead head-of-line overload
