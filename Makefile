# make demo and make test do all on a fresh machine that has Go.

BIN := bin

.PHONY: build demo up test lint faults measure bench fuzz

build:
	go build -o $(BIN)/ ./cmd/...

demo: build
	./$(BIN)/fieldvale-demo run

up: build
	./$(BIN)/fieldvale-demo up

test: build lint
	go test ./...

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go' 2>/dev/null || find . -name '*.go'))" || { echo 'gofmt would change:'; gofmt -l .; exit 1; }
	go vet ./...
	go tool staticcheck ./...
