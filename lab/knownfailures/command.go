package main

import (
	"fmt"
	"strings"
)

// commandMark begins the line of a command.
const commandMark = "$ "

// commandFailure is a line of KNOWN-RED.txt for a failure that a command outside CI shows:
//
//	$ COMMAND; SEED; WHAT WAS SEEN; ISSUE
//
// It passes over no test: it is a record, and the run prints it.
type commandFailure struct {
	command, seed, seen, issue string
}

func (f commandFailure) String() string {
	return fmt.Sprintf("known failure outside CI: %s (%s); %s; %s", f.command, f.seed, f.seen, f.issue)
}

func isCommandLine(line string) bool { return strings.HasPrefix(strings.TrimSpace(line), commandMark) }

// parseCommandFailures parses the lines of commands in the text of KNOWN-RED.txt. An error in a line contains its number.
func parseCommandFailures(text string) ([]commandFailure, error) {
	var commands []commandFailure
	for i, line := range strings.Split(text, "\n") {
		if !isCommandLine(line) {
			continue
		}
		failure, err := parseCommandFailure(strings.TrimSpace(line))
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		commands = append(commands, failure)
	}
	return commands, nil
}

func parseCommandFailure(line string) (commandFailure, error) {
	fields := strings.Split(strings.TrimPrefix(line, commandMark), ";")
	if len(fields) != 4 {
		return commandFailure{}, fmt.Errorf("%q is not $ COMMAND; SEED; WHAT WAS SEEN; ISSUE", line)
	}
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
		if fields[i] == "" {
			return commandFailure{}, fmt.Errorf("%q has an empty command, seed, observation or issue", line)
		}
	}
	return commandFailure{command: fields[0], seed: fields[1], seen: fields[2], issue: fields[3]}, nil
}
