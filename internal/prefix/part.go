package prefix

// Part is a run of a prompt of any length that is cached as a whole. Parts are named by whoever builds prompts; a part
// is of use only behind the same parts as before.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// SharedParts returns the leading parts that several prompts may have in common: all but the last, which belongs to the request
// or its session.
func SharedParts(parts []Part) []Part { return parts[:max(0, len(parts)-1)] }

// AffinityKey names what requests must have in common to profit from one engine: the deepest shared part, or the only
// part.
func AffinityKey(parts []Part) string {
	if len(parts) == 0 {
		return ""
	}
	return parts[max(0, len(SharedParts(parts))-1)].ID
}

// PartTokens returns the tokens of parts.
func PartTokens(parts []Part) int {
	total := 0
	for _, part := range parts {
		total += part.Tokens
	}
	return total
}
