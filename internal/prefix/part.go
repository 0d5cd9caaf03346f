package prefix

// Part is a section of a prompt that is cached as a whole. Its id is chosen by the client that builds the prompt. A
// cached part can be reused only after the same preceding parts.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// SharedParts returns the leading parts that other requests may share: all but the last one, which is specific to the
// request or its session.
func SharedParts(parts []Part) []Part { return parts[:max(0, len(parts)-1)] }

// AffinityKey returns the id by which requests are routed to the same engine: that of the last shared part, or of the
// only part.
func AffinityKey(parts []Part) string {
	if len(parts) == 0 {
		return ""
	}
	return parts[max(0, len(SharedParts(parts))-1)].ID
}

// PartTokens returns the total number of tokens of parts.
func PartTokens(parts []Part) int {
	total := 0
	for _, part := range parts {
		total += part.Tokens
	}
	return total
}
