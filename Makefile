VERSION ?= 0.1.0

.PHONY: build demo test soak lint clean

build:
	CGO_ENABLED=1 go build -ldflags "-X main.version=$(VERSION)" -o bin/ ./cmd/kitetiller ./cmd/kitelab

demo: build
	scripts/demo

test: build
	passed_over=$$(scripts/known-red) && CGO_ENABLED=1 go test -timeout 40m $$passed_over ./...

MINUTES ?= 5
SEED ?= 0

soak: build
	bin/kitelab soak --minutes $(MINUTES) --seed $(SEED)

lint:
	test -z "$$(gofmt -l cmd internal platform)"
	go vet ./...
	go tool staticcheck ./...

clean:
	rm -rf bin
