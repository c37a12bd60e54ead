.PHONY: build test lint fmt ci demo

build:
	go build -o bin/fuchsiapick .

test:
	go test ./...

lint:
	go tool -modfile=tools/go.mod golangci-lint run

fmt:
	go tool -modfile=tools/go.mod golangci-lint fmt

ci:
	.ci/run

demo:
	go run . demo
