package gossiper

// Decode is decode, for the fuzz target.
func Decode(body []byte) (Message, error) { return decode(body) }

// Encode is encode, for the fuzz target.
func Encode(m Message) ([]byte, error) { return encode(m) }
