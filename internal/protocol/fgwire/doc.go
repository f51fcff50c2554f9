// Package fgwire holds the generated messages and drpc service between entry
// processes. It is generated from peer.proto by "make generate".
package fgwire
