// Package demonstrator runs the main job on one machine in one process, on
// stand-ins of the platform, and measures it.
package demonstrator

const (
	anyPort   = "127.0.0.1:0"
	modelName = "jingle-writer"
)
