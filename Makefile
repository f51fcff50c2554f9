.PHONY: test lint bench generate

test:
	bash .ci/run

lint:
	go vet ./... && go tool -modfile=tools/go.mod staticcheck ./...

bench:
	go test -run '^$$' -bench . -benchmem ./...

# Needs protoc; the generated code is committed, so that a build does not.
generate:
	protoc --plugin=protoc-gen-go=$$(go tool -n -modfile=tools/go.mod protoc-gen-go) --plugin=protoc-gen-go-drpc=$$(go tool -n -modfile=tools/go.mod protoc-gen-go-drpc) --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative internal/protocol/fgwire/peer.proto
