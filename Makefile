# `make run` starts a whole deployment on loopback; `make test` checks formatting,
# vets, builds and tests everything. Neither needs any other set-up.
SHELL := /bin/bash
DEPLOYMENT ?= velacruz
GO ?= go
GOFILES = $(shell git ls-files -co --exclude-standard '*.go' | grep -v -e '\.pb\.go$$' -e '\.twirp\.go$$')

.PHONY: run test build check tools generate model unit capacity measure soak gopls

run: build
	./bin/devstack run --deployment $(DEPLOYMENT)

# Measures M1 to M4 on both deployments and writes docs/MEASURES.md.
measure: build
	./bin/devload measure --out docs --seed 1

test: tools check build model unit

build:
	$(GO) build -o bin/ ./cmd/...

tools:
	@command -v spin >/dev/null || (apt-get update -qq && apt-get install -y -qq spin)

check:
	@out=$$(gofmt -l $(GOFILES)); if [ -n "$$out" ]; then echo "gofmt: $$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	./.ci/check-imports

unit:
	./.ci/unit

model:
	@if [ -x model/check ]; then model/check; fi

# Needs protoc. Builds do not, because the generated code is committed.
generate:
	for p in platform peer admin gate; do \
	  PATH="$$PWD/bin/gen:$$PATH"; mkdir -p bin/gen; \
	  $(GO) build -o bin/gen/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp; \
	  protoc --proto_path=. --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative rpc/$$p/$$p.proto; \
	done

# Runs the soak test for COUNT consecutive seeds, the first of which is SEED. Each run
# injects faults for SOAK_DURATION; PLANNED=1 restricts them to planned work,
# and REPLICAS=1 draws changes of replicas and late promotions.
SEED ?= 1
COUNT ?= 1
SOAK_DURATION ?= 20s
soak:
	$(GO) run ./cmd/devsoak $(if $(PLANNED),--planned) $(if $(REPLICAS),--replica-changes) --seed $(SEED) --count $(COUNT) --duration $(SOAK_DURATION)

# Rewrites the measured tables of docs/CAPACITY.md; takes about 2 minutes.
capacity:
	$(GO) run ./cmd/devcapacity

# Builds gopls, which applies renames: make gopls OUT=/path/gopls.
OUT ?= $(CURDIR)/bin/gopls
gopls:
	cd tools && $(GO) build -o $(OUT) golang.org/x/tools/gopls
