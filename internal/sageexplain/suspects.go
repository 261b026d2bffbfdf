package sageexplain

import "strings"

// evidenceMessages end the messages of lines about the evidence against a suspect and about its quarantine.
var evidenceMessages = []string{"Upstream crashed under a request.", "Quarantined.", "Quarantine written.", "Released.", "Trial of a quarantined suspect."}

// addEvidence adds the lines that led to the quarantine of what the request was refused for.
func (s *Timeline) addEvidence(texts []string) {
	names := s.suspects()
	if len(names) == 0 {
		return
	}
	for _, text := range texts {
		for line := range strings.Lines(text) {
			if !containsAny(line, names) || !containsAny(line, evidenceMessages) {
				continue
			}
			if l, _ := parse(line); containsAny(strings.Join(l.Pairs, " "), names) {
				s.Lines = append(s.Lines, l)
			}
		}
	}
}

// suspects returns the names of the quarantined suspects that the timeline names.
func (s *Timeline) suspects() []string {
	var out []string
	for _, l := range s.Lines {
		for _, p := range l.Pairs {
			if name, ok := strings.CutPrefix(p, "suspect="); ok {
				out = append(out, name)
			}
		}
	}
	return out
}

func containsAny(text string, parts []string) bool {
	for _, p := range parts {
		if strings.Contains(text, p) {
			return true
		}
	}
	return false
}
