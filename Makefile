GOLANGCI_VERSION := v2.14.0
GOPLS_VERSION := v0.22.0
TOOLS := $(CURDIR)/.tools/bin
LINT := $(TOOLS)/golangci-lint
GOPLS := $(TOOLS)/gopls

.PHONY: build tools format lint test check faults bench demo soak

SEEDS ?= 50
SEED ?= 1

build:
	go build -o bin/ . ./cmd/...

$(LINT):
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

$(GOPLS):
	GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

tools: $(LINT) $(GOPLS)

format: $(LINT)
	$(LINT) fmt

lint: $(LINT)
	$(LINT) fmt --diff
	$(LINT) run ./...

# Tests that start processes of their own use all cores, so they follow the tests that measure time.
test: build
	bin/prover test -- -race -timeout 20m $$(go list ./... | grep -v /internal/prover/)
	bin/prover test -- -race -timeout 20m ./internal/prover/...

check: lint build test
	bin/prover faults --part check
	bin/prover soak --seeds 3 --seed 1 --parallel 3

faults: build
	bin/prover faults

demo: build
	bin/prover demo

bench: build
	bin/prover bench

soak: build
	bin/prover soak --seeds $(SEEDS) --seed $(SEED)
