.PHONY: build test lint bench fuzz generate

build:
	go build -o bin/ ./cmd/...

test:
	bash .ci/run

lint:
	go vet ./... && go tool -modfile=tools/go.mod staticcheck ./...

bench:
	go test -run '^$$' -bench . -benchmem ./...

# go test runs one fuzz target at a time.
fuzz:
	go test -run '^$$' -fuzz FuzzScrub -fuzztime 10s -parallel 4 ./internal/protocol/fgkey
	go test -run '^$$' -fuzz FuzzBody -fuzztime 10s -parallel 4 ./internal/protocol/fgkey
	go test -run '^$$' -fuzz FuzzResponse -fuzztime 10s -parallel 4 ./internal/transport/fgpool
	go test -run '^$$' -fuzz FuzzDecode -fuzztime 10s -parallel 4 ./pkg/fgapi
	go test -run '^$$' -fuzz FuzzUpstreamEntry -fuzztime 10s -parallel 4 ./platform
	go test -run '^$$' -fuzz FuzzCheckPolicy -fuzztime 10s -parallel 4 ./platform

# Needs protoc; the generated code is committed, so that a build does not.
generate:
	protoc --plugin=protoc-gen-go=$$(go tool -n -modfile=tools/go.mod protoc-gen-go) --plugin=protoc-gen-go-drpc=$$(go tool -n -modfile=tools/go.mod protoc-gen-go-drpc) --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative internal/protocol/fgwire/peer.proto internal/protocol/fgwire/gateway.proto
