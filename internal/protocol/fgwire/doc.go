// Package fgwire holds the messages and drpc services between entry processes
// (peer.proto) and between gateways (gateway.proto). "make generate" generates
// it from the .proto files.
package fgwire
