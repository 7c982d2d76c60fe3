package balancer

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// PredictPasses predicts the first event of a request for a prompt, with prompt tokens of
// other requests ahead of it and a number of requests in decode.
func PredictPasses(engine *gooseberrypass.EngineSpec, ahead, decoding, prompt int) time.Duration {
	return predictPasses(engine, passLoad{ahead: ahead, decoding: decoding}, prompt)
}
