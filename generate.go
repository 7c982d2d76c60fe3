package gooseberrypass

//go:generate go tool ogen --target api --package api --clean api/openapi.yaml
//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative wire/wire.proto
